"""Many callers that send and read as badly as the protocol allows, and what they
do to one proxy.

  crowd.py target HOST:PORT      a target with long answers
  crowd.py play KINDS OPTIONS    plays callers, exits with 1 if the proxy died,
                                 exceeded a bound, or answers no ordinary request

Callers never look at what they are refused: a closed connection is opened again.
"""

import argparse
import http.client
import http.server
import os
import select
import socket
import struct
import sys
import threading
import time

BODY_BYTES = 8 * 1024 * 1024
TINY_CHUNKS = 512 * 1024
ANSWER_BYTES = 8 * 1024 * 1024
PIECE_BYTES = 64 * 1024
STUCK_SECONDS = 20
STREAM_SECONDS = 8
ENDLESS_CHUNKS = 100 * 1024


class Target(http.server.BaseHTTPRequestHandler):
    """Answers any request; those for /ledger/history get a long answer, whole, in
    chunks or without an end. Those for /unread and /unanswered are left alone."""

    protocol_version = "HTTP/1.1"

    def send_chunks(self, count):
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        chunk = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
        for _ in range(count):
            self.wfile.write(chunk)
        self.wfile.write(b"0\r\n\r\n")

    def answer(self):
        if self.path.endswith("/unread"):
            time.sleep(STUCK_SECONDS)
            self.close_connection = True
            return
        if self.path.endswith("/chunks"):
            self.send_chunks(ANSWER_BYTES // PIECE_BYTES)
            return
        if self.path.endswith("/endless"):
            self.send_chunks(ENDLESS_CHUNKS)
            return
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            got = len(self.rfile.read(min(left, PIECE_BYTES)))
            left = left - got if got else 0
        if self.path.endswith("/unanswered"):
            time.sleep(STUCK_SECONDS)
            self.close_connection = True
            return
        body = b"x" * ANSWER_BYTES if self.path.startswith("/ledger/history") else b"ok\n"
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_PUT = answer

    def log_message(self, *_):
        pass


def head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", "Host: ledger", *fields, "", ""]
    return "\r\n".join(lines).encode()


def send_body(peer, body_bytes, piece_bytes, pause):
    """Sends a body in pieces."""
    while body_bytes > 0:
        n = min(piece_bytes, body_bytes)
        peer.sendall(b"x" * n)
        body_bytes -= n
        time.sleep(pause)


def whole(peer):
    peer.sendall(head("PUT", "/ledger/upload", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES, BODY_BYTES, 0)


def in_pieces(peer):
    peer.sendall(head("PUT", "/ledger/upload", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES - 1, PIECE_BYTES, 0.005)


def short(peer):
    peer.sendall(head("PUT", "/ledger/upload", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES - 1, BODY_BYTES, 0)


def large_chunks(peer):
    peer.sendall(head("PUT", "/ledger/upload", "Transfer-Encoding: chunked"))
    chunk = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
    for _ in range(BODY_BYTES // PIECE_BYTES):
        peer.sendall(chunk)
    peer.sendall(b"0\r\n")


def tiny_chunks(peer):
    peer.sendall(head("PUT", "/ledger/upload", "Transfer-Encoding: chunked"))
    chunks = b"1\r\nx\r\n" * 1024
    for _ in range(TINY_CHUNKS // 1024):
        peer.sendall(chunks)
    peer.sendall(b"0\r\n")


def slow_reader(peer):
    """Asks for a long answer and takes a little of it now and then."""
    peer.sendall(head("GET", "/ledger/history"))
    while peer.recv(512):
        time.sleep(0.5)


def open_head(peer):
    """Sends a head that never ends, a byte now and then."""
    peer.sendall(b"GET /ledger/balance/7 HTTP/1.1\r\nHost: ledger\r\nX-Filler: ")
    while True:
        peer.sendall(b"x")
        time.sleep(0.2)


def large_heads(peer):
    """Sends heads of nearly the largest size behind each other and reads nothing."""
    fields = [f"X-Filler-{i}: {'x' * 1000}" for i in range(14)]
    for _ in range(2000):
        peer.sendall(head("GET", "/ledger/balance/7", *fields))


def idle(peer):
    """Opens a connection and sends nothing."""
    time.sleep(60)


def awaited_body(peer):
    """Announces a body and waits to be asked for it."""
    fields = (f"Content-Length: {BODY_BYTES}", "Expect: 100-continue")
    peer.sendall(head("PUT", "/ledger/upload", *fields))


def extended_chunks(peer):
    peer.sendall(head("PUT", "/ledger/upload", "Transfer-Encoding: chunked"))
    chunk = b"1;" + b"e" * 2000 + b"\r\nx\r\n"
    for _ in range(20000):
        peer.sendall(chunk)


def endless_trailers(peer):
    peer.sendall(head("PUT", "/ledger/upload", "Transfer-Encoding: chunked") + b"0\r\n")
    while True:
        peer.sendall(b"X-Trailer: " + b"x" * 1000 + b"\r\n")


def pipelined_readers(peer):
    """Asks for many long answers at once and reads none."""
    peer.sendall(head("GET", "/ledger/history") * 50)
    time.sleep(60)


def pipelined_small(peer):
    """Asks for many short answers at once and reads none."""
    for _ in range(400):
        peer.sendall(head("GET", "/ledger/balance/7") * 100)


def endless_pipeline(peer):
    """Sends as many requests as it can, and takes each answer."""
    requests = head("GET", "/ledger/balance/7") * 1000
    peer.setblocking(False)
    end = time.monotonic() + STREAM_SECONDS
    while time.monotonic() < end:
        _, writable, _ = select.select([peer], [peer], [], 1)
        if writable:
            peer.send(requests)
        try:
            if not peer.recv(PIECE_BYTES):
                return
        except BlockingIOError:
            pass


def chunk_reader(peer):
    """Asks for a long answer in chunks and takes a little of it now and then."""
    peer.sendall(head("GET", "/ledger/history/chunks"))
    while peer.recv(512):
        time.sleep(0.5)


def endless_reader(peer):
    peer.sendall(head("GET", "/ledger/history/endless"))
    while peer.recv(PIECE_BYTES):
        pass


def behind_a_request(peer):
    """Sends without end behind a request that its target does not answer."""
    peer.sendall(head("GET", "/ledger/history/unanswered"))
    for _ in range(200):
        peer.sendall(head("GET", "/ledger/balance/7") * 100)


def reset_body(peer):
    """Breaks off in the middle of a body."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.sendall(head("PUT", "/ledger/upload", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES // 2, BODY_BYTES, 0)
    raise ConnectionResetError


def reset_reader(peer):
    """Breaks off when a long answer begins."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.sendall(head("GET", "/ledger/history"))
    peer.recv(512)
    raise ConnectionResetError


def unread_body(peer):
    peer.sendall(head("PUT", "/ledger/upload/unread", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES, BODY_BYTES, 0)


def unanswered_body(peer):
    peer.sendall(head("PUT", "/ledger/upload/unanswered", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES, BODY_BYTES, 0)


def unanswered_chunks(peer):
    peer.sendall(head("PUT", "/ledger/upload/unanswered", "Transfer-Encoding: chunked"))
    chunk = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
    for _ in range(BODY_BYTES // PIECE_BYTES):
        peer.sendall(chunk)
    peer.sendall(b"0\r\n\r\n")


def unrouted_body(peer):
    peer.sendall(head("PUT", "/nowhere", f"Content-Length: {BODY_BYTES}"))
    send_body(peer, BODY_BYTES, BODY_BYTES, 0)


KINDS = {
    "heads": [open_head, large_heads, idle, awaited_body],
    "framing": [extended_chunks, endless_trailers, tiny_chunks, unrouted_body],
    "pipelines": [pipelined_readers, pipelined_small],
    "answers": [chunk_reader, endless_reader, slow_reader],
    "behind": [behind_a_request],
    "streams": [endless_pipeline],
    "resets": [reset_body, reset_reader],
    "stuck": [unread_body, unanswered_body, unanswered_chunks, slow_reader],
    "bodies": [whole, in_pieces, short],
    "readers": [slow_reader],
    "chunks": [large_chunks, large_chunks, tiny_chunks],
    "mix": [whole, in_pieces, short, slow_reader, large_chunks, tiny_chunks],
}


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def play_caller(act, proxy, end):
    """Plays one caller until a time; where its connection ends, it comes again."""
    while time.monotonic() < end:
        with socket.socket() as peer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            peer.settimeout(1)
            try:
                peer.connect(proxy)
                act(peer)
                while time.monotonic() < end and peer.recv(4096):
                    pass
            except socket.timeout:
                # Stays open, as a caller that has stopped, unless it is refused.
                while time.monotonic() < end:
                    try:
                        if not peer.recv(4096):
                            break
                    except socket.timeout:
                        pass
                    except OSError:
                        break
            except OSError:
                pass
        time.sleep(0.1)


class Watch(threading.Thread):
    """Samples what a process uses until it is stopped."""

    def __init__(self, pid, counted_port=None):
        """With a port, bytes that the kernel holds for it unread count as memory."""
        super().__init__(daemon=True)
        self.pid = pid
        self.counted_port = counted_port
        self.memory_mb = 0.0
        self.descriptors = 0
        self.is_alive_still = True
        self.is_over = threading.Event()

    def sample(self):
        try:
            with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmHWM:" if not self.counted_port else "VmRSS:"):
                        kib = int(line.split()[1])
                        used = kib * 1024 + self.unread_bytes()
                        self.memory_mb = max(self.memory_mb, used / 1e6)
            n = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.descriptors = max(self.descriptors, n)
        except OSError:
            self.is_alive_still = False

    def unread_bytes(self):
        unread = 0
        if not self.counted_port:
            return unread
        with open(f"/proc/{self.pid}/net/tcp", encoding="ascii") as sockets:
            next(sockets)
            for line in sockets:
                _, local, _, _, queues = line.split()[:5]
                if int(local.split(":")[1], 16) == self.counted_port:
                    unread += int(queues.split(":")[1], 16)
        return unread

    def run(self):
        while not self.is_over.wait(0.05):
            self.sample()


def gets_answer(proxy, seconds):
    """Whether an ordinary request is answered within a time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            connection = http.client.HTTPConnection(*proxy, timeout=2)
            connection.request("GET", "/ledger/balance/7")
            if connection.getresponse().status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.2)
    return False


def play(options):
    proxy = address_of(options.proxy)
    watch = Watch(options.pid, proxy[1] if options.count_unread else None)
    watch.start()
    end = time.monotonic() + options.seconds
    acts = KINDS[options.kinds]
    callers = [
        threading.Thread(target=play_caller, args=(acts[i % len(acts)], proxy, end), daemon=True)
        for i in range(options.callers)
    ]
    for it in callers:
        it.start()
        # Answers that come at the same moment have a limit of their own.
        time.sleep(0.1 if options.kinds == "readers" else 0)
    for it in callers:
        it.join(options.seconds + 10)
    is_answered = gets_answer(proxy, 15)
    watch.is_over.set()
    watch.join()
    watch.sample()
    checks = {
        "the process lives": watch.is_alive_still,
        f"{watch.memory_mb:.0f} MB of {options.memory_mb}": watch.memory_mb <= options.memory_mb,
        f"{watch.descriptors} descriptors of {options.descriptors}": watch.descriptors
        <= options.descriptors,
        "an ordinary request is answered": is_answered,
    }
    for name, holds in checks.items():
        print("ok" if holds else "FAILED", name)
    return 0 if all(checks.values()) else 1


def main():
    parser = argparse.ArgumentParser()
    modes = parser.add_subparsers(dest="mode", required=True)
    target = modes.add_parser("target")
    target.add_argument("listen")
    player = modes.add_parser("play")
    player.add_argument("kinds", choices=KINDS)
    player.add_argument("--proxy", required=True)
    player.add_argument("--pid", type=int, required=True)
    player.add_argument("--callers", type=int, required=True)
    player.add_argument("--seconds", type=float, required=True)
    player.add_argument("--memory-mb", type=int, required=True)
    player.add_argument("--descriptors", type=int, required=True)
    player.add_argument("--count-unread", action="store_true")
    options = parser.parse_args()
    if options.mode == "play":
        return play(options)
    server = http.server.ThreadingHTTPServer(address_of(options.listen), Target)
    server.daemon_threads = True
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
