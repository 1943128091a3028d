"""Stand-ins for the cases of the second review: clients, servers, the list of servers, a platform.

Python's standard library alone; they are imported by the case's script and run in its process. The
project's node runs as a process of its own, started by `run` of deploy/balancer.toml. Everything is
on loopback addresses, at ports that the system chooses, in a temporary folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 110.0  # of one script
PASSED, BROKEN, NOT_RUN = 0, 1, 2


def free_port() -> int:
    """A port of the loopback address that nobody listens at."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """record.txt of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


# ---- messages ---------------------------------------------------------------


@dataclass
class Message:
    start: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


async def read_message(reader: asyncio.StreamReader, is_answer: bool = False) -> Message | None:
    """Read a message; None at an end before its first byte, `whole` is False at a later end."""
    message = Message()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as err:
        return message if err.partial else None
    except ConnectionError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    message.start = lines[0]
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        elif is_answer:
            message.body = await reader.read()
        message.whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return message


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---- servers ----------------------------------------------------------------


@dataclass
class Run:
    """A request whose last byte has come to a server."""

    at: float
    server: str
    request_id: str
    path: str
    message: Message


Behaviour = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


def body_for(request_id: str, server: str) -> bytes:
    return f"{request_id} served by {server}".encode()


class Server:
    """A server: answers each request after `work_s` with a body that names the request."""

    def __init__(self, rig: Rig, uid: str, zone: str = "dublin", cell: int = 0) -> None:
        self.rig = rig
        self.uid = uid
        self.zone = zone
        self.cell = cell
        self.state = "active"
        self.boot_ms = 0
        self.port = 0
        self.work_s = 0.03
        self.behaviour: Behaviour | None = None
        self.runs: list[Run] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "single-core",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None and request.whole:
                request_id = request.headers.get("x-request-id", "")
                path = request.start.split(" ")[1]
                self.runs.append(Run(time.monotonic(), self.uid, request_id, path, request))
                self.rig.record(f"run      {self.uid} {request_id} {request.start}")
                if self.behaviour is not None:
                    await self.behaviour(self, request, writer)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(answer(200, body_for(request_id, self.uid)))
                await writer.drain()
        writer.close()


# ---- the list of servers ----------------------------------------------------


class Registry:
    """The list of servers over HTTP, with a watch; every change has a version of its own."""

    def __init__(self, rig: Rig, servers: list[Server]) -> None:
        self.rig = rig
        self.entries = {server.uid: server.entry() for server in servers}
        self.versions = dict.fromkeys(self.entries, 1)
        self.version = 1
        self.port = 0
        self.told: dict[str, tuple[str, float]] = {}  # what has been written to a node, and when
        self.call_count = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def change(self, *servers: Server) -> None:
        self.version += 1
        for server in servers:
            self.entries[server.uid] = server.entry()
            self.versions[server.uid] = self.version
            self.rig.record(f"list     {self.version}: {server.uid} is {server.state}")
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def whole(self) -> dict[str, Any]:
        rows = [entry for entry in self.entries.values() if entry["state"] != "left"]
        return {"rev": self.version, "all": True, "targets": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (call := await read_message(reader)) is not None and call.whole:
                self.call_count += 1
                await self._answer(call.start.split(" ")[1], writer)
                if call.headers.get("connection", "").lower() == "close":
                    break
        writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(query.get("from", 0))
        result = self.whole()
        if "from" in query:
            if since >= self.version:
                with contextlib.suppress(TimeoutError):
                    hold_s = int(query.get("hold_ms", 0)) / 1000
                    await asyncio.wait_for(self._changed.wait(), hold_s)
            if since:
                rows = [e for uid, e in self.entries.items() if self.versions[uid] > since]
                result = {"rev": self.version, "all": False, "targets": rows}
        writer.write(answer(200, json.dumps(result).encode(), Content_Type="application/json"))
        for row in result["targets"]:
            if self.told.get(row["uid"], ("", 0.0))[0] != row["state"]:
                self.told[row["uid"]] = (row["state"], time.monotonic())
                if row["state"] != "active":
                    self.rig.record(f"told     {row['uid']} is {row['state']}")


# ---- the node ---------------------------------------------------------------


class NodeProcess:
    """One process of the project's node."""

    def __init__(self, rig: Rig, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.rig = rig
        self.name = name
        self.process = process
        self.log_path = log
        self.ended_at = 0.0

    @property
    def running(self) -> bool:
        return self.process.returncode is None

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        self.rig.record(f"signal   {number.name} to {self.name}")
        self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), timeout_s)
        return self.process.returncode


def settings(**changes: Any) -> dict[str, Any]:
    """Settings in the form of the platform's first message, for one node of a small deployment."""
    result: dict[str, Any] = {
        "areas": ["dublin", "cork"],
        "balancers": 1,
        "classes": [
            {
                "name": "balance", "effect": "pure", "target": 800 * MS, "deadline": 2000 * MS,
                "credit": 1.0, "late_worth": 0.0, "dedup_scope": "all",
                "repeat_window": 5000 * MS, "stream": False,
            },
            {
                "name": "credit", "effect": "side_effect", "target": 750 * MS,
                "deadline": 3000 * MS, "credit": 5.0, "late_worth": 0.0, "dedup_scope": "all",
                "repeat_window": 5000 * MS, "stream": False,
            },
        ],
        "clients": {"marks_retry": False},
        "domain": {"warm_keys": False},
        "family": "proxy",
        "goal": {"whole": 0.55, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.35},
        "layers": ["topup-web"],
        "limits": {
            "cancelling": True, "cpu_us_per_request": 10.0, "cpu_us_per_s": 15000,
            "dial_timeout": 250 * MS, "idle_close": 60000 * MS, "max_attempts": 4,
            "max_retry_after": 2000 * MS, "max_streams": 1, "open_cap": 20000, "peers": False,
            "probes": True, "retry_after": True, "second_copies": True,
        },
        "load_info": {"columns": [], "how": "off"},
        "me": 0,
        "my_zone": 0,
        "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.03, "late_fail": 0.08, "probe": 0.01, "waste": 0.1},
        "realms": [],
        "registry_mode": "ask",
        "rules": {
            "ask_within": 10000 * MS, "cold": 8300 * MS, "cold_from": 0.31,
            "drain_grace": 2000 * MS, "fall": 1500 * MS, "fall_multiple": 3.0,
            "grace_to_answer": 20 * MS,
        },
        "skus": ["single-core"],
        "tick": 5 * MS,
        "tier": 0,
        "weights": "off",
        "worth_by": "work",
    }  # fmt: skip
    return result | changes


# ---- clients ----------------------------------------------------------------


@dataclass
class Exchange:
    """A request of a client and what became of it."""

    request_id: str
    timeout_s: float
    sent_at: float = 0.0  # when its last byte was written
    ended_at: float = 0.0
    status: int = 0  # 0: no whole answer
    body: bytes = b""
    how: str = "nothing"


class Client:
    """One connection of a client; it sends one request at a time."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig = rig
        self.name = name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.rig.listen_port, limit=1 << 20
        )

    @property
    def is_open(self) -> bool:
        return (
            self.writer is not None
            and not self.writer.is_closing()
            and self.reader is not None
            and not self.reader.at_eof()
        )

    async def ask(
        self,
        class_name: str,
        method: str,
        timeout_s: float,
        extra_wait_s: float = 0.5,
        request_id: str = "",
        **more: str,
    ) -> Exchange:
        """Send a request and wait for its answer until `extra_wait_s` after its time; its id is a
        new one unless another is given."""
        exchange = Exchange(request_id or self.rig.next_id(), timeout_s)
        try:
            if not self.is_open:
                await self.connect()
            assert self.reader is not None and self.writer is not None
            lines = [
                f"{method} /{class_name}/{exchange.request_id}s HTTP/1.1",
                "Host: app.svc",
                f"X-Request-ID: {exchange.request_id}",
                f"X-Priority-Class: {class_name}",
                f"X-Timeout-Ms: {int(timeout_s * 1000)}",
                *(f"{name.replace('_', '-')}: {value}" for name, value in more.items()),
                *(("Content-Length: 4", "", "abcd") if method == "POST" else ("", "")),
            ]
            self.writer.write("\r\n".join(lines).encode())
            exchange.sent_at = time.monotonic()
            self.rig.record(f"sent     {exchange.request_id} {class_name} by {self.name}")
            message = await asyncio.wait_for(
                read_message(self.reader, is_answer=True), timeout_s + extra_wait_s
            )
            if message is None:
                exchange.how = "the connection ended with no answer"
            elif not message.whole:
                exchange.how = "an answer that is not whole"
            else:
                exchange.status = int(message.start.split(" ")[1])
                exchange.body = message.body
                exchange.how = f"answer {exchange.status}"
                if message.headers.get("connection", "").lower() == "close":
                    await self.close()
        except TimeoutError:
            exchange.how = "nothing until its time was over"
            await self.close()
        except ConnectionRefusedError:
            exchange.how = "refused connection"
            await self.close()
        except OSError as err:
            exchange.how = f"the connection broke: {err.strerror}"
            await self.close()
        exchange.ended_at = time.monotonic()
        self.rig.record(
            f"answered {exchange.request_id}: {exchange.how} after "
            f"{exchange.ended_at - (exchange.sent_at or exchange.ended_at):.3f} s"
        )
        return exchange

    async def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def is_lost(exchange: Exchange) -> bool:
    """Whether a taken request got no final answer up to half a second after its time."""
    return bool(exchange.sent_at) and not exchange.status


# ---- a case -----------------------------------------------------------------


class Rig:
    """What one script starts, and the end of all of it."""

    def __init__(self, script: str) -> None:
        self.folder = Path(script).resolve().parent
        self.record = Record(self.folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.listen_port = free_port()
        self.processes: list[NodeProcess] = []
        self.servers: list[Server] = []
        self.registry: Registry | None = None
        self.tasks: set[asyncio.Task[None]] = set()  # of stand-ins, kept until their end
        self.last_id = 0  # of the requests that were made
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run_command = tomllib.load(file)["run"]

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """A task of a stand-in."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def next_id(self) -> str:
        self.last_id += 1
        return f"{self.last_id:016x}"

    async def start_servers(self, count: int, **changes: Any) -> list[Server]:
        for _ in range(count):
            server = Server(self, f"s-{len(self.servers):08x}")
            for name, value in changes.items():
                setattr(server, name, value)
            await server.start()
            self.servers.append(server)
        return self.servers[-count:]

    async def start_registry(self) -> Registry:
        self.registry = Registry(self, self.servers)
        await self.registry.start()
        return self.registry

    def write_config(self, discovery_port: int, **changes: Any) -> Path:
        assert self.registry is not None
        content: dict[str, Any] = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.listen_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "known": self.registry.whole(),
            "settings": settings(),
        }
        path = self.temporary / "config.json"
        new = self.temporary / "config.new"
        new.write_text(json.dumps(content | changes))
        new.replace(path)
        return path

    async def start_node(
        self, name: str, config: Path, ready_by_log: bool = False, **environ: str
    ) -> NodeProcess:
        """Start a node by `run` of the deploy file and wait until it is ready."""
        log = self.temporary / f"{name}.log"
        with log.open("w") as output:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run_command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=output, stderr=output,
                env=os.environ | {"PROXY_CONFIG": str(config), "TMPDIR": str(self.temporary)}
                | environ,
            )  # fmt: skip
        node = NodeProcess(self, name, process, log)
        self.processes.append(node)
        for _ in range(1200):
            if not node.running:
                raise CannotRun(f"{name} ended at its start: {node.log()}")
            if ready_by_log:
                if "calls at" in node.log():
                    return node
            elif await self.is_ready():
                return node
            await asyncio.sleep(0.025)
        raise CannotRun(f"{name} was not ready in 30 s")

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.listen_port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return message is not None and message.start.startswith("HTTP/1.1 200")
        return False

    async def call(self, port: int, line: str) -> str:
        """A call at the node's second address."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + b"\n")
        result = (await asyncio.wait_for(reader.read(), 5.0)).decode().strip()
        writer.close()
        self.record(f"call     {line!r} at the second address: {result}")
        return result

    async def close(self) -> None:
        for node in self.processes:
            if node.running:
                node.process.kill()
                await node.process.wait()
            self.record(f"log of {node.name}:")
            for line in node.log().splitlines()[-60:]:
                self.record(f"  {line}")
        shutil.rmtree(self.temporary, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played; the text says why."""


def main(script: str, play: Callable[[Rig], Awaitable[list[str]]]) -> None:
    """Play a case; exits with 1 if `play` returns what broke the rule, 0 if nothing, else 2."""

    async def run() -> int:
        rig = Rig(script)
        rig.record(f"trouble  {'on' if TROUBLE else 'off'}")
        try:
            broken = await asyncio.wait_for(play(rig), MAX_RUN_S)
        except Exception as err:
            rig.record(f"could not run: {type(err).__name__}: {err}")
            print(f"could not run: {type(err).__name__}: {err}")
            return NOT_RUN
        finally:
            await rig.close()
        for line in broken:
            rig.record(f"broken   {line}")
            print(line)
        rig.record(f"result   {'the rule was broken' if broken else 'the rule held'}")
        print("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else PASSED

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)
