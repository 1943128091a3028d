"""A node as a process of its own, and hand-driven peers on loopback sockets.

No helper waits for a fixed time: every wait is for bytes, a connection or an end of stream, with a
time-out that only a hang reaches.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from standins.memory import resident_mb
from standins.platform import SETTINGS, answer, config, parts, request, roster, target

__all__ = [
    "HANG_TIMEOUT_S", "ROOT", "SETTINGS", "Peer", "RunningNode", "accept", "answer", "config",
    "launch", "listen", "node", "port", "request", "roster", "target", "wait_until",
    "wait_until_signal_handled",
]  # fmt: skip

ROOT = Path(__file__).resolve().parent.parent
HANG_TIMEOUT_S = 20.0  # only a hang takes this long


def listen() -> socket.socket:
    """Listen on a free loopback port."""
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(HANG_TIMEOUT_S)
    return sock


def port(server: socket.socket) -> int:
    """Return the port that a socket listens on."""
    return int(server.getsockname()[1])


class Peer:
    """One connection, driven by hand."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(HANG_TIMEOUT_S)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def receive(self) -> bool:
        """Read further bytes into the buffer; returns False at the end of the connection."""
        try:
            data = self.sock.recv(65536)
        except ConnectionError:
            data = b""
        self.buffer += data
        return bool(data)

    def message(self) -> tuple[str, dict[str, str], bytes]:
        """Read one whole message with Content-Length: first line, headers, body."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.receive():
                raise EOFError(f"ended after {self.buffer!r}")
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, headers = parts(head)
        size = int(headers.get("content-length", "0"))
        while len(self.buffer) < size:
            if not self.receive():
                raise EOFError("ended within a body")
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return first, headers, body

    def read_to_end(self) -> bytes:
        """Read up to the end of the connection."""
        while self.receive():
            pass
        return self.buffer

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()

    def close(self) -> None:
        self.sock.close()


class RunningNode:
    """The process of a node that listens."""

    def __init__(self, process: subprocess.Popen[str], port: int, config_path: Path) -> None:
        self.process = process
        self.port = port
        self.config_path = config_path

    def reload(self, text: str | None = None, **changes: object) -> None:
        """Change keys of the configuration file, or replace its whole text, and send SIGHUP."""
        raw = json.loads(self.config_path.read_text()) if text is None else {}
        self.config_path.write_text(json.dumps(raw | changes) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def connect(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.port), HANG_TIMEOUT_S))

    def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(HANG_TIMEOUT_S)

    def cpu_ms(self) -> float:
        """Return the CPU time that the process has used."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) * 1000 / os.sysconf("SC_CLK_TCK")

    def descriptors(self) -> int:
        """Return how many descriptors the process holds."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def resident_mb(self, field: str = "VmRSS") -> float:
        """Return the resident memory now ("VmRSS"), or at its peak ("VmHWM")."""
        return resident_mb(self.process.pid, field)


def launch(environ: dict[str, str]) -> subprocess.Popen[str]:
    """Start a node process with these environment variables in addition to the test's own."""
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "windrelay"],
        cwd=ROOT,
        env=os.environ | environ,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_until_signal_handled(
    process: subprocess.Popen[str], signal_number: signal.Signals
) -> None:
    """Wait until the node handles this signal, which it does first once Python is up."""
    while True:
        assert process.poll() is None
        text = Path(f"/proc/{process.pid}/status").read_text()
        words = Path(f"/proc/{process.pid}/cmdline").read_bytes()
        mask = int(text.split("SigCgt:")[1].split()[0], 16)
        if b"windrelay" in words and mask & (1 << (signal_number - 1)):
            return


@contextlib.contextmanager
def node(
    tmp_path: Path, known: dict[str, object], discovery: int = 1, **over: Any
) -> Iterator[RunningNode]:
    """Run a node that listens. The default discovery port, 1, refuses every call."""
    environ = config(tmp_path, known, discovery, **over)
    process = launch(environ)
    try:
        assert process.stderr is not None
        line = process.stderr.readline()
        assert "listening on" in line, line + process.stderr.read()
        running = RunningNode(process, int(line.rsplit(":", 1)[1]), Path(environ["PROXY_CONFIG"]))
        yield running
        assert process.poll() is None or process.returncode == 0
    finally:
        process.kill()
        process.wait(HANG_TIMEOUT_S)
        if process.stderr is not None:
            process.stderr.close()


def accept(server: socket.socket) -> Peer:
    """Accept one connection."""
    return Peer(server.accept()[0])


def wait_until(condition: Any) -> None:
    """Wait for a condition that only the process under test can bring about."""
    deadline = time.monotonic() + HANG_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.01)
