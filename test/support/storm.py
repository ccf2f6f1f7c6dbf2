"""A fleet of real daemons whose configuration changes all the while, and what
their logs say of it.

  storm.py --daemon PATH [options]    exits with 1 if two daemons have one revision
                                      with different entries, or if a route is not
                                      served as the last configuration has it

Daemons lose their processes together and start again, and the store turns a part of
them away meanwhile, so that they skip revisions and load copies from each other. All
addresses are loopback addresses; all processes are ended by their ids.
"""

import argparse
import base64
import collections
import http.client
import http.server
import json
import random
import re
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = "ficu.example"
ROUTES = 24
SERVICES = ("old", "new")
STORE_PORT = 32000
WORKER_PORT = 32100
LISTEN, PEER, ADMIN = 32200, 32201, 32202
PORT_BASE = STORE_PORT


def use_ports(base):
    """Moves all ports, so that two runs at a time share none."""
    global STORE_PORT, WORKER_PORT, LISTEN, PEER, ADMIN
    STORE_PORT, WORKER_PORT = base, base + 100
    LISTEN, PEER, ADMIN = base + 200, base + 201, base + 202


class Topic:
    """A keyed topic: all records, the era of the store, and a signal for those who wait
    for more."""

    def __init__(self):
        self.records = []
        self.era = 1
        self.changed = threading.Condition()

    def put(self, key, value):
        with self.changed:
            self.records.append((key, json.dumps(value).encode()))
            self.changed.notify_all()

    def append(self, body, at):
        """Appends the records of a call if the topic ends at an offset or at is None.
        Returns the status and the end."""
        with self.changed:
            if at is not None and at != len(self.records):
                return 412, len(self.records)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                key_length = body[4]
                key = body[5 : 5 + key_length].decode()
                self.records.append((key, body[5 + key_length : 4 + length]))
                body = body[4 + length :]
            self.changed.notify_all()
            return 200, len(self.records)

    def restore(self, lost):
        """Comes back from a copy that lacks the last records, in the next era."""
        with self.changed:
            del self.records[max(0, len(self.records) - lost) :]
            self.era += 1
            self.changed.notify_all()

    def read(self, first, wait):
        """Returns the era, and the records from an offset on; no records if the topic
        does not have the offset."""
        with self.changed:
            era = self.era
            self.changed.wait_for(
                lambda: len(self.records) > first or self.era != era, wait
            )
            if first > len(self.records):
                return self.era, None
            body = struct.pack(">QQ", len(self.records), 0)
            for key, value in self.records[first:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return self.era, body

    def newest(self):
        with self.changed:
            items = {}
            for offset, (key, value) in enumerate(self.records):
                text = base64.b64encode(value).decode()
                items[key] = {"key": key, "value": text, "offset": offset}
            page = {"items": list(items.values()), "more": False, "end": len(self.records)}
            return self.era, json.dumps(page).encode()


TOPICS = {"keyed.op": Topic(), "keyed.servers": Topic()}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def send(self, status, body, *fields):
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class Store(Handler):
    """Serves the topics, unless its server turns everyone away."""

    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = TOPICS.get(query["topic"])
        if topic is None:
            self.answer(TOPICS["keyed.op"].era, 404, b"")
        elif self.server.is_away:
            self.answer(topic.era, 503, b"")
        elif url.path == "/-/log-newest":
            era, page = topic.newest()
            self.answer(era, 200, page)
        else:
            wait = int(query.get("wait_ms", 0)) / 1000
            era, body = topic.read(int(query["from"]), wait)
            if body is None:
                self.answer(era, 410, b'{"first": 0}')
            else:
                self.answer(era, 200, body)

    def do_POST(self):
        """POST /-/log-append: creates the topic if need be.
        POST /drill?lost=N: all topics lose their last N records."""
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if url.path == "/-/log-append" and not self.server.is_away:
            at = int(query["at"]) if "at" in query else None
            status, end = TOPICS.setdefault(query["topic"], Topic()).append(body, at)
            self.answer(TOPICS["keyed.op"].era, status, json.dumps({"end": end}).encode())
            return
        if url.path != "/drill":
            self.send(404, b"")
            return
        for it in TOPICS.values():
            it.restore(int(query.get("lost", 0)))
        self.answer(TOPICS["keyed.op"].era, 200, b"")

    def answer(self, era, status, body):
        self.send(status, body, ("Store-Era", str(era)))


class Worker(Handler):
    """Answers each request with the name of its service."""

    def do_GET(self):
        self.send(
            200,
            self.server.service.encode(),
            ("Vanillascale-Request-Id", self.headers.get("Vanillascale-Request-Id", "")),
            ("Vanillascale-Upstream-Signature", "signed"),
        )


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Daemons that are killed break their connections off."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def serve(address, handler, **fields):
    server = Server(address, handler)
    for name, value in fields.items():
        setattr(server, name, value)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def start_workers():
    for i, service in enumerate(SERVICES):
        serve(("127.0.0.1", WORKER_PORT + i), Worker, service=service)


def keep_workers_listed(end):
    sequence = 0
    while time.monotonic() < end:
        sequence += 1
        for i, service in enumerate(SERVICES):
            entry = {"service": service, "address": f"127.0.0.1:{WORKER_PORT + i}"}
            entry.update(zone="z0", version="v1", capacity=50, state="ready")
            entry.update(warmup_left_s=0.0, sequence=sequence)
            TOPICS["keyed.servers"].put(f"i-{i}", entry)
        time.sleep(1)


class Operator:
    """Moves routes between the services, some of them back in the next version."""

    def __init__(self, rng):
        self.rng = rng
        self.version = 1
        self.services = ["old"] * ROUTES
        self.publish()

    def publish(self):
        limits = dict(max_header_bytes=16384, max_body_bytes=1 << 20)
        limits.update(header_timeout_s=3, idle_timeout_s=15)
        items = [{"type": "limits", "metadata": {}, "spec": limits}]
        for it in SERVICES:
            items.append({"type": "services", "metadata": {"name": it}, "spec": {}})
        for i, service in enumerate(self.services):
            spec = dict(host=HOST, path_prefix=f"/r{i}/", kind="safe", timeout_s=2)
            spec.update(latency_goal_s=1, attempts=3, priority=0, service=service)
            items.append({"type": "routes", "metadata": {"name": f"r-{i}"}, "spec": spec})
        config = {"version": f"{self.version:08x}", "resources": items}
        TOPICS["keyed.op"].put("config", config)

    def change(self):
        for i in self.rng.sample(range(ROUTES), 4):
            self.services[i] = "old" if self.services[i] == "new" else "new"
        self.version += self.rng.randint(1, 3)
        self.publish()


class Node:
    def __init__(self, options, index, folder, daemon=None, store_port=None):
        self.index = index
        self.address = f"127.1.0.{index + 1}"
        store_port = store_port or STORE_PORT + index % 2
        self.log = open(f"{folder}/{index}.log", "ab")
        self.command = [daemon or options.daemon, "--platform-api", "store"]
        settings = {
            "listen": f"{self.address}:{LISTEN}",
            "peer": f"{self.address}:{PEER}",
            "admin": f"{self.address}:{ADMIN}",
            "platform": f"127.0.0.1:{store_port}",
            "seeds": f"127.1.0.1:{PEER},127.1.0.2:{PEER}",
            "zone": f"z{index % options.zones}",
            "environment": "production",
            "vm-group": "proxies",
        }
        for name, value in settings.items():
            self.command += ["--" + name, value]
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            self.command, stdout=self.log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )

    def kill(self):
        self.process.kill()
        self.process.wait()

    def service_of(self, route):
        """Returns the service that answers a request of a route, or what it got."""
        try:
            connection = http.client.HTTPConnection(self.address, LISTEN, timeout=3)
            connection.request("GET", f"/r{route}/x", headers={"Host": HOST})
            answer = connection.getresponse()
            return answer.read().decode() if answer.status == 200 else str(answer.status)
        except (OSError, http.client.HTTPException) as problem:
            return type(problem).__name__


def play(options, nodes, operator, stores, rng):
    """Plays the changes, the losses of processes and the store that turns away."""
    start = time.monotonic()
    events = []
    for at in options.losses:
        events.append((at, "kill"))
        events.append((at + 0.3, "away"))
        events.append((at + options.dark, "start"))
        events.append((at + 0.3 + options.away, "back"))
    at = options.changes_from
    while at < options.seconds:
        events.append((at, "change"))
        at += options.gap
    victims = []
    for at, what in sorted(events):
        time.sleep(max(0, start + at - time.monotonic()))
        if what == "change":
            operator.change()
        elif what == "kill":
            victims = rng.sample(nodes, len(nodes) * 55 // 100)
            for it in victims:
                it.kill()
        elif what == "start":
            for it in victims:
                it.start()
        else:
            stores[1].is_away = what == "away"


def revisions_with_two_contents(folder, count):
    contents = collections.defaultdict(set)
    pattern = re.compile(rb"revision=(\d+) .*digest=(\d+) .*outcome=in_force")
    reads = 0
    for i in range(count):
        with open(f"{folder}/{i}.log", "rb") as log:
            for line in log:
                match = b"name=DocumentRead" in line and pattern.search(line)
                if match:
                    reads += 1
                    contents[int(match[1])].add(int(match[2]))
    print(f"{reads} configurations in force, {len(contents)} revisions")
    return sorted(it for it, digests in contents.items() if len(digests) > 1)


def wrong_routes(nodes, operator):
    wrong = []
    for i, node in enumerate(nodes):
        for route, service in enumerate(operator.services):
            got = node.service_of(route)
            if got != service:
                wrong.append(f"node {i} route {route}: {got}, wanted {service}")
    return wrong


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--changes-from", type=float, default=2)
    parser.add_argument("--gap", type=float, default=0.04)
    parser.add_argument("--losses", type=float, nargs="*", default=[4, 8])
    parser.add_argument("--dark", type=float, default=1)
    parser.add_argument("--away", type=float, default=2)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    stores = [serve(("127.0.0.1", STORE_PORT + i), Store, is_away=False) for i in range(2)]
    start_workers()
    operator = Operator(rng)
    threading.Thread(
        target=keep_workers_listed, args=(time.monotonic() + options.seconds + 120,), daemon=True
    ).start()
    with tempfile.TemporaryDirectory() as folder:
        nodes = []
        try:
            for i in range(options.nodes):
                nodes.append(Node(options, i, folder))
            play(options, nodes, operator, stores, rng)
            end = time.monotonic() + 60
            wrong = wrong_routes(nodes, operator)
            while wrong and time.monotonic() < end:
                time.sleep(1)
                wrong = wrong_routes(nodes, operator)
        finally:
            for it in nodes:
                it.kill()
        split = revisions_with_two_contents(folder, options.nodes)
    for it in wrong[:10]:
        print(it)
    checks = {
        "each route is served as the last configuration has it": not wrong,
        f"each revision has one content, not {split}": not split,
    }
    for name, holds in checks.items():
        print("ok" if holds else "FAILED", name)
    return 0 if all(checks.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
