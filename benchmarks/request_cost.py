"""What a request costs a node in CPU, against another commit and against a bare relay.

    python -m benchmarks.request_cost [--against REV] [--requests N] [--rounds N]

Each round plays the same requests (a third of them credits) through this tree, the tree of
REV and the relay in turn, one after the other, on 32 kept connections. CPU is the process's
own, user and system, from the kernel; how fast the callers here are does not count. Machines
are shared and noisy: the table gives medians and the range of the rounds, and the ratio of
each pair within its own round.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path

from benchmarks.figures import median_and_range
from standins.platform import answer, config, parts, request, roster, target

ROOT = Path(__file__).resolve().parent.parent
CONNECTIONS = 32
SERVERS = 4
START_S = 10.0
SETTINGS = {"rules": {"ask_within": 3_600_000_000_000, "drain_grace": 2_000_000_000,
                      "cold": 8_000_000_000, "cold_from": 0.3, "fall": 1_500_000_000,
                      "fall_multiple": 3.0, "grace_to_answer": 20_000_000}}  # fmt: skip


class Server(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            size = int(parts(head)[1].get("content-length", "0"))
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.done()

    def done(self) -> None:
        self.transport.write(answer(b"x" * 200))


async def asks(port: int, count: int, name: str, head: Mapping[str, str] | None = None) -> int:
    """So many requests in turn on one connection; how many were served."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    served = 0
    for i in range(count):
        rid = f"{name}-{i}"
        if i % 3:
            writer.write(request(f"/balance/{i}", rid=rid, more=head))
        else:
            writer.write(request(f"/credit/{i}", b"x" * 100, rid=rid, more=head))
        came = await reader.readuntil(b"\r\n\r\n")
        first, headers = parts(came[:-4])
        await reader.readexactly(int(headers["content-length"]))
        served += first.split(" ")[1] == "200"
    writer.close()
    return served


def cpu_s(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


def listening(process: subprocess.Popen[bytes], log: Path) -> int:
    """The port it listens on; RuntimeError where it does not come up."""
    end = time.monotonic() + START_S
    while time.monotonic() < end and process.poll() is None:
        for line in log.read_text().splitlines(keepends=True):
            if "listening on" in line and line.endswith("\n"):
                return int(line.rsplit(":", 1)[1])
        time.sleep(0.01)
    process.kill()
    raise RuntimeError(f"{process.args!r} did not start: {log.read_text()}")


async def play(
    command: list[str], tree: Path, environ: dict[str, str], requests: int, log: Path
) -> float:
    """CPU microseconds for each request through one process."""
    with log.open("wb") as file:
        process = subprocess.Popen(command, cwd=tree, env=os.environ | environ, stderr=file)
    try:
        port = await asyncio.to_thread(listening, process, log)
        each = requests // CONNECTIONS
        await asyncio.gather(*(asks(port, 20, f"w{i}") for i in range(CONNECTIONS)))
        before = cpu_s(process.pid)
        served = await asyncio.gather(*(asks(port, each, f"r{i}") for i in range(CONNECTIONS)))
        spent = cpu_s(process.pid) - before
        if sum(served) < 0.98 * each * CONNECTIONS:
            raise RuntimeError(f"only {sum(served)} of {each * CONNECTIONS} were served")
        return spent * 1e6 / (each * CONNECTIONS)
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


async def measure(against: str, requests: int, rounds: int, folder: Path) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [int(s.sockets[0].getsockname()[1]) for s in servers]
    known = roster(*(target(f"s-{i}", port) for i, port in enumerate(ports)))
    old = folder / "old"
    old.mkdir()
    archive = subprocess.run(["git", "archive", against], cwd=ROOT, check=True, capture_output=True)
    subprocess.run(["tar", "-x"], cwd=old, input=archive.stdout, check=True)
    environ = config(folder, known, 1, settings=SETTINGS)
    node = [sys.executable, "-B", "-m", "windrelay"]
    relay = [sys.executable, "-m", "benchmarks.relay", *map(str, ports)]
    candidates = {
        "this tree": (node, ROOT, environ),
        against: (node, old, environ),
        "relay": (relay, ROOT, {}),
    }
    costs: dict[str, list[float]] = {name: [] for name in candidates}
    for n in range(rounds):
        names = list(candidates)
        for name in names[n % 3 :] + names[: n % 3]:  # nobody always goes first
            command, tree, env = candidates[name]
            costs[name].append(await play(command, tree, env, requests, folder / "log"))
        line = "  ".join(f"{name} {costs[name][-1]:.1f}" for name in candidates)
        print(f"round {n + 1} of {rounds}: {line}", file=sys.stderr, flush=True)
    for server in servers:
        server.close()
    table(costs, against)


def table(costs: dict[str, list[float]], against: str) -> None:
    print(f"{'':>12} {'CPU us a request':>24} {'ratio to ' + against[:12]:>28}")
    for name, values in costs.items():
        ratios = [a / b for a, b in zip(values, costs[against], strict=True)]
        print(
            f"{name[:12]:>12} {median_and_range(values, '.1f'):>24} "
            f"{median_and_range(ratios):>28}"
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--against", default="HEAD", help="a commit, HEAD by default")
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="cost-") as folder:
        asyncio.run(measure(options.against, options.requests, options.rounds, Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
