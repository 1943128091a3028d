"""An upgrade under load beside a rival, and what passing a large answer on costs beside a floor.

    python -m benchmarks.operating [--rounds N] [--upgrades N]

Upgrades: callers connect anew for each request while versions of a node follow one another. The
rival is the same program with nothing to take over (a folder of its own for each version), so that
both versions listen for themselves (SO_REUSEPORT). Counted: requests that ended with no answer.

Large answers: CPU of the node for each megabyte passed on, beside a bare relay of bytes over the
same loop. Machines are shared and noisy: medians, the range of the rounds, ratios within a round.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import cast

import uvloop

from benchmarks.figures import median_and_range
from benchmarks.request_cost import ROOT, Server, cpu_s, listening
from standins.platform import answer, config, request, roster, target

CALLERS = 48
SIZE = 2 << 20  # of a large answer
ANSWER = answer(os.urandom(SIZE))
WARM_S = 0.4  # between an upgrade's steps


class Large(Server):
    def done(self) -> None:
        self.transport.write(ANSWER)


class Relay(asyncio.Protocol):
    """The floor: bytes from one connection to the other, nothing read of them."""

    def __init__(self, port: int, other: Relay | None = None) -> None:
        self.port = port
        self.other = other
        self.early: list[bytes] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is None:
            self.task = asyncio.ensure_future(self.dial())

    async def dial(self) -> None:
        loop = asyncio.get_running_loop()
        _, other = await loop.create_connection(
            lambda: Relay(self.port, self), "127.0.0.1", self.port
        )
        self.other = other
        for data in self.early:
            other.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.transport.close()


async def relay(port: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Relay(port), "127.0.0.1", 0)
    print(f"listening on :{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await server.serve_forever()


# ---- upgrades -------------------------------------------------------------


class Counts:
    def __init__(self) -> None:
        self.served = self.turned_back = 0
        self.slowest = 0.0


async def knock(port: int, name: str, counts: Counts, stop: asyncio.Event) -> None:
    """Requests, each on a connection of its own, until told to stop."""
    n = 0
    while not stop.is_set():
        n += 1
        began = time.perf_counter()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(f"/balance/{n}", rid=f"{name}-{n}", Connection="close"))
            whole = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            counts.served += whole.startswith(b"HTTP/1.1 200")
            counts.turned_back += not whole
        except OSError:
            counts.turned_back += 1
        counts.slowest = max(counts.slowest, time.perf_counter() - began)


def start(folder: Path, known: dict[str, object], port: int, log: Path) -> subprocess.Popen[bytes]:
    folder.mkdir(exist_ok=True)
    environ = config(folder, known, 1, port, mgmt="127.0.0.1:0", limits={"sockets": 1024})
    with log.open("wb") as file:
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "windrelay"],
            cwd=ROOT,
            env=os.environ | environ | {"TMPDIR": str(folder)},
            stderr=file,
        )
    listening(process, log)
    return process


async def upgrades(
    count: int, shared: bool, folder: Path, known: dict[str, object], port: int
) -> tuple[Counts, list[float]]:
    """So many upgrades under load; what came of the requests, and seconds to each readiness."""
    counts, stop, times = Counts(), asyncio.Event(), []

    def place(i: int) -> Path:
        return folder / ("one" if shared else f"v{i}")

    old = await asyncio.to_thread(start, place(0), known, port, folder / "0.log")
    try:
        callers = [
            asyncio.ensure_future(knock(port, f"{shared}{i}", counts, stop)) for i in range(CALLERS)
        ]
        await asyncio.sleep(WARM_S)
        for i in range(1, count + 1):
            began = time.perf_counter()
            new = await asyncio.to_thread(start, place(i), known, port, folder / f"{i}.log")
            times.append(time.perf_counter() - began)
            old.send_signal(signal.SIGTERM)
            await asyncio.to_thread(old.wait, 20)
            old = new
            await asyncio.sleep(WARM_S)
        stop.set()
        await asyncio.gather(*callers)
    finally:
        old.kill()
        old.wait()
    return counts, times


# ---- large answers ----------------------------------------------------------


async def drink(port: int, count: int, name: str) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    size = 0
    for i in range(count):
        writer.write(request(f"/credit/{i}", b"x", rid=f"{name}-{i}", timeout=3000))
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"not served: {head!r}")
        left = SIZE
        while left:
            data = await reader.read(min(left, 1 << 20))
            if not data:
                raise RuntimeError(f"an answer was cut with {left} bytes to come")
            left -= len(data)
            size += len(data)
    writer.close()
    return size


async def per_megabyte(process: subprocess.Popen[bytes], log: Path, name: str) -> float:
    """CPU milliseconds for each megabyte through one process."""
    try:
        port = await asyncio.to_thread(listening, process, log)
        await drink(port, 2, f"{name}w")
        before = cpu_s(process.pid)
        size = sum(await asyncio.gather(*(drink(port, 40, f"{name}{i}") for i in range(2))))
        return (cpu_s(process.pid) - before) * 1e3 / (size / (1 << 20))
    finally:
        process.kill()
        process.wait()


async def large(folder: Path) -> tuple[float, float]:
    server = await asyncio.get_running_loop().create_server(Large, "127.0.0.1", 0)
    port = int(server.sockets[0].getsockname()[1])
    environ = config(folder, roster(target("s-1", port)), 1)
    figures = []
    for name, command in (
        ("node", [sys.executable, "-B", "-m", "windrelay"]),
        ("relay", [sys.executable, "-B", "-m", "benchmarks.operating", "--relay", str(port)]),
    ):
        log = folder / f"{name}.log"
        with log.open("wb") as file:
            process = subprocess.Popen(command, cwd=ROOT, env=os.environ | environ, stderr=file)
        figures.append(await per_megabyte(process, log, name))
    server.close()
    return figures[0], figures[1]


async def main(rounds: int, count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(4)]
    known = roster(
        *(target(f"s-{i}", s.sockets[0].getsockname()[1]) for i, s in enumerate(servers))
    )
    rows: dict[bool, list[tuple[Counts, list[float]]]] = {True: [], False: []}
    costs = []
    for n in range(rounds):
        for shared in (True, False):
            probe = await loop.create_server(Server, "127.0.0.1", 0)
            port = int(probe.sockets[0].getsockname()[1])
            probe.close()
            await probe.wait_closed()
            with tempfile.TemporaryDirectory() as name:
                rows[shared].append(await upgrades(count, shared, Path(name), known, port))
        with tempfile.TemporaryDirectory() as name:
            costs.append(await large(Path(name)))
        print(f"round {n + 1} of {rounds} done", file=sys.stderr)
    print(f"{count} upgrades a round, {CALLERS} callers, a connection for each request")
    print(
        "| | served | turned back | slowest, ms | ready after, s |\n| --- | --- | --- | --- | --- |"
    )
    for shared, what in ((True, "listener taken over"), (False, "a listener each")):
        got = rows[shared]
        print(
            f"| {what} | {median_and_range([float(c.served) for c, _ in got], '.0f')} "
            f"| {median_and_range([float(c.turned_back) for c, _ in got], '.0f')} "
            f"| {median_and_range([c.slowest * 1e3 for c, _ in got], '.0f')} "
            f"| {median_and_range([t for _, ts in got for t in ts], '.2f')} |"
        )
    print("\nCPU for each megabyte of answers of 2 MB, ms")
    print("| node | bare relay | ratio |\n| --- | --- | --- |")
    print(
        f"| {median_and_range([a for a, _ in costs], '.2f')} "
        f"| {median_and_range([b for _, b in costs], '.2f')} "
        f"| {median_and_range([a / b for a, b in costs], '.2f')} |"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--upgrades", type=int, default=4)
    parser.add_argument("--relay", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        if options.relay:
            uvloop.run(relay(options.relay))
        else:
            asyncio.run(main(options.rounds, options.upgrades))
