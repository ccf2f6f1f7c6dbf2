"""A fleet of real daemons whose store is restored from an older copy.

  drill.py --daemon PATH [options]    exits with 1 if a version that the store has
                                      acknowledged is not in force in time at each
                                      node, if a node goes back to an older one, or if
                                      requests reach a worker that has left

The store can fail in other ways around a restore, see the options. A thread probes all
nodes meanwhile: the version that is seen at a node never falls. With --old-nodes, the
checks apply to the other nodes only.

Each version adds a route and moves another one, so that an answer shows by which
version a request was handled. The operator and the workers write again what the store
has lost. All addresses are loopback addresses; all processes are ended by their ids.
"""

import argparse
import concurrent.futures
import http.client
import random
import sys
import tempfile
import threading
import time
import urllib.request

import storm
import store_port

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
        self.start = time.monotonic()
        self.faults = []
        self.events = []
        self.requests = 0
        self.lock = threading.Lock()

    def note(self, text):
        """Notes an event with its time, for the reader of a failed run."""
        moment = time.monotonic() - self.start
        self.events.append(f"{moment:7.2f} s, wall_ms={int(time.time() * 1000)}: {text}")

    def fail(self, text):
        with self.lock:
            self.faults.append(f"{time.monotonic() - self.start:.2f} s: {text}")

    def count(self):
        with self.lock:
            self.requests += 1


class Probe(threading.Thread):
    """Asks all nodes in turn and checks that the version seen at a node never falls.

    The route /vN/ shows whether a node has version N, and the service that answers
    /moved/ shows whether its version is odd or even. This guards against a node that
    goes back for a moment between two checks."""

    def __init__(self, nodes, checks, stopped):
        super().__init__(daemon=True)
        self.nodes = nodes
        self.checks = checks
        self.stopped = stopped
        self.seen = [0] * len(nodes)
        self.rounds = 0

    def run(self):
        while not self.stopped.wait(0.01):
            for i in range(len(self.nodes)):
                if not self.stopped.is_set():
                    self.probe(i)
            self.rounds += 1

    def get(self, i, path):
        self.checks.count()
        return get(self.nodes[i], path)

    def probe(self, i):
        before = self.seen[i]
        if before and self.get(i, f"/v{before}/x")[0] == 404:
            self.checks.fail(
                f"probe: node {self.nodes[i].index} went back, it has served version {before}"
            )
        status, service = self.get(i, "/moved/x")
        following = 200
        while following == 200:
            following = self.get(i, f"/v{self.seen[i] + 1}/x")[0]
            self.seen[i] += following == 200
        if following != 404:
            return  # Overload, say: does not tell whether the node has the next version.
        possible = {storm.SERVICES[it % 2] for it in range(before, self.seen[i] + 1)}
        if before and status == 200 and service not in possible:
            self.checks.fail(
                f"probe: node {self.nodes[i].index} served /moved/ by {service}, its version is "
                f"{before} to {self.seen[i]}"
            )


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
    """Checks that each node serves by a version, and none by an older one. Asks all
    nodes at about the same time, so that a slow one does not defer the others."""

    def check(i):
        for path, wanted in (
            (f"/v{version}/x", "old"),
            ("/moved/x", storm.SERVICES[version % 2]),
        ):
            status, body = get(nodes[i], path)
            checks.count()
            if status != 200 or body != wanted:
                checks.fail(f"{what}: node {nodes[i].index} answers {path} with {status} {body!r}")

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        list(pool.map(check, range(len(nodes))))


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
    checks.note(f"{what}: version {version} is acknowledged")
    time.sleep(CONFIG_BOUND_S)
    check_version(nodes, version, checks, what)


class Fleet:
    """The nodes that are checked, the ports of the store, the workers and the operator."""

    def __init__(self, options, nodes, stores, workers, lock, checks, rng):
        self.options = options
        self.nodes = nodes
        self.stores = stores
        self.workers = workers
        self.lock = lock
        self.checks = checks
        self.rng = rng
        self.operator = Operator()
        self.late_port = 0

    def cut(self):
        if self.options.cut and not self.stores[2].is_refusing:
            self.stores[2].refuse()
            self.checks.note("the third port of the store refuses")

    def mend(self):
        if self.stores[2].is_refusing:
            self.stores[2].open()
            self.checks.note("the third port of the store is back")

    def write_past_old_end(self):
        """Writes new records that pass the old end before a node reads."""
        for _ in range(self.options.lost * len(self.workers)):
            self.workers[-1].write()

    def restore(self, what, write):
        """Restores the store, some times in a row, each time followed by a write of the
        workers. Holds the lock, so that no other record is written in between."""
        for turn in range(self.options.restores):
            if turn:
                if self.rng.random() < 0.5:
                    self.operator.publish(self.operator.version + 1)
                    self.checks.note(f"{what}: version {self.operator.version}, to be lost")
                time.sleep(self.rng.uniform(0.1, 0.9))
            elif self.options.late_answers:
                # The ports take turns, so that the node that reads for its zone is met.
                self.late_port = 1 - self.late_port
                self.stores[self.late_port].answer_late(self.options.late_answers)
                self.checks.note(f"{what}: port {self.late_port} keeps the old content")
            drill(self.options.lost)
            self.checks.note(f"{what}: restored, {self.options.lost} records are lost")
            for it in self.stores:
                it.has_dropped_history = self.options.dropped_history
            write()

    def play_drill(self, what):
        options, nodes, operator = self.options, self.nodes, self.operator
        known = operator.version
        for it in self.stores:
            it.is_away = options.away > 0
            it.delay = options.slow
        time.sleep(options.away)

        def write():
            if options.gap:
                self.write_past_old_end()
            if not options.silent:
                for it in self.workers:
                    it.write()

        with self.lock:
            self.restore(what, write)
        for it in self.stores:
            it.is_away = False
        if options.late_nodes:
            time.sleep(0.2)
            for it in self.rng.sample(nodes, options.late_nodes):
                it.kill()
                it.start()
                self.checks.note(f"{what}: node {it.index} starts again")
        time.sleep(0.5)
        check_version_kept(nodes, known, self.checks, what + ", before the operator writes")
        last = operator.version
        for version in range(max(1, last - options.again + 1), last + 1):
            operator.publish(version)
        if options.late_nodes:
            wait_for_version(nodes, 1, 10)
        for _ in range(options.changes):
            check_version_in_time(nodes, operator, last + 1, self.checks, what)
            last += 1
        for it in self.stores:
            it.delay = 0

    def play_leaving(self):
        options = self.options
        leaving = self.workers[0]
        for it in self.stores:
            it.delay = options.slow

        def write():
            for it in self.workers:
                it.is_silent = options.silent or it is leaving
            leaving.state = "draining"
            leaving.write()
            if options.gap:
                self.write_past_old_end()

        with self.lock:
            self.restore("leaving", write)
        left = time.monotonic()
        self.checks.note("the worker's leaving is acknowledged")
        end = left + LEAVING_BOUND_S + 2 + options.late_answers
        served = set()
        while time.monotonic() < end:
            for node in self.nodes:
                if get(node, "/v1/x")[0] == 200 and time.monotonic() > left + LEAVING_BOUND_S:
                    served.add(node)
        if len(served) < len(self.nodes):
            self.checks.fail(f"only {len(served)} nodes serve requests after the leaving")
        late = [it - left for it in leaving.server.reached if it > left + LEAVING_BOUND_S]
        if late:
            self.checks.fail(
                f"{len(late)} requests reached a worker that had left, up to "
                f"{max(late):.1f} s late"
            )


def play(fleet):
    options, checks, operator = fleet.options, fleet.checks, fleet.operator
    for version in range(1, 6):
        operator.publish(version)
        time.sleep(0.1)
    if not wait_for_version(fleet.nodes, operator.version, 30):
        checks.fail("the fleet did not start")
        return
    time.sleep(1.5)
    stopped = threading.Event()
    probe = Probe(fleet.nodes, checks, stopped)
    probe.start()
    for turn in range(options.drills):
        fleet.cut()
        fleet.play_drill(f"drill {turn + 1}")
        if options.cut and (turn % 2 or turn + 1 == options.drills):
            fleet.mend()
            what = f"drill {turn + 1}, with the third port back"
            check_version_in_time(fleet.nodes, operator, operator.version + 1, checks, what)
    fleet.cut()
    fleet.play_leaving()
    stopped.set()
    probe.join()
    print(f"{probe.rounds} rounds of the probe")


def check_version_kept(nodes, version, checks, what):
    """Checks that nodes which served a version still do; one that has started again may
    not be ready yet."""
    for node in nodes:
        status, body = get(node, f"/v{version}/x")
        checks.count()
        if status == 404:
            checks.fail(f"{what}: node {node.index} went back, /v{version}/x has {status} {body!r}")


def parse_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port-base", type=int, default=storm.PORT_BASE)
    parser.add_argument("--drills", type=int, default=1)
    parser.add_argument("--lost", type=int, default=3, help="records that each topic loses")
    parser.add_argument("--again", type=int, default=1, help="versions that are written again")
    parser.add_argument("--changes", type=int, default=2, help="new versions after a drill")
    parser.add_argument("--away", type=float, default=0, help="seconds without the store")
    parser.add_argument("--late-nodes", type=int, default=0, help="nodes that start again")
    parser.add_argument("--gap", action="store_true", help="new records pass the old end")
    parser.add_argument("--silent", action="store_true", help="workers lose their heartbeats")
    parser.add_argument("--cut", type=int, default=0, help="nodes without the store, 2 drills long")
    parser.add_argument(
        "--late-answers", type=float, default=0, help="seconds of old answers at one port"
    )
    parser.add_argument("--restores", type=int, default=1, help="restores under 1 s apart")
    parser.add_argument("--slow", type=float, default=0, help="seconds by which answers are late")
    parser.add_argument("--dropped-history", action="store_true", help="only newest records stay")
    parser.add_argument("--mixed", action="store_true", help="a mix of these by the seed")
    parser.add_argument("--old-daemon", help="an older build; for runs by hand")
    parser.add_argument("--old-nodes", type=int, default=0, help="nodes of the older build")
    parser.add_argument("--logs", help="a folder that keeps the logs")
    options = parser.parse_args()
    if options.mixed:
        mix_options(options)
    return options


def mix_options(options):
    """Sets the faults of a run by its seed, each of them in about every third run."""
    rng = random.Random(options.seed)

    def maybe(value, default):
        return value if rng.random() < 0.35 else default

    options.lost = rng.randint(1, 6)
    options.again = rng.randint(1, 3)
    options.away = maybe(round(rng.uniform(0.1, 1.5), 1), 0)
    options.late_nodes = maybe(rng.randint(1, 2), 0)
    options.gap = maybe(True, False)
    options.silent = maybe(True, False)
    options.cut = maybe(rng.randint(1, 3), 0)
    options.late_answers = maybe(round(rng.uniform(1, 4), 1), 0)
    options.restores = maybe(rng.randint(2, 3), 1)
    options.slow = maybe(0.3, 0)
    options.dropped_history = maybe(True, False)
    print("mixed:", " ".join(f"{name}={value}" for name, value in vars(options).items()))


def start_nodes(options, rng, folder, nodes):
    """Starts all nodes and returns those that are checked."""
    old = rng.sample(range(options.nodes), options.old_nodes)
    cut = rng.sample([it for it in range(options.nodes) if it not in old], options.cut)
    if options.cut or options.old_nodes:
        print(f"cut off: {sorted(cut)}, of the older build: {sorted(old)}")
    for i in range(options.nodes):
        daemon = options.old_daemon if i in old else options.daemon
        port = storm.STORE_PORT + (2 if i in cut else i % 2)
        nodes.append(storm.Node(options, i, folder, daemon, port))
    return [it for i, it in enumerate(nodes) if i not in old]


def main():
    options = parse_options()
    storm.use_ports(options.port_base)
    rng = random.Random(options.seed)
    stores = [store_port.StorePort(storm.STORE_PORT + i) for i in range(3)]
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
            checked = start_nodes(options, rng, options.logs or folder, nodes)
            play(Fleet(options, checked, stores, workers, lock, checks, rng))
        finally:
            stopped.set()
            for it in nodes:
                it.kill()
    for it in (checks.events if checks.faults else []) + checks.faults[:12]:
        print(it)
    print(
        "ok" if not checks.faults else "FAILED",
        f"{len(checks.faults)} faults in {checks.requests} requests",
    )
    return 0 if not checks.faults else 1


if __name__ == "__main__":
    sys.exit(main())
