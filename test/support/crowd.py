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
import socket
import sys
import threading
import time

BODY_BYTES = 8 * 1024 * 1024
TINY_CHUNKS = 512 * 1024
ANSWER_BYTES = 8 * 1024 * 1024
PIECE_BYTES = 64 * 1024


class Target(http.server.BaseHTTPRequestHandler):
    """Answers any request; those for /ledger/history get a long answer."""

    protocol_version = "HTTP/1.1"

    def answer(self):
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            got = len(self.rfile.read(min(left, PIECE_BYTES)))
            left = left - got if got else 0
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


KINDS = {
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

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid = pid
        self.memory_mb = 0.0
        self.descriptors = 0
        self.is_alive_still = True
        self.is_over = threading.Event()

    def sample(self):
        try:
            with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmHWM:"):
                        kib = int(line.split()[1])
                        self.memory_mb = max(self.memory_mb, kib * 1024 / 1e6)
            n = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.descriptors = max(self.descriptors, n)
        except OSError:
            self.is_alive_still = False

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
    watch = Watch(options.pid)
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
    options = parser.parse_args()
    if options.mode == "play":
        return play(options)
    server = http.server.ThreadingHTTPServer(address_of(options.listen), Target)
    server.daemon_threads = True
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
