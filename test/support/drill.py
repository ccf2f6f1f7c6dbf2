"""A fleet of real daemons whose store is restored from an older copy.

  drill.py --daemon PATH [options]    exits with 1 if a version that the store has
                                      acknowledged is not in force in time at each
                                      node, if a node goes back to an older one, or if
                                      requests reach a worker that has left

Each version adds a route and moves another one, so that an answer shows by which
version a request was handled. The operator and the workers write again what the store
has lost. All addresses are loopback addresses; all processes are ended by their ids.
"""

import argparse
import http.client
import random
import sys
import tempfile
import threading
import time
import urllib.request

import storm

CONFIG_BOUND_S = 2.0
LEAVING_BOUND_S = 2.0
HEARTBEAT_S = 1.0


class CountingWorker(storm.Handler):
    """Answers with the name of its service and notes when it was reached."""

    def do_GET(self):
        self.server.reached.append(time.monotonic())
        self.send(
            200,
            self.server.service.encode(),
            ("Vanillascale-Request-Id", self.headers.get("Vanillascale-Request-Id", "")),
            ("Vanillascale-Upstream-Signature", "signed"),
        )


class Worker:
    def __init__(self, index, service):
        self.id = f"i-{index}"
        self.service = service
        self.address = f"127.0.0.1:{storm.WORKER_PORT + index}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_silent = False
        self.server = storm.serve(
            ("127.0.0.1", storm.WORKER_PORT + index), CountingWorker, service=service, reached=[]
        )

    def write(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": "z0"}
        entry.update(version="v1", capacity=50, state=self.state, warmup_left_s=0.0)
        entry.update(sequence=self.sequence, born=self.born)
        storm.TOPICS["keyed.servers"].put(self.id, entry)


class Operator:
    """Writes versions, each of which adds the route /vN/ and moves the route /moved/."""

    def __init__(self):
        self.version = 0

    def publish(self, version):
        limits = dict(max_header_bytes=16384, max_body_bytes=1 << 20)
        limits.update(header_timeout_s=3, idle_timeout_s=15)
        items = [{"type": "limits", "metadata": {}, "spec": limits}]
        for it in storm.SERVICES:
            items.append({"type": "services", "metadata": {"name": it}, "spec": {}})
        routes = {f"v{it}": "old" for it in range(1, version + 1)}
        routes["moved"] = storm.SERVICES[version % 2]
        for name, service in routes.items():
            spec = dict(host=storm.HOST, path_prefix=f"/{name}/", kind="safe", timeout_s=2)
            spec.update(latency_goal_s=1, attempts=3, priority=0, service=service)
            items.append({"type": "routes", "metadata": {"name": f"r-{name}"}, "spec": spec})
        config = {"version": f"{version:08x}", "resources": items}
        storm.TOPICS["keyed.op"].put("config", config)
        self.version = max(self.version, version)


class Checks:
    def __init__(self):
        self.faults = []
        self.requests = 0

    def fail(self, text):
        self.faults.append(text)


def get(node, path):
    """Returns the status and the body of an answer, or the problem."""
    try:
        connection = http.client.HTTPConnection(node.address, storm.LISTEN, timeout=3)
        connection.request("GET", path, headers={"Host": storm.HOST})
        answer = connection.getresponse()
        body = answer.read().decode()
        connection.close()
        return answer.status, body
    except (OSError, http.client.HTTPException) as problem:
        return 0, type(problem).__name__


def check_version(nodes, version, checks, what):
    """Checks that each node serves by a version, and none by an older one."""
    for i, node in enumerate(nodes):
        for path, wanted in (
            (f"/v{version}/x", "old"),
            ("/moved/x", storm.SERVICES[version % 2]),
        ):
            status, body = get(node, path)
            checks.requests += 1
            if status != 200 or body != wanted:
                checks.fail(f"{what}: node {i} answers {path} with {status} {body!r}")


def wait_for_version(nodes, version, limit):
    end = time.monotonic() + limit
    for node in nodes:
        while get(node, f"/v{version}/x")[0] != 200:
            if time.monotonic() > end:
                return False
            time.sleep(0.05)
    return True


def keep_beating(workers, lock, stopped):
    while not stopped.wait(HEARTBEAT_S):
        with lock:
            for it in workers:
                if not it.is_silent:
                    it.write()


def drill(lost):
    url = f"http://127.0.0.1:{storm.STORE_PORT}/drill?lost={lost}"
    urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=5).read()


def check_version_in_time(nodes, operator, version, checks, what):
    operator.publish(version)
    time.sleep(CONFIG_BOUND_S)
    check_version(nodes, version, checks, what)


def play(options, nodes, stores, workers, lock, checks, rng):
    operator = Operator()
    for version in range(1, 6):
        operator.publish(version)
        time.sleep(0.1)
    if not wait_for_version(nodes, operator.version, 30):
        checks.fail("the fleet did not start")
        return
    time.sleep(1.5)
    for turn in range(options.drills):
        what = f"drill {turn + 1}"
        known = operator.version
        for it in stores:
            it.is_away = options.away > 0
        time.sleep(options.away)
        with lock:
            drill(options.lost)
            if options.gap:
                # The new records pass the old end before a node reads.
                for _ in range(options.lost * len(workers)):
                    workers[-1].write()
            if not options.silent:
                for it in workers:
                    it.write()
        for it in stores:
            it.is_away = False
        if options.late_nodes:
            time.sleep(0.2)
            for it in rng.sample(nodes, options.late_nodes):
                it.kill()
                it.start()
        time.sleep(0.5)
        check_version_kept(nodes, known, checks, what + ", before the operator writes")
        for version in range(max(1, known - options.again + 1), known + 1):
            operator.publish(version)
        if options.late_nodes:
            wait_for_version(nodes, 1, 10)
        for _ in range(options.changes):
            check_version_in_time(nodes, operator, operator.version + 1, checks, what)
    leaving = workers[0]
    with lock:
        drill(options.lost)
        for it in workers:
            it.is_silent = options.silent or it is leaving
        leaving.state = "draining"
        leaving.write()
        if options.gap:
            for _ in range(options.lost * len(workers)):
                workers[-1].write()
    left = time.monotonic()
    end = left + LEAVING_BOUND_S + 2
    while time.monotonic() < end:
        for node in nodes:
            get(node, "/v1/x")
    late = [it - left for it in leaving.server.reached if it > left + LEAVING_BOUND_S]
    if late:
        checks.fail(f"{len(late)} requests reached a worker that had left, up to {max(late):.1f} s late")


def check_version_kept(nodes, version, checks, what):
    """Checks that nodes which served a version still do; one that has started again may
    not be ready yet."""
    for i, node in enumerate(nodes):
        status, body = get(node, f"/v{version}/x")
        checks.requests += 1
        if status == 404:
            checks.fail(f"{what}: node {i} went back, /v{version}/x has {status} {body!r}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--drills", type=int, default=1)
    parser.add_argument("--lost", type=int, default=3, help="records that each topic loses")
    parser.add_argument("--again", type=int, default=1, help="versions that are written again")
    parser.add_argument("--changes", type=int, default=2, help="new versions after a drill")
    parser.add_argument("--away", type=float, default=0, help="seconds without the store")
    parser.add_argument("--late-nodes", type=int, default=0, help="nodes that start again")
    parser.add_argument("--gap", action="store_true", help="new records pass the old end")
    parser.add_argument("--silent", action="store_true", help="workers lose their heartbeats")
    parser.add_argument("--logs", help="a folder that keeps the logs")
    options = parser.parse_args()
    rng = random.Random(options.seed)
    stores = [
        storm.serve(("127.0.0.1", storm.STORE_PORT + i), storm.Store, is_away=False)
        for i in range(2)
    ]
    workers = [Worker(i, it) for i, it in enumerate(("old", "old", "new", "new"))]
    lock = threading.Lock()
    stopped = threading.Event()
    for it in workers:
        it.write()
    threading.Thread(target=keep_beating, args=(workers, lock, stopped), daemon=True).start()
    checks = Checks()
    with tempfile.TemporaryDirectory() as folder:
        nodes = []
        try:
            for i in range(options.nodes):
                nodes.append(storm.Node(options, i, options.logs or folder))
            play(options, nodes, stores, workers, lock, checks, rng)
        finally:
            stopped.set()
            for it in nodes:
                it.kill()
    for it in checks.faults[:12]:
        print(it)
    print("ok" if not checks.faults else "FAILED", f"{len(checks.faults)} faults in {checks.requests} requests")
    return 0 if not checks.faults else 1


if __name__ == "__main__":
    sys.exit(main())
