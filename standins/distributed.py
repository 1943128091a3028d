"""A publisher, distributors and nodes as processes, and the ways between them: for tests and
benchmarks. Each is `python -m tansywood serve` over a file of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Collection, Mapping, Sequence
from pathlib import Path
from typing import Any

from standins.process import LIMIT_S, ROOT
from standins.questions import ask
from standins.relay import Address, Relay, address_of
from standins.service import ServiceProcess

FLEET = "rig"
NOWHERE = Address("127.0.0.1", 1)


def section(role: str, name: str, **words: str | int | Sequence[str]) -> str:
    """A [distribution] section; lists become lists of strings."""
    rows = [f'role = "{role}"', f'fleet = "{FLEET}"', f'instance = "{name}"']
    rows.append('key_file = "fleet.key"')
    for key, value in words.items():
        if isinstance(value, str):
            rows.append(f'{key} = "{value}"')
        elif isinstance(value, int):
            rows.append(f"{key} = {value}")
        else:
            rows.append(f"{key} = [{', '.join(f'{chr(34)}{v}{chr(34)}' for v in value)}]")
    return "[distribution]\n" + "\n".join(rows) + "\n"


class Machine(ServiceProcess):
    """One of them over all its lives; its folder and key are kept."""

    def __init__(self, name: str, folder: Path, key: str, **over: Any) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "fleet.key"
        path.write_text(key + "\n")
        path.chmod(0o600)
        self.name = name
        super().__init__(folder, **over)

    def said_last(self, pattern: str) -> str:
        """The first group of the last place in its log that fits."""
        found = re.findall(pattern, self.text())
        if not found:
            raise RuntimeError(f"{self.name} has not said {pattern}: {self.text()[-2000:]}")
        return str(found[-1])

    def stop_all(self) -> None:
        """SIGSTOP to every process of it."""
        for pid in self.pids():
            os.kill(pid, signal.SIGSTOP)

    def go_on(self) -> None:
        for pid in self.pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGCONT)

    def kill(self) -> None:
        if self.process is not None:
            self.go_on()  # a stopped one's end would wait
        super().kill()


class PublisherMachine(Machine):
    """The administration API."""

    def __init__(self, folder: Path, key: str) -> None:
        super().__init__("publisher", folder, key, traffic=False)

    def settings(self) -> str:
        self.more = section("publisher", self.name, listen="127.0.0.1:0")
        return super().settings()

    @property
    def address(self) -> Address:
        return address_of(self.said_last(r"admin: publishing at (\S+)"))


class DistributorMachine(Machine):
    def __init__(self, name: str, folder: Path, key: str, publisher: Address) -> None:
        super().__init__(name, folder, key, traffic=False, administration=False)
        self.publisher = publisher

    def settings(self) -> str:
        at = f"{self.publisher.host}:{self.publisher.port}"
        words = section("distributor", self.name, listen="127.0.0.1:0", publisher=[at])
        return f'[service]\nrun = "run"\n{words}'

    @property
    def _announcement(self) -> str:
        return "service: distributor"

    @property
    def address(self) -> Address:
        return address_of(self.said_last(r"listening at (\S+)"))


class NodeMachine(Machine):
    """An instance that serves callers by what distributors tell it."""

    def __init__(
        self, name: str, folder: Path, key: str, control: Sequence[Address], **words: int
    ) -> None:
        """`words` are more of its section, such as `tenants`."""
        super().__init__(name, folder, key, workers=1, administration=False)
        self.control = control
        self.words = words

    def settings(self) -> str:
        addresses = [f"{a.host}:{a.port}" for a in self.control]
        self.more = section("node", self.name, control=addresses, **self.words)
        return super().settings()

    def status(self) -> Mapping[str, Any]:
        """What the operators' tool says of it."""
        return self._tool("status")

    def report(self, tenant: str) -> Mapping[str, Any]:
        """What its callers of a tenant got, by the same tool."""
        return self._tool("report", tenant)

    def _tool(self, what: str, *words: str) -> Mapping[str, Any]:
        file = str(self.folder / "service.toml")
        command = [sys.executable, "-m", "tansywood", "distribution", what, "--json", file, *words]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, timeout=LIMIT_S)
        told: Mapping[str, Any] = json.loads(done.stdout)
        return told

    def agent_status(self) -> Mapping[str, Any]:
        """The same of its agent without a process in between; empty where the agent is away."""
        try:
            return ask(f"{self.folder}/run/agent.sock", "status")
        except (OSError, ValueError):
            return {}


class Distributed:
    """All of it. Each distributor has its own way from the publisher, each node a way of its own
    to each distributor."""

    def __init__(self, folder: Path, nodes: int, distributors: int, **words: int) -> None:
        self.folder = folder
        self.key = secrets.token_hex(32)
        self.publisher = PublisherMachine(folder / "publisher", self.key)
        self.upward = {f"d{i}": Relay(NOWHERE) for i in range(distributors)}
        self.ways = {
            (f"n{i}", f"d{j}"): Relay(NOWHERE) for i in range(nodes) for j in range(distributors)
        }
        self.distributors: dict[str, DistributorMachine] = {}
        self.nodes: dict[str, NodeMachine] = {}
        self._words = words

    async def start(self) -> None:
        for relay in (*self.upward.values(), *self.ways.values()):
            await relay.start()
        await self.start_publisher()
        for name, relay in self.upward.items():
            folder = self.folder / name
            self.distributors[name] = DistributorMachine(name, folder, self.key, relay.address)
        await asyncio.gather(*(self.start_distributor(name) for name in self.distributors))
        for name in sorted({node for node, _ in self.ways}):
            control = [r.address for (node, _), r in sorted(self.ways.items()) if node == name]
            folder = self.folder / name
            self.nodes[name] = NodeMachine(name, folder, self.key, control, **self._words)
        await asyncio.gather(*(asyncio.to_thread(n.start) for n in self.nodes.values()))

    async def start_publisher(self) -> None:
        await asyncio.to_thread(self.publisher.start)
        for relay in self.upward.values():
            relay.target = self.publisher.address

    async def start_distributor(self, name: str) -> None:
        machine = self.distributors[name]
        await asyncio.to_thread(machine.start)
        for (_, distributor), relay in self.ways.items():
            if distributor == name:
                relay.target = machine.address

    # ---- faults ----------------------------------------------------------------------------

    def cut_node_off(self, node: str, distributor: str) -> None:
        """Nothing crosses between these two any more."""
        self.ways[node, distributor].cut()

    def cut_region_off(self, distributor: str, nodes: Collection[str]) -> None:
        """Distributor and nodes reach one another alone: neither the publisher nor the rest."""
        self.upward[distributor].cut()
        for (node, other), relay in self.ways.items():
            if (node in nodes) != (other == distributor):
                relay.cut()

    def heal(self) -> None:
        """Every way is whole again."""
        for relay in (*self.upward.values(), *self.ways.values()):
            relay.heal()

    def other_distributor(self, than: str) -> str:
        """Another one, where there are two."""
        return next(name for name in self.distributors if name != than)

    # ---- the end ---------------------------------------------------------------------------

    def stop(self) -> None:
        machines = [*self.nodes.values(), *self.distributors.values(), self.publisher]
        for machine in machines:
            machine.kill()

    def stop_relays(self) -> None:
        """Must be called on the event loop: closing a server is not safe in another thread."""
        for relay in (*self.upward.values(), *self.ways.values()):
            relay.stop()

    def distributor_of(self, node: str) -> str:
        """Which distributor a node follows now; empty where it follows none."""
        address = str(self.nodes[node].status().get("source", ""))
        for (name, distributor), relay in self.ways.items():
            if name == node and address == f"{relay.address.host}:{relay.address.port}":
                return distributor
        return ""


@contextlib.asynccontextmanager
async def distributed(
    folder: Path, nodes: int = 3, distributors: int = 2, **words: int
) -> AsyncIterator[Distributed]:
    made = Distributed(folder, nodes, distributors, **words)
    try:
        await made.start()
        yield made
    finally:
        await asyncio.to_thread(made.stop)
        made.stop_relays()
        await asyncio.sleep(0)
