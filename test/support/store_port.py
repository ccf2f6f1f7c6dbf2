"""Ports of the store stand-in that fail while the store is restored.

Each port serves the topics of storm.py. A port can answer with 503, refuse connections,
delay its answers, go on answering with an older copy, or lack the records that newer
ones of the same key replaced.
"""

import copy
import json
import socket
import threading
import time
import urllib.parse

import storm


def copy_topics():
    """Returns the topics as they are now, each with its era."""
    topics = {}
    for name, it in storm.TOPICS.items():
        with it.changed:
            topics[name] = storm.Topic()
            topics[name].records = copy.copy(it.records)
            topics[name].era = it.era
    return topics


class FaultyStore(storm.Store):
    """Serves the topics with the faults of its port."""

    def setup(self):
        super().setup()
        self.server.port.connections.add(self.connection)

    def finish(self):
        self.server.port.connections.discard(self.connection)
        super().finish()

    def do_GET(self):
        port = self.server.port
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        topics = port.topics
        if query["topic"] not in topics:
            self.answer(topics["keyed.op"].era, 404, b"")
            return
        era, status, body = self.read(topics[query["topic"]], url.path, query)
        if port.topics is not topics:
            # The answer that was waited for is of a store that the port has left.
            query["wait_ms"] = 0
            era, status, body = self.read(port.topics[query["topic"]], url.path, query)
        time.sleep(port.delay)
        if port.is_refusing:
            self.close_connection = True
            return
        self.answer(era, status, body)

    def read(self, topic, path, query):
        """Returns the era, the status and the body of an answer."""
        port = self.server.port
        if port.is_away:
            return topic.era, 503, b""
        if path == "/-/log-newest":
            era, page = topic.newest()
            return era, 200, page
        first = int(query["from"])
        if port.has_dropped_history:
            with topic.changed:
                newest = {key: offset for offset, (key, _) in enumerate(topic.records)}
                oldest = min(newest.values(), default=0)
                if first < oldest:
                    return topic.era, 410, json.dumps({"first": oldest}).encode()
        era, body = topic.read(first, int(query.get("wait_ms", 0)) / 1000)
        if body is None:
            return era, 410, b'{"first": 0}'
        return era, 200, body


class StorePort:
    def __init__(self, number):
        self.number = number
        self.is_away = False
        self.is_refusing = False
        self.has_dropped_history = False
        self.delay = 0
        self.topics = storm.TOPICS
        self.connections = set()
        self.timer = None
        self.open()

    def open(self):
        self.is_refusing = False
        self.server = storm.serve(("127.0.0.1", self.number), FaultyStore, port=self)

    def refuse(self):
        """Refuses new connections and ends those that are open."""
        self.is_refusing = True
        self.server.shutdown()
        self.server.server_close()
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The daemon has closed it.

    def answer_late(self, seconds):
        """Answers with the present content and era for some seconds."""
        if self.timer:
            self.timer.cancel()
        self.topics = copy_topics()
        self.timer = threading.Timer(seconds, self.follow)
        self.timer.daemon = True
        self.timer.start()

    def follow(self):
        """Answers with the content and era of the store again."""
        old = self.topics
        self.topics = storm.TOPICS
        if old is not storm.TOPICS:
            for it in old.values():
                it.restore(0)  # Wakes the readers that wait for more of the copy.
