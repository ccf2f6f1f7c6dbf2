"""The operator moves a route, adds one, drops one and raises the idle time-out from 15 s to
15 minutes. Later all processes are killed and start again. TROUBLE=0: the same version
with the idle time-out as it was, and no process is killed."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import lab as deployment  # noqa: E402
from lab import HELD, BROKEN, TERMS, TROUBLE, Worker, ask, request_bytes  # noqa: E402

NODES = 3
APPLY_S = TERMS["config_apply_s"]
RECOVERY_S = TERMS["recovery_s"]
IDLE_TIMEOUT_S = 900 if TROUBLE else 15


def play(lab):
    store, record = lab.store, lab.record
    services = [deployment.service("svc-old"), deployment.service("svc-new")]
    store.configure(7, [
        deployment.route("r-moved", "/moved/", "unsafe", "svc-old"),
        deployment.route("r-kept", "/kept/", "safe", "svc-old"),
        deployment.route("r-dropped", "/dropped/", "unsafe", "svc-old"),
    ] + services + [deployment.limits()])
    workers = [Worker(store, record, "i-%s-%d" % (name, i), "svc-" + name)
               for name in ("old", "new") for i in range(4)]
    lab.start_nodes(NODES)
    time.sleep(4)
    results = []
    lock = threading.Lock()
    count = [0]

    def send(kind, method, path):
        count[0] += 1
        identity = "%s-%04d" % (kind, count[0])
        node = lab.nodes[count[0] % NODES]
        sent_at = time.monotonic()
        record("client sends", identity, method, path, "to node", node.index)
        status, fields, _ = ask(node.frontend, request_bytes(identity, method, path), 4)
        record("client gets", status, "for", identity, "signature",
               fields.get("vanillascale-upstream-signature", "none"))
        with lock:
            results.append((kind, sent_at, status, identity))

    def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            send("kept", "GET", "/kept/a")
            send("moved", "POST", "/moved/a")
            send("dropped", "POST", "/dropped/a")
            send("added", "GET", "/added/a")
            time.sleep(0.1)

    traffic(5)
    acknowledged = store.configure(8, [
        deployment.route("r-moved", "/moved/", "unsafe", "svc-new"),
        deployment.route("r-kept", "/kept/", "safe", "svc-old"),
        deployment.route("r-added", "/added/", "safe", "svc-new"),
    ] + services + [deployment.limits(idle_timeout_s=IDLE_TIMEOUT_S)])
    traffic(20)
    by_old = {run[0] for it in workers if it.service == "svc-old" for run in it.runs}
    run_at_all = {run[0] for it in workers for run in it.runs}
    due = [it for it in results if it[1] > acknowledged + APPLY_S]
    old_service = sum(1 for it in due if it[0] == "moved" and it[3] in by_old)
    dropped_run = sum(1 for it in due if it[0] == "dropped" and it[3] in run_at_all)
    not_found = sum(1 for it in due if it[0] == "added" and it[2] == 404)
    text = "CONFIG: of %d requests sent later than %.0f s after the acknowledgement, %d of the " \
           "moved route were run by the old service, %d of the dropped route were run, %d of " \
           "the added route got 404" % (len(due), APPLY_S, old_service, dropped_run, not_found)
    record(text)
    print(text)
    broken = old_service + dropped_run + not_found > 0
    if TROUBLE:
        record("all processes are killed")
        for it in lab.nodes:
            it.process.kill()
            it.process.wait()
        time.sleep(0.5)
        for it in lab.nodes:
            it.start()
        back = time.monotonic()
    else:
        back = time.monotonic()
    traffic(RECOVERY_S + 8)
    after = [it for it in results if it[0] in ("kept", "moved", "added")
             and it[1] > back + RECOVERY_S]
    served = sum(1 for it in after if it[2] == 200)
    text = "RECOVER: of %d requests sent later than %.0f s after the machines were back, %d " \
           "were served; statuses %s" % (
               len(after), RECOVERY_S, served,
               {s: sum(1 for it in after if it[2] == s) for s in {it[2] for it in after}})
    record(text)
    print(text)
    broken = broken or served * 4 < len(after)
    return BROKEN if broken else HELD


sys.exit(deployment.run(FOLDER, play))
