"""The hosted service as a process of its own, and terminals and servers that speak ISO 8583.

For the cases of the second review, beside `rig_2`. The service is started as deploy/service.toml
says: `python -m tansywood serve FILE`, with a file for loopback addresses in a temporary folder.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import re
import signal
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

from rig_2 import ROOT, CannotRun, Rig

PYTHON = ROOT / ".venv-dev" / "bin" / "python"
START_S = 30.0
SERVING = re.compile(r"(\S+) at 127\.0\.0\.1:(\d+)")


class Service:
    """One hosted service; its folder is kept over restarts."""

    def __init__(self, rig: Rig, name: str, text: str) -> None:
        """`text` is its file."""
        self.rig = rig
        self.name = name
        self.folder = rig.temporary / name
        self.folder.mkdir()
        self.file = self.folder / "service.toml"
        self.file.write_text(text)
        self.log_path = self.folder / "service.log"
        self.process: asyncio.subprocess.Process | None = None
        self.ports: dict[str, int] = {}

    def log(self) -> str:
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    async def start(self) -> None:
        begin = len(self.log())
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                str(PYTHON), "-B", "-m", "tansywood", "serve", str(self.file), cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output,
            )  # fmt: skip
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            for line in self.log()[begin:].splitlines(keepends=True):
                if line.startswith("service: serving") and line.endswith("\n"):
                    self.ports = {name: int(port) for name, port in SERVING.findall(line)}
                    return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise CannotRun(f"the service did not start: {self.log()[-2000:]}")

    async def stop(self) -> None:
        """SIGTERM; SIGKILL to its supervisor ends every part too."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 10.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        self.rig.record(f"log of {self.name}:")
        for line in self.log().splitlines()[-40:]:
            self.rig.record(f"  {line}")

    def api(self, method: str, path: str, body: object = None) -> Any:
        """A call of the administration with the first operator's key."""
        key = (self.folder / "run" / "operator.key").read_text().strip()
        port = self.ports["administration"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10.0)
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        connection.request(method, f"/v1{path}", json.dumps(body) if body else None, headers)
        response = connection.getresponse()
        text = response.read()
        connection.close()
        if response.status >= 300:
            raise CannotRun(f"{method} {path}: {response.status} {text.decode()}")
        return json.loads(text) if text else None


# ---- ISO 8583 as docs/operate/iso8583.md shows it: basic1987, binary2, no TPDU ----------------

FIXED = {3: 6, 4: 12, 7: 10, 11: 6, 39: 2, 41: 8, 70: 3, 90: 42}


def encode(mti: str, fields: dict[int, str]) -> bytes:
    """A message with its length."""
    bits, body = 0, b""
    for number in sorted(fields):
        bits |= 1 << (128 - number)
        value = fields[number].encode()
        body += b"%02d%s" % (len(value), value) if number not in FIXED else value
    wide = any(number > 64 for number in fields)
    if wide:
        bits |= 1 << 127
    bitmap = bits.to_bytes(16, "big")[: 16 if wide else 8]
    message = mti.encode() + bitmap + body
    return struct.pack(">H", len(message)) + message


def decode(message: bytes) -> tuple[str, dict[int, str]]:
    size = 16 if message[4] & 0x80 else 8
    bits = int.from_bytes(message[4 : 4 + size], "big") << (128 - 8 * size)
    at, fields = 4 + size, {}
    for number in range(2, 129):
        if bits & (1 << (128 - number)):
            length = FIXED.get(number)
            if length is None:
                length = int(message[at : at + 2])
                at += 2
            fields[number] = message[at : at + length].decode()
            at += length
    return message[:4].decode(), fields


async def read_iso(reader: asyncio.StreamReader) -> tuple[str, dict[int, str]] | None:
    try:
        (size,) = struct.unpack(">H", await reader.readexactly(2))
        return decode(await reader.readexactly(size))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def reply(mti: str, fields: dict[int, str], code: str) -> bytes:
    kept = {n: v for n, v in fields.items() if n in (3, 4, 7, 11, 32, 41, 70)}
    return encode(f"{mti[:2]}{int(mti[2]) + 1}0", kept | {39: code})


class IsoServer:
    """A top-up server: books credits, and takes back what it has booked.

    A credit is known by what the messages for it have in common: trace number, time and terminal.
    """

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig = rig
        self.name = name
        self.port = 0
        self.booked: dict[tuple[str, ...], str] = {}  # credits that stand, by identity: field 2
        self.reversed: list[tuple[str, ...]] = []  # reversals that came, with what they name
        self.credit: Callable[[dict[int, str]], Awaitable[str]] | None = None

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_iso(reader)) is not None:
            mti, fields = message
            self.rig.spawn(self._answer(mti, fields, writer))
        writer.close()

    async def _answer(self, mti: str, fields: dict[int, str], writer: asyncio.StreamWriter) -> None:
        code = "00"
        if mti[1] == "2" and fields[3].startswith("91"):
            code = await self.credit(fields) if self.credit is not None else "00"
            identity = (fields[11], fields[7], fields[41])
            if identity in self.reversed:
                code = "12"  # its reversal has overtaken it
            if code == "00":
                self.booked[identity] = fields.get(2, "")
                self.rig.record(f"run      {self.name} booked a credit of {fields.get(4)}")
            else:
                self.rig.record(f"run      {self.name} answered a credit {code}: not run")
        elif mti[1] == "4":
            original = fields[90]
            identity = (original[4:10], original[10:20], fields[41])
            self.reversed.append(identity)
            known = self.booked.pop(identity, None) is not None
            what = "which it had booked" if known else "which it does not have"
            self.rig.record(f"run      {self.name} got a reversal of a credit {what}")
        else:
            self.rig.record(f"run      {self.name} {mti} {fields[11]}")
        writer.write(reply(mti, fields, code))


class Terminal:
    """One connection of a terminal."""

    def __init__(self, rig: Rig, name: str, port: int) -> None:
        self.rig = rig
        self.name = name  # eight characters
        self.port = port
        self.answers: dict[str, str] = {}  # field 39 by MTI and trace number
        self._writer: asyncio.StreamWriter | None = None
        self._news = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._task = self.rig.spawn(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while (message := await read_iso(reader)) is not None:
            mti, fields = message
            self.rig.record(f"answered {self.name}: {mti} {fields[11]} code {fields[39]}")
            async with self._news:
                self.answers[f"{mti} {fields[11]}"] = fields[39]
                self._news.notify_all()

    def send(self, mti: str, fields: dict[int, str]) -> None:
        assert self._writer is not None
        self.rig.record(f"sent     {self.name}: {mti} {fields[11]}")
        self._writer.write(encode(mti, fields | {41: self.name}))

    def forget(self, trace: str) -> None:
        """Wait anew for an answer under this trace number."""
        self.answers.pop(f"0210 {trace}", None)

    async def answer(self, mti: str, trace: str, limit_s: float) -> str:
        """Field 39 of an answer, empty if none comes in time."""
        try:
            async with asyncio.timeout(limit_s), self._news:
                await self._news.wait_for(lambda: f"{mti} {trace}" in self.answers)
        except TimeoutError:
            return ""
        return self.answers[f"{mti} {trace}"]


def now7() -> str:
    """Field 7: month, day and time of the day in UTC."""
    return time.strftime("%m%d%H%M%S", time.gmtime())


def credit(trace: str, at: str, cents: int = 2500) -> dict[int, str]:
    return {2: "4929000000000000", 3: "910000", 4: f"{cents:012d}", 7: at, 11: trace}


def balance(trace: str, at: str) -> dict[int, str]:
    return {2: "4929000000000000", 3: "310000", 7: at, 11: trace}


def reversal(trace: str, at: str, of_trace: str, of_at: str, cents: int = 2500) -> dict[int, str]:
    original = f"0200{of_trace}{of_at}".ljust(42, "0")
    return credit(trace, at, cents) | {90: original}


def iso_service(rig: Rig, name: str = "service", workers: int = 1) -> Service:
    text = (
        f'[service]\nrun = "run"\nstore = "state"\nworkers = {workers}\n'
        '[[listeners]]\nname = "tills"\naddress = "127.0.0.1:0"\nprotocol = "iso8583"\n'
        '[admin]\naddress = "127.0.0.1:0"\n'
    )
    return Service(rig, name, text)


def iso_tenant(servers: list[IsoServer]) -> dict[str, Any]:
    started_ms = int(time.time() * 1000) - 600_000  # long ago: they are warm
    return {
        "name": "cork",
        "callers": {"listeners": ["tills"], "key_required": False},
        "classes": [
            {"name": "balance", "aim_ms": 800, "deadline_ms": 2000, "repeat": "safe"},
            {
                "name": "credit", "aim_ms": 2900, "deadline_ms": 3000, "repeat": "never",
                "worth": 5,
            },
        ],
        "servers": [
            {"name": s.name, "address": f"127.0.0.1:{s.port}", "started_ms": started_ms}
            for s in servers
        ],
        "iso8583": {
            "dialect": "basic1987",
            "length": "binary2",
            "tpdu": False,
            "servers_sign_on": False,
            "rules": [
                {"class": "balance", "mti": "02", "processing": "31"},
                {"class": "credit", "mti": "02", "processing": "91"},
            ],
        },
    }  # fmt: skip
