"""Eight nodes serve a tenant with a quota. All processes are killed at the same moment. Five
start again after half a second; the machines of the three seeds have lost power and are back
3.5 s after the kill. Calm follows, then the tenant sends many times its quota. TROUBLE=0:
nothing is killed."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import lab as deployment  # noqa: E402
from lab import HELD, BROKEN, TROUBLE, Worker, ask, request_bytes, simple_get  # noqa: E402

NODES, SEEDS = 8, 3
RATE_PER_S, BURST = 10.0, 10.0
QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 5.0, 0.1, 20
RESTART_S = 0.5
DARK_S = 3.5
CALM_S = 15.0
SENDING_S = 20.0
CLIENTS = 24
KEY = "key-of-tenant-a"


class TenantWorker(Worker):
    times = []

    def answer(self, connection, request):
        if request["fields"].get("vanillascale-tenant") == "tenant-a":
            self.times.append(time.monotonic())
        super().answer(connection, request)


def views(lab):
    """Records which members each node counts as alive, as its status page says."""
    for it in lab.nodes:
        try:
            _, _, body = simple_get(it.admin, "/status", 2)
            members = json.loads(body)["members"]
            alive = sum(1 for m in members if m["status"] == "alive")
        except (OSError, ValueError, KeyError) as error:
            alive = error
        lab.record("node", it.index, "counts", alive, "other members as alive")


def play(lab):
    store, record = lab.store, lab.record
    store.configure(7, [
        deployment.route("r-b", "/pufi791/", "unsafe", "svc-a", timeout=3),
        deployment.service("svc-a"),
        {"type": "tenants", "metadata": {"name": "tenant-a"},
         "spec": {"api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}},
        deployment.limits(),
    ])
    for i in range(12):
        TenantWorker(store, record, "i-%02d" % i, "svc-a", slots=6, work=0.03)
    lab.start_nodes(NODES)
    time.sleep(4)
    views(lab)
    if TROUBLE:
        record("all processes are killed")
        killed = time.monotonic()
        for it in lab.nodes:
            it.process.kill()
        for it in lab.nodes:
            it.process.wait()
        time.sleep(RESTART_S)
        for it in lab.nodes[SEEDS:]:
            it.start()
        time.sleep(max(0, killed + DARK_S - time.monotonic()))
        for it in lab.nodes[:SEEDS]:
            it.start()
        record("all processes have been started again")
    time.sleep(CALM_S)
    views(lab)
    ready = sum(1 for it in lab.nodes if it.is_ready())
    record(ready, "of", NODES, "nodes are ready")
    end = time.monotonic() + SENDING_S
    statuses = {}
    lock = threading.Lock()

    def client(number):
        turn = 0
        node = lab.nodes[number % NODES]
        while time.monotonic() < end:
            turn += 1
            identity = "post-%02d-%04d" % (number, turn)
            record("client sends", identity, "to node", node.index)
            status, _, _ = ask(node.frontend, request_bytes(
                identity, "POST", "/pufi791/a", body=b"order",
                fields=[("Authorization", "Bearer " + KEY)]), 4)
            record("client gets", status, "for", identity)
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
            time.sleep(0.1)

    threads = [threading.Thread(target=client, args=(i,), daemon=True)
               for i in range(CLIENTS)]
    for it in threads:
        it.start()
    for it in threads:
        it.join(SENDING_S + 6)
    times = sorted(TenantWorker.times)
    most = 0
    first = 0
    for last, moment in enumerate(times):
        while times[first] < moment - QUOTA_WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
    text = "QUOTA: in %.0f s up to %d requests of the tenant were run (allowed %.0f); ready " \
           "nodes: %d of %d; answers %s" % (
               QUOTA_WINDOW_S, most, allowed, ready, NODES, statuses)
    record(text)
    print(text)
    return BROKEN if most > allowed else HELD


sys.exit(deployment.run(FOLDER, play))
