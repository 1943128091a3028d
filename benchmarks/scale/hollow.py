"""Hollow nodes: the shipped fleet part of each instance on its own socket, many in one process.

    python -m benchmarks.scale.hollow '{"own": [...], "first": [...], "warm": 30, "span": 20}'

Each is `tansywood.service.fleet.Agent` with its timers, seals and datagrams; it has no workers,
no administration and no data path. The process prints what its nodes used in the span, as JSON.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import uvloop

from standins.fleet.instances import free_port
from standins.process import ROOT
from tansywood.fleet.settings import FleetSettings
from tansywood.service.endpoint import Clock
from tansywood.service.fleet import Agent
from tansywood.service.part import Place
from windrelay.config import Address, parse_address

NODES_A_PROCESS = 25
HOMES = 3
LONGEST_S = 300.0


@dataclass(frozen=True, slots=True)
class Task:
    """What one process of hollow nodes has to do: ports, and seconds."""

    own: tuple[int, ...]
    first: tuple[int, ...]
    warm: float
    span: float


@dataclass(frozen=True, slots=True)
class Used:
    """What the nodes of one process used together in the span."""

    cpu_s: float
    bytes_sent: int
    datagrams: int
    known: int  # members, added up over the nodes
    false_alarms: int  # suspicions that were refuted, seen in the span


class HollowNode(Agent):
    """One instance's fleet part that counts what it sends."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path, port: int, task: Task):
        first = tuple(f"127.0.0.1:{p}" for p in task.first)
        settings = FleetSettings(
            "scale", f"instance-{port:05}", f"127.0.0.1:{port}", first, folder / "fleet.key"
        )
        super().__init__(loop, Place(str(folder)), settings, Clock(), folder / "promises")
        self.bytes_sent = 0
        self.datagrams = 0
        send = self.endpoint.send

        def counting(data: bytes, address: Address) -> None:
            self.bytes_sent += len(data)
            self.datagrams += 1
            send(data, address)

        self.endpoint.send = counting  # type: ignore[method-assign]

    def log(self, text: str) -> None:
        """Say nothing: hundreds of nodes tell of every member."""


async def play(task: Task, folder: Path) -> Used:
    """Start the nodes, let them come to rest, and count."""
    loop = asyncio.get_running_loop()
    key = folder / "fleet.key"
    key.write_text("00112233445566778899aabbccddeeff" * 2 + "\n")
    key.chmod(0o600)
    nodes = [HollowNode(loop, folder, port, task) for port in task.own]
    for node in nodes:
        await node.endpoint.open(parse_address(node.settings.address))
    for node in nodes:
        node.tick()
    await asyncio.sleep(task.warm)
    cpu = time.process_time()
    sent = sum(n.bytes_sent for n in nodes)
    datagrams = sum(n.datagrams for n in nodes)
    alarms = sum(n.instance.members.false_alarms for n in nodes)
    await asyncio.sleep(task.span)
    return Used(
        time.process_time() - cpu,
        sum(n.bytes_sent for n in nodes) - sent,
        sum(n.datagrams for n in nodes) - datagrams,
        sum(len(n.instance.members.live()) for n in nodes),
        sum(n.instance.members.false_alarms for n in nodes) - alarms,
    )


@dataclass(frozen=True, slots=True)
class Each:
    """One hollow node's mean over a whole fleet of them."""

    nodes: int
    cpu_percent: float  # of a core
    bytes_a_second: float
    datagrams_a_second: float
    known: float
    false_alarms: int  # all nodes together


def run_fleet(nodes: int, warm: float, span: float) -> Each:
    """A fleet of so many hollow nodes over several processes; RuntimeError where one fails."""
    ports = [free_port() for _ in range(nodes)]
    first = tuple(ports[:HOMES])
    processes = []
    for at in range(0, nodes, NODES_A_PROCESS):
        task = Task(tuple(ports[at : at + NODES_A_PROCESS]), first, warm, span)
        words = [sys.executable, "-m", "benchmarks.scale.hollow"]
        words.append(msgspec.json.encode(task).decode())
        processes.append(subprocess.Popen(words, cwd=ROOT, stdout=subprocess.PIPE))
    return _together(nodes, processes, span)


def _together(nodes: int, processes: Sequence[subprocess.Popen[bytes]], span: float) -> Each:
    try:
        said = [process.communicate(timeout=LONGEST_S)[0] for process in processes]
    finally:
        for process in processes:
            process.kill()
            process.wait()
    if any(process.returncode for process in processes):
        raise RuntimeError("a process of hollow nodes failed")
    used = [msgspec.json.decode(text, type=Used) for text in said]
    each = 1 / span / nodes
    return Each(
        nodes,
        100 * sum(u.cpu_s for u in used) * each,
        sum(u.bytes_sent for u in used) * each,
        sum(u.datagrams for u in used) * each,
        sum(u.known for u in used) / nodes,
        sum(u.false_alarms for u in used),
    )


def main() -> int:
    """One process of hollow nodes, told by its argument."""
    task = msgspec.json.decode(sys.argv[1], type=Task)
    with tempfile.TemporaryDirectory(prefix="hollow-") as folder:
        loop = uvloop.new_event_loop()
        used = loop.run_until_complete(play(task, Path(folder)))
    print(msgspec.json.encode(used).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
