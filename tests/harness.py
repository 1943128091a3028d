"""A real node as a process of its own, and hand-driven peers on loopback sockets.

Nothing here waits for a length of time: every wait is for bytes, a connection or
an end, with a limit that only a hang reaches.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from standins.platform import SETTINGS, answer, config, parts, request, roster, target

__all__ = [
    "HANG_TIMEOUT_S", "ROOT", "SETTINGS", "Peer", "RunningNode", "accept", "answer", "config",
    "launch", "listen", "node", "port", "request", "roster", "target", "wait_until",
    "wait_until_signal_handled",
]  # fmt: skip

ROOT = Path(__file__).resolve().parent.parent
HANG_TIMEOUT_S = 20.0  # seconds; a hang, not a measure


def listen() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(HANG_TIMEOUT_S)
    return sock


def port(server: socket.socket) -> int:
    """Where it listens."""
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
        try:
            data = self.sock.recv(65536)
        except ConnectionError:
            data = b""
        self.buffer += data
        return bool(data)

    def message(self) -> tuple[str, dict[str, str], bytes]:
        """One whole message with Content-Length: first line, headers, body."""
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
        """Everything up to the end of the connection."""
        while self.receive():
            pass
        return self.buffer

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()

    def close(self) -> None:
        self.sock.close()


class RunningNode:
    """A node's process."""

    def __init__(self, process: subprocess.Popen[str], port: int, file: Path) -> None:
        self.process = process
        self.port = port
        self.file = file

    def reload(self, text: str | None = None, **changes: object) -> None:
        """Replace the configuration, by other keys or by any text, and send SIGHUP."""
        raw = json.loads(self.file.read_text()) if text is None else {}
        self.file.write_text(json.dumps(raw | changes) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def connect(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.port), HANG_TIMEOUT_S))

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(HANG_TIMEOUT_S)

    def cpu_ms(self) -> float:
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) * 1000 / os.sysconf("SC_CLK_TCK")

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def resident_mb(self, which: str = "VmRSS") -> float:
        """What the process holds in memory now, or held at its peak ("VmHWM")."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.findall(rf"{which}:\s+(\d+)", status)[0]) / 1024


def launch(environ: dict[str, str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "windrelay"],
        cwd=ROOT,
        env=os.environ | environ,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_until_signal_handled(process: subprocess.Popen[str], number: signal.Signals) -> None:
    """Wait until the program handles this signal: its first act, once Python is up."""
    while True:
        assert process.poll() is None
        text = Path(f"/proc/{process.pid}/status").read_text()
        words = Path(f"/proc/{process.pid}/cmdline").read_bytes()
        mask = int(text.split("SigCgt:")[1].split()[0], 16)
        if b"windrelay" in words and mask & (1 << (number - 1)):
            return


@contextlib.contextmanager
def node(
    tmp_path: Path, known: dict[str, object], discovery: int = 1, **over: Any
) -> Iterator[RunningNode]:
    """A node that listens. Port 1 as discovery refuses every call."""
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
    return Peer(server.accept()[0])


def wait_until(condition: Any) -> None:
    """Wait for something that only the process itself can bring about."""
    end = time.monotonic() + HANG_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "never came about"
        time.sleep(0.01)
