"""A fleet of real daemons whose processes are killed together and whose seeds start
again late or never.

  meet.py --daemon PATH [--never]     exits with 1 if the running nodes do not all
                                      list each other as alive in time

All addresses are loopback addresses; all processes are ended by their ids.
"""

import argparse
import http.client
import json
import sys
import tempfile
import time

import storm

NODES, SEEDS = 7, 2
LATE_S = 3.0
BOUND_S = 15.0


def live_others(node):
    """Returns how many other nodes a node lists as alive, or None if it does not say."""
    try:
        connection = http.client.HTTPConnection(node.address, storm.ADMIN, timeout=2)
        connection.request("GET", "/status")
        status = json.loads(connection.getresponse().read())
        return sum(1 for it in status["members"] if it["status"] == "alive")
    except (OSError, ValueError, KeyError, http.client.HTTPException):
        return None


def wait_until_met(nodes, what):
    start = time.monotonic()
    counts = []
    while time.monotonic() < start + BOUND_S:
        counts = [live_others(it) for it in nodes]
        if counts == [len(nodes) - 1] * len(nodes):
            print(f"{what}: met after {time.monotonic() - start:.1f} s")
            return True
        time.sleep(0.1)
    print(f"{what}: not met after {BOUND_S:.0f} s, others alive: {counts}")
    return False


def play(nodes, never):
    if not wait_until_met(nodes, "first start"):
        return False
    for it in nodes:
        it.kill()
    time.sleep(0.5)
    for it in nodes[SEEDS:]:
        it.start()
    if never:
        return wait_until_met(nodes[SEEDS:], "without seeds")
    time.sleep(LATE_S)
    for it in nodes[:SEEDS]:
        it.start()
    return wait_until_met(nodes, "late seeds")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--never", action="store_true", help="the seeds do not return")
    parser.add_argument("--zones", type=int, default=2)
    options = parser.parse_args()
    for i in range(2):
        storm.serve(("127.0.0.1", storm.STORE_PORT + i), storm.Store, is_away=False)
    with tempfile.TemporaryDirectory() as folder:
        nodes = [storm.Node(options, i, folder) for i in range(NODES)]
        try:
            return 0 if play(nodes, options.never) else 1
        finally:
            for it in nodes:
                it.kill()


if __name__ == "__main__":
    sys.exit(main())
