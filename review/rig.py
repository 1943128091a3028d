"""What the cases share: a node as the deploy file starts it, and sound stand-ins around it.

Everything runs on loopback addresses and the real clock. A case adds the disruption; without it the
stand-ins do what the protocol page says. Only Python's standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
LIMIT_S = 110.0  # of a whole case; run.sh may take 120 s
KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The settings of topup-ireland for a small fleet of one node, in the names of its wire page.
SETTINGS: dict[str, Any] = {
    "areas": ["dublin", "cork"],
    "balancers": 1,
    "me": 0,
    "my_zone": 0,
    "skus": ["single-core"],
    "registry_mode": "ask",
    "tick": 5 * MS,
    "tier": 0,
    "family": "proxy",
    "layers": ["topup-web"],
    "realms": [],
    "weights": "off",
    "worth_by": "work",
    "over_share_worth": 0.1,
    "clients": {"marks_retry": False},
    "domain": {"warm_keys": False},
    "goal": {"whole": 0.55, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.35},
    "classes": [
        {
            "name": "balance",
            "target": 800 * MS,
            "deadline": 2000 * MS,
            "effect": "pure",
            "dedup_scope": "all",
            "repeat_window": 5000 * MS,
            "credit": 1.0,
            "late_worth": 0.0,
            "stream": False,
        },
        {
            "name": "credit",
            "target": 750 * MS,
            "deadline": 3000 * MS,
            "effect": "side_effect",
            "dedup_scope": "all",
            "repeat_window": 5000 * MS,
            "credit": 5.0,
            "late_worth": 0.0,
            "stream": False,
        },
    ],
    "limits": {
        "max_attempts": 4,
        "dial_timeout": 250 * MS,
        "idle_close": 60_000 * MS,
        "max_retry_after": 2000 * MS,
        "max_streams": 1,
        "open_cap": 20000,
        "cpu_us_per_s": 15000,
        "cpu_us_per_request": 10.0,
        "cancelling": True,
        "peers": False,
        "probes": True,
        "retry_after": True,
        "second_copies": True,
    },
    "load_info": {"how": "off", "columns": []},
    "rules": {
        "ask_within": 10_000 * MS,
        "cold": 8300 * MS,
        "cold_from": 0.31,
        "drain_grace": 2000 * MS,
        "fall": 1500 * MS,
        "fall_multiple": 3.0,
        "grace_to_answer": 20 * MS,
    },
}
CLASSES = {"balance": "GET", "credit": "POST"}
REASONS = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}


class CouldNotRun(Exception):
    """The case could not be played; the text says why."""


class Record:
    """The file record.txt: a line for what was sent, answered and run, with its time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line that is printed too."""
        self.line(text)
        print(text, flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Node:
    """A node as a process of its own, started by the deploy file's `run`."""

    def __init__(self, folder: Path, record: Record, discovery: int, known: Any, **over: Any):
        self.record = record
        self.port = free_port()
        self.folder = folder
        self.log = folder / "node.log"
        listen = f"127.0.0.1:{self.port}"
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{time.time_ns() & 0xFFFFFFFFFFFF:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | over.pop("limits", {}),
            "known": known,
            "settings": SETTINGS | over.pop("settings", {}),
        } | over
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        (folder / "tmp").mkdir()
        self.environ = os.environ | {
            "PROXY_CONFIG": str(path),
            "PROXY_LISTEN": listen,
            "PROXY_DISCOVERY": config["discovery"],
            "PROXY_NAME": "n0",
            "TMPDIR": str(folder / "tmp"),
        }
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    async def start(self) -> None:
        """Start it and wait until it is ready, as the front does."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=self.environ, stdout=log, stderr=log
            )
        self.record.line(f"node started, process {self.pid}, port {self.port}")
        end = time.monotonic() + 20.0
        while time.monotonic() < end and self.process.poll() is None:
            with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
                status, _ = await get(self.port, "/health/ready", 2.0)
                if status == 200:
                    self.record.line("node is ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"the node did not get ready: {self.log.read_text()[-500:]}")

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10.0)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a message with a length or chunks: its first line, its headers, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def get(port: int, path: str, patience_s: float) -> tuple[int, bytes]:
    """Ask once on a connection of its own: the status and the body."""
    async with asyncio.timeout(patience_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode())
            first, _, body = await read_message(reader)
            return int(first.split(" ")[1]), body
        finally:
            writer.transport.abort()


def answer(body: bytes, status: int = 200, *headers: str) -> bytes:
    lines = "".join(f"{line}\r\n" for line in headers)
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n{lines}\r\n"
    return head.encode() + body


def body_for(request_id: str) -> bytes:
    """The one body that a sound server answers this request with."""
    return json.dumps({"for": request_id, "balance": "12.50", "currency": "EUR"}).encode()


class Server:
    """A sound top-up server: works for `work_s` on each request and answers it."""

    def __init__(self, name: str, record: Record, work_s: float = 0.03) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.port = 0
        self.got: list[tuple[float, str]] = []  # when the first byte came, and the request's id
        self.make_answer: Callable[[str], bytes] = lambda request_id: answer(body_for(request_id))
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def target(self, state: str = "active") -> dict[str, Any]:
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "dublin",
            "model": "single-core",
            "pod_group": 1,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first_byte = await reader.readexactly(1)
                began = self.record.now()
                head = first_byte + await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1")[:-4].split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                await reader.readexactly(int(headers.get("content-length", "0")))
                request_id = headers.get("x-request-id", "")
                self.got.append((began, request_id))
                self.record.line(f"{self.name} got and runs {lines[0].split(' ')[1]} {request_id}")
                await asyncio.sleep(self.work_s)
                writer.write(self.make_answer(request_id))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Client:
    """A sound client: one request at a time on a kept connection, a new one where it has none."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name = name
        self.port = port
        self.record = record
        self.count = 0
        self.results: list[tuple[str, str, float, float, bytes]] = []
        self.task: asyncio.Task[None] | None = None  # that keeps it asking
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, kind: str, timeout_s: float, wait_s: float = 0.6) -> str:
        """Send one request; returns its end: served, refused, failed, broke or unanswered.

        `wait_s` is how long the client still looks for the answer once its time is over.
        """
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        body = b'{"amount": "10.00"}' if CLASSES[kind] == "POST" else b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{CLASSES[kind]} /{kind}/{self.name} HTTP/1.1\r\nHost: app.svc\r\n"
            f"X-Request-ID: {request_id}\r\nX-Priority-Class: {kind}\r\n"
            f"X-Timeout-Ms: {int(timeout_s * 1000)}\r\n{length}\r\n"
        )
        began = self.record.now()
        end, got = "unanswered", b""
        try:
            async with asyncio.timeout(timeout_s + wait_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = self._streams
                writer.write(head.encode() + body)
                self.record.line(f"{self.name} sent {kind} {request_id}")
                first, headers, got = await read_message(reader)
                status = int(first.split(" ")[1])
                end = {200: "served", 429: "refused", 503: "refused"}.get(status, "failed")
                if headers.get("connection", "").lower() == "close":
                    self.drop()
        except TimeoutError:
            self.drop()
        except (OSError, ValueError, asyncio.IncompleteReadError) as err:
            end = "broke"
            self.record.line(f"{self.name} {request_id}: {type(err).__name__}")
            self.drop()
        took = self.record.now() - began
        self.results.append((request_id, end, began, took, got))
        self.record.line(f"{self.name} {request_id} {end} after {took * 1000:.0f} ms")
        return end

    def drop(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Registry:
    """The list of servers, with watches, as the protocol page says; every answer has a length."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.rev = 1
        self.rows: dict[str, tuple[int, dict[str, Any]]] = {}
        self.calls = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def put(self, target: dict[str, Any]) -> None:
        self.rev += 1
        self.rows[target["uid"]] = (self.rev, target)
        self._changed.set()
        self._changed = asyncio.Event()

    def document(self, since: int | None) -> dict[str, Any]:
        rows = [row for rev, row in self.rows.values() if since is None or rev > since]
        return {"rev": self.rev, "all": since is None, "targets": rows}

    async def watch_began(self, call: int, hold_s: float) -> None:
        """A place for a disruption: runs when a call has been read."""

    async def before_answer(self, call: int) -> None:
        """A place for a disruption: runs before the answer to this call is written."""

    async def write(self, writer: asyncio.StreamWriter, document: bytes) -> None:
        writer.write(answer(document, 200, "Connection: close"))
        await writer.drain()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first, _, _ = await read_message(reader)
            path = first.split(" ")[1]
            query = dict(
                part.split("=") for part in path.partition("?")[2].split("&") if "=" in part
            )
            self.calls += 1
            call = self.calls
            self.record.line(f"list call {call}: {path}")
            since = int(query["from"]) if "from" in query else None
            await self.watch_began(call, int(query.get("hold_ms", 0)) / 1000)
            if since is not None and since >= self.rev:
                changed = self._changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), int(query.get("hold_ms", 0)) / 1000)
            await self.before_answer(call)
            document = self.document(since)
            await self.write(writer, json.dumps(document).encode())
            states = {row["uid"]: row["state"] for row in document["targets"]}
            self.record.line(f"list call {call} answered: rev {document['rev']}, {states}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def keep_asking(client: Client, kind: str, timeout_s: float, pause_s: float) -> None:
    """Ask again and again until cancelled."""
    while True:
        await client.ask(kind, timeout_s)
        await asyncio.sleep(pause_s)


Case = Callable[[Path, Record, bool, list[Node]], Awaitable[int]]


def main(file: str, case: Case) -> int:
    """Play one case; `TROUBLE=0` plays it without the disruption. Returns run.sh's exit status."""
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {trouble}")
    nodes: list[Node] = []

    async def play(folder: Path) -> int:
        # Connections that are still open at the end are cancelled; asyncio would report each.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(folder, record, trouble, nodes)
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

    def stop(_number: int, _frame: object) -> None:
        sys.exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        try:
            result = asyncio.run(play(Path(folder)))
        except (CouldNotRun, OSError, TimeoutError) as err:
            record.say(f"could not run: {type(err).__name__} {err}")
        finally:
            for node in nodes:
                node.end()
                record.line(f"node's log: {node.log.read_text(errors='replace')[-3000:]}")
    record.say({KEPT: "the rule held", BROKEN: "the rule was BROKEN"}.get(result, "no result"))
    return result
