"""The codec beside an independent library, and messages through a node beside HTTP's.

    python -m benchmarks.iso8583 [--rounds N] [--requests N]

Both codecs read and write the same bytes by the same dialect. Each round times both in turn; the
table gives medians with the range of the rounds, and the ratio of each round by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import copy
import gc
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import iso8583
import uvloop
from iso8583.specs import default

from benchmarks.figures import median_and_range
from benchmarks.request_cost import SETTINGS, Server, asks, cpu_s, play
from standins.platform import config, roster, target
from standins.service import ServiceProcess, document, memory_mb
from tansywood.iso8583.codec import Codec, Message
from tansywood.iso8583.dialect import load, parse
from tansywood.iso8583.framing import Framer, Framing, frame
from tansywood.iso8583.front import IsoServer
from tansywood.iso8583.link import IsoLink, IsoNode
from tansywood.iso8583.machine import reply_to
from tansywood.iso8583.mapping import Mapping, Rule
from windrelay.config import load as load_config
from windrelay.discovery import Discovery

COUNT = 5000
FIELDS: dict[int, str | bytes] = {
    2: "4111111111111111",
    3: "910000",
    4: "000000002500",
    7: "1201113000",
    11: "000042",
    12: "113000",
    13: "1201",
    18: "5999",
    22: "901",
    32: "123456",
    37: "501113000042",
    41: "TERM0001",
    42: "SHOP-OF-CORK-01",
    49: "978",
    55: bytes.fromhex("9F2608C2C12B098F3DA6E382025800950580000080009F3602002A"),
}


def ours() -> Codec:
    """The fields of the message as the rival's `default` has them, in ASCII."""
    fields: dict[str, Any] = {}
    for number, value in FIELDS.items():
        form = {2: ("LL", 19), 32: ("LL", 11), 55: ("LLL", 255)}.get(number)
        content = "b" if isinstance(value, bytes) else "n" if value.isdigit() else "ans"
        row: dict[str, Any] = {"content": content}
        if form is not None:
            row |= {"form": form[0], "max": form[1]}
        else:
            row["length"] = len(value)
        fields[str(number)] = row
    return Codec(parse({"name": "bench", "version": 1987, "fields": fields}))


def theirs() -> dict[str, Any]:
    spec: dict[str, Any] = copy.deepcopy(default)
    spec["h"]["max_len"] = 0
    spec["t"] |= {"data_enc": "ascii", "max_len": 4}
    for key in ("p", "1"):
        spec[key] |= {"data_enc": "b", "max_len": 8}
    for number, value in FIELDS.items():
        binary = isinstance(value, bytes)
        spec[str(number)] |= {"data_enc": "b" if binary else "ascii", "len_enc": "ascii"}
        if spec[str(number)]["len_type"] == 0:
            spec[str(number)]["max_len"] = len(value)
    return spec


def timed(call: Callable[[], object]) -> float:
    """Microseconds for each call."""
    begin = time.perf_counter()
    for _ in range(COUNT):
        call()
    return (time.perf_counter() - begin) * 1e6 / COUNT


# ---- through a node: `python -m benchmarks.iso8583 --part NAME` are its processes ----

FRAMING = Framing("binary2")
DIALECT = Path(__file__).resolve().parent.parent / "tansywood/iso8583/dialects/basic1987.json"
SERVERS = 4
CONNECTIONS = 32


class Fast(asyncio.Protocol):
    """A server that answers at once, or after `late` seconds."""

    late = 0.0
    codec = Codec(load(DIALECT))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.framer = Framer(FRAMING)

    def data_received(self, data: bytes) -> None:
        made = []
        for one in self.framer.feed(data):
            message = self.codec.decode(one.body)
            made.append(frame(FRAMING, self.codec.encode(reply_to(message, "00"))))
        if self.late:
            asyncio.get_running_loop().call_later(self.late, self.transport.write, b"".join(made))
        else:
            self.transport.write(b"".join(made))


async def part_servers(late: float) -> None:
    Fast.late = late
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Fast, "127.0.0.1", 0) for _ in range(SERVERS)]
    print(json.dumps([s.sockets[0].getsockname()[1] for s in servers]), flush=True)
    await asyncio.sleep(1800)


async def part_node(ports: list[int], most: int) -> None:
    """A node that speaks ISO 8583 on both sides, under request_cost's settings."""
    loop = asyncio.get_running_loop()
    known = roster(*(target(f"s-{i}", port) for i, port in enumerate(ports)))
    with tempfile.TemporaryDirectory(prefix="iso-") as folder:
        told = load_config(config(Path(folder), known, 1, settings=SETTINGS))
    codec = Codec(load(DIALECT))
    mapping = Mapping((Rule("balance", "02", "31"), Rule("credit", "02", "91")))
    node = IsoNode(replace(told, max_open_requests=100_000), loop)
    node.budget.set_limit(512 << 20)
    node.discovery = Discovery(node.config, node.apply_member_update, node.log)
    node.upstream = IsoLink(node, codec, FRAMING, mapping, most)
    front = IsoServer(node, codec, FRAMING, mapping, b"secret")
    node.start()
    port = await front.listen(told.listen)
    gc.collect()
    gc.freeze()
    gc.set_threshold(5_000, 10, 20)
    print(json.dumps(port), flush=True)

    def sweep() -> None:
        loop.call_later(0.25, sweep)
        node.sweep()
        front.sweep()

    sweep()
    await asyncio.sleep(1800)


PARTS: dict[str, Callable[..., Any]] = {"servers": part_servers, "node": part_node}


class Part:
    """One of the processes above."""

    def __init__(self, name: str, *arguments: object) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.iso8583", "--part", name, json.dumps(arguments)],
            cwd=Path(__file__).resolve().parent.parent,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.told = json.loads(self.process.stdout.readline())

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def a_request(codec: Codec, name: str, number: int) -> bytes:
    """A third credits, with what HTTP's requests have for a body."""
    fields: dict[int, str | bytes] = {
        2: "4111111111111111",
        3: "310000" if number % 3 else "910000",
        4: "000000002500",
        7: f"{number // 999_999:010d}",
        11: f"{number % 999_999 + 1:06d}",
        41: f"{name:8.8}",
        48: "x" * 100,
    }
    return frame(FRAMING, codec.encode(Message("0200", fields)))


async def asks_iso(codec: Codec, port: int, count: int, name: str, base: int) -> int:
    """So many in turn on one connection; how many were served."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    served = 0
    for n in range(count):
        writer.write(a_request(codec, name, base + n))
        size = int.from_bytes(await reader.readexactly(2), "big")
        served += codec.decode(await reader.readexactly(size)).fields[39] == "00"
    writer.close()
    return served


async def through(rounds: int, requests: int) -> None:
    """CPU for each message through the node, beside HTTP's in the same round."""
    codec = Codec(load(DIALECT))
    each = requests // CONNECTIONS
    iso: list[float] = []
    http: list[float] = []
    loop = asyncio.get_running_loop()
    fast = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(SERVERS)]
    http_ports = [int(s.sockets[0].getsockname()[1]) for s in fast]

    async def play_iso() -> float:
        servers = Part("servers", 0.0)
        node = Part("node", servers.told, 64)
        try:
            pid = node.process.pid
            names = [f"T{i:04d}" for i in range(CONNECTIONS)]
            await asyncio.gather(*(asks_iso(codec, node.told, 20, n, 0) for n in names))
            before = cpu_s(pid)
            done = await asyncio.gather(*(asks_iso(codec, node.told, each, n, 100) for n in names))
            spent = cpu_s(pid) - before
        finally:
            node.end()
            servers.end()
        if sum(done) < 0.98 * each * CONNECTIONS:
            raise RuntimeError(f"only {sum(done)} of {each * CONNECTIONS} were served")
        return spent * 1e6 / (each * CONNECTIONS)

    async def play_http() -> float:
        with tempfile.TemporaryDirectory(prefix="iso-") as folder:
            known = roster(*(target(f"s-{i}", port) for i, port in enumerate(http_ports)))
            environ = config(Path(folder), known, 1, settings=SETTINGS)
            command = [sys.executable, "-B", "-m", "windrelay"]
            root = Path(__file__).resolve().parent.parent
            return await play(command, root, environ, requests, Path(folder) / "log")

    for n in range(rounds):
        for first in (True, False) if n % 2 else (False, True):
            (iso if first else http).append(await (play_iso() if first else play_http()))
        print(f"round {n + 1} of {rounds}: ISO 8583 {iso[-1]:.1f} us, HTTP {http[-1]:.1f}",
              file=sys.stderr, flush=True)  # fmt: skip
    table("through a node: CPU for each message, microseconds", {"iso": iso, "http": http})
    for server in fast:
        server.close()


async def through_service(rounds: int, requests: int) -> None:
    """The same beside the same requests by HTTP through the hosted service: one worker, a tenant
    for each protocol, credits kept on the disk before they leave."""
    codec = Codec(load(DIALECT))
    each = requests // CONNECTIONS
    loop = asyncio.get_running_loop()
    fast = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [int(s.sockets[0].getsockname()[1]) for s in fast]
    servers = Part("servers", 0.0)
    limits = {
        "rate_per_s": 1_000_000,
        "burst": 1_000_000,
        "connections_per_s": 10_000,
        "open": 5000,
    }
    cpus: dict[str, list[float]] = {"iso": [], "http": []}
    rates: dict[str, list[float]] = {"iso": [], "http": []}
    with tempfile.TemporaryDirectory(prefix="iso-", ignore_cleanup_errors=True) as name:
        service = ServiceProcess(Path(name), 1, ("public", "tills"), iso=("tills",))
        await asyncio.to_thread(service.start)
        try:
            operator = service.operator()
            rows = {"http": list(enumerate(ports)), "iso": list(enumerate(servers.told))}
            for kind, more in (
                ("http", {}),
                ("iso", {"callers": {"listeners": ["tills"], "key_required": False},
                         "iso8583": {"dialect": "basic1987", "rules": [
                             {"class": "balance", "mti": "02", "processing": "31"},
                             {"class": "credit", "mti": "02", "processing": "91"}]}}),
            ):  # fmt: skip
                made = document(kind, [(f"s-{i}", port) for i, port in rows[kind]], limits=limits)
                for row in made["servers"]:
                    row["started_ms"] = 1
                operator.must("POST", "/v1/tenants", made | more)
            key = operator.must("POST", "/v1/tenants/http/keys", {"role": "caller"}).body["token"]
            head = {"Host": "http.example.org", "X-Tenant-Id": "", "X-Tenant-Key": key}
            pids = [service.pid("worker-0"), service.pid("door")]

            async def play_one(kind: str, count: int, base: int) -> int:
                if kind == "http":
                    port = service.ports["public"]
                    mine = (asks(port, count, f"h{base}.{i}", head) for i in range(CONNECTIONS))
                else:
                    port = service.ports["tills"]
                    mine = (asks_iso(codec, port, count, f"S{i:04d}", base)
                            for i in range(CONNECTIONS))  # fmt: skip
                return sum(await asyncio.gather(*mine))

            for kind in cpus:
                await play_one(kind, 20, 0)
            for n in range(rounds):
                for kind in ("iso", "http") if n % 2 else ("http", "iso"):
                    before, began = sum(map(cpu_s, pids)), time.perf_counter()
                    done = await play_one(kind, each, 1000 + n * each)
                    spent = (sum(map(cpu_s, pids)) - before) * 1e6 / (each * CONNECTIONS)
                    if done < 0.98 * each * CONNECTIONS:
                        raise RuntimeError(f"{kind}: only {done} of {each * CONNECTIONS} served")
                    cpus[kind].append(spent)
                    rates[kind].append(each * CONNECTIONS / (time.perf_counter() - began))
                print(f"round {n + 1} of {rounds}: ISO 8583 {cpus['iso'][-1]:.1f} us, "
                      f"HTTP {cpus['http'][-1]:.1f}", file=sys.stderr, flush=True)  # fmt: skip
        finally:
            await asyncio.to_thread(service.kill)
            servers.end()
    for server in fast:
        server.close()
    table("through the service, credits kept: CPU for each message, microseconds", cpus)
    table(f"the same: messages a second, {CONNECTIONS} callers that wait for each answer", rates)


def table(title: str, figures: dict[str, list[float]]) -> None:
    """Medians with their range, and the ratio of each round by itself."""
    print(f"\n{title}")
    iso, http = figures["iso"], figures["http"]
    ratios = [a / b for a, b in zip(iso, http, strict=True)]
    for name, values in (("ISO 8583", iso), ("HTTP", http), ("ratio", ratios)):
        print(f"{name:>10} {median_and_range(values, '.2f')}")


async def outstanding(count: int, connections: int, late: float) -> None:
    """So many messages open at once on so many connections: memory, and how late the last are."""
    codec = Codec(load(DIALECT))
    servers = Part("servers", late)
    node = Part("node", servers.told, count)
    pid = node.process.pid
    times: list[float] = []
    try:
        before = memory_mb(pid)
        most = before

        async def one(i: int) -> int:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.told)
            served = 0
            sent: dict[str, float] = {}
            for n in range(count // connections):
                # Balances alone: what is open here is what the module lets out.
                writer.write(a_request(codec, f"O{i:04d}", 3 * n + 1))
                sent[f"{(3 * n + 1) % 999_999 + 1:06d}"] = time.monotonic()
            for _ in range(count // connections):
                size = int.from_bytes(await reader.readexactly(2), "big")
                message = codec.decode(await reader.readexactly(size))
                times.append(time.monotonic() - sent[str(message.fields[11])])
                served += message.fields[39] == "00"
            writer.close()
            return served

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, memory_mb(pid))
                await asyncio.sleep(0.02)

        watching = asyncio.create_task(watch())
        served = sum(await asyncio.gather(*(one(i) for i in range(connections))))
        watching.cancel()
    finally:
        node.end()
        servers.end()
    times.sort()
    print(f"\n{count} messages at once on {connections} connections: {served} served, the rest "
          f"refused; {most - before:.1f} MB more at most ({(most - before) * 1024 / count:.1f} KB "
          f"each), p99 of all answers {times[int(0.99 * len(times))] * 1000:.0f} ms")  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--part", choices=list(PARTS), help=argparse.SUPPRESS)
    parser.add_argument("arguments", nargs="?", default="[]", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.part:
        # The loop of the product, for the servers as well.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(PARTS[options.part](*json.loads(options.arguments)))
        return 0
    rounds = options.rounds
    codec, spec = ours(), theirs()
    message = Message("0200", dict(FIELDS))
    doc = {"t": "0200"} | {
        str(n): v.hex().upper() if isinstance(v, bytes) else v for n, v in FIELDS.items()
    }
    raw = codec.encode(message)
    other, _ = iso8583.encode(dict(doc), spec)
    if bytes(other) != raw:
        print("the two do not write the same bytes", file=sys.stderr)
        return 1
    calls: dict[str, tuple[Callable[[], object], Callable[[], object]]] = {
        "decode": (lambda: codec.decode(raw), lambda: iso8583.decode(raw, spec)),
        "encode": (lambda: codec.encode(message), lambda: iso8583.encode(dict(doc), spec)),
    }
    print(f"a message of {len(raw)} bytes, {len(FIELDS)} fields; microseconds, {rounds} rounds")
    print(f"{'':>8} {'ours':>24} {'pyiso8583':>24} {'theirs to ours':>28}")
    for name, (mine, rival) in calls.items():
        pairs = [(timed(mine), timed(rival)) for _ in range(rounds)]
        cells = []
        for values in ([a for a, _ in pairs], [b for _, b in pairs], [b / a for a, b in pairs]):
            cells.append(median_and_range(values, ".2f"))
        print(f"{name:>8} {cells[0]:>24} {cells[1]:>24} {cells[2]:>28}")
    asyncio.run(through(rounds, options.requests))
    asyncio.run(through_service(rounds, options.requests))
    asyncio.run(outstanding(10_000, 16, 0.02))
    return 0


if __name__ == "__main__":
    sys.exit(main())
