"""The supervisor: binds, starts the parts, starts again what ends, and stops them in order.

It serves nothing itself and so has little to die of. If it does, its parts see the end of the
pipe that it held (see `part`), answer what they hold, and end: nobody is left over, and the
next start finds the addresses and the store free.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from tansywood.distribution.settings import DistributionSettings, Role
from tansywood.fleet.settings import FleetSettings
from tansywood.service.part import LIFELINE, READY
from tansywood.service.settings import ServiceSettings, SettingsError, load
from windrelay.config import Address

ROOT = Path(__file__).resolve().parent.parent.parent
BACKLOG = 1024
STEADY_S = 10.0  # a part that lived so long is started again at once
BACKOFF_S = 0.1
BACKOFF_MOST_S = 5.0
DOOR_S = 2.0  # to end after SIGTERM
WORKER_S = 125.0  # the longest deadline there may be, and a little
ADMIN_S = 5.0
FLEET_S = 2.0


def bind(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


@dataclass
class Part:
    """One child, over all its lives."""

    name: str
    arguments: Sequence[str]
    descriptors: Sequence[int] = ()
    process: subprocess.Popen[bytes] | None = None
    started: float = 0.0
    ends: int = 0  # in a row, soon after its start
    ready: bool = False
    again: asyncio.TimerHandle | None = field(default=None, repr=False)


class Supervisor:
    """One service."""

    def __init__(self, settings: ServiceSettings, loop: asyncio.AbstractEventLoop) -> None:
        self.settings = settings
        self.loop = loop
        self.parts: dict[str, Part] = {}
        self.stopping = False
        self.ended: asyncio.Future[int] = loop.create_future()
        self.lifeline, self._held = os.pipe()
        self.sockets: dict[str, socket.socket] = {}
        self.admin: socket.socket | None = None
        self.announced = False

    def log(self, text: str) -> None:
        print(f"service: {text}", file=sys.stderr, flush=True)

    # ---- starting ----

    async def run(self) -> int:
        s = self.settings
        s.run.mkdir(parents=True, exist_ok=True)
        s.run.chmod(0o700)
        if s.role in (None, Role.PUBLISHER):
            self.add_administration()
        if s.role is Role.DISTRIBUTOR:
            self.add_distributor()
        if s.role is Role.NODE:
            self.add_agent()
        if s.role in (None, Role.NODE):
            self.add_traffic_side()
        self.loop.add_signal_handler(signal.SIGCHLD, self.children)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        for part in self.parts.values():
            self.start(part)
        code = await self.ended
        for sock in self.sockets.values():
            sock.close()
        if self.admin is not None:
            self.admin.close()
        return code

    # ---- which parts there are, by the machine's role ----

    def add_administration(self) -> None:
        """The API, its store and its feed; a publisher's speaks with distributors as well."""
        s = self.settings
        assert s.admin is not None
        self.admin = bind(s.admin)
        words = [str(s.run), str(s.store), str(self.admin.fileno()), str(s.admin_rate_per_s)]
        words += [f"--listener={name}" for name in s.listeners]
        words += self._iso()
        if s.distribution is not None:
            words += [f"--publish={s.distribution.listen}", *_identity(s.distribution)]
        self.add("admin", ["tansywood.admin", *words], [self.admin.fileno()])

    def add_distributor(self) -> None:
        d = self.settings.distribution
        assert d is not None
        words = [str(self.settings.run), d.listen, *_identity(d)]
        words += [f"--publisher={address}" for address in d.publisher]
        self.add("distributor", ["tansywood.service.distributor", *words])

    def add_agent(self) -> None:
        """What follows a distributor in the place of an administration."""
        s = self.settings
        d = s.distribution
        assert d is not None
        words = [str(s.run), d.instance, d.fleet, str(d.key_file)]
        words += [f"--control={address}" for address in d.control]
        words += [f"--listener={name}" for name in s.listeners]
        words += [f"--tenants={d.tenants}", f"--idle-s={d.idle_s}"]
        self.add("agent", ["tansywood.service.agent", *words])

    def add_traffic_side(self) -> None:
        """Door and workers, and the fleet's process where there is a fleet."""
        s = self.settings
        for name, address in s.listeners.items():
            self.sockets[name] = bind(address)
        workers = [f"worker-{i}" for i in range(s.workers)]
        run = str(s.run)
        fleet = []
        if s.fleet is not None:
            self.add_fleet(s.fleet)
            fleet = [f"--fleet={len(s.fleet.first)}:{s.fleet.index}"]
        for name in workers:
            words = [run, name, str(s.records), *self._iso(), *fleet]
            self.add(name, ["tansywood.service.worker", *words])
        self.add(
            "door",
            ["tansywood.service.door", run]
            + [f"--listener={name}={sock.fileno()}" for name, sock in self.sockets.items()]
            + [f"--worker={name}" for name in workers]
            + self._iso(),
            [sock.fileno() for sock in self.sockets.values()],
        )

    def add_fleet(self, f: FleetSettings) -> None:
        words = [f.name, f.instance, f.address, str(f.key_file), f.zone]
        firsts = [f"--first={address}" for address in f.first]
        firsts += [f"--voter={name}" for name in f.voters]
        leases = [f"--lease-ms={f.lease_ms}", f"--promises={self.settings.promises}"]
        leases += ["--hand-on"] if f.hand_on else []
        run = str(self.settings.run)
        self.add("fleet", ["tansywood.service.fleet", run, *words, *firsts, *leases])

    def _iso(self) -> list[str]:
        return [f"--iso-listener={name}" for name in sorted(self.settings.iso_listeners)]

    def add(self, name: str, arguments: Sequence[str], descriptors: Sequence[int] = ()) -> None:
        self.parts[name] = Part(name, arguments, descriptors)

    def start(self, part: Part) -> None:
        part.again = None
        if self.stopping:
            return
        told, tells = os.pipe()
        part.process = subprocess.Popen(
            [sys.executable, "-B", "-m", *part.arguments],
            cwd=ROOT,
            env=os.environ | {LIFELINE: str(self.lifeline), READY: str(tells)},
            pass_fds=[self.lifeline, tells, *part.descriptors],
            stdin=subprocess.DEVNULL,
        )
        os.close(tells)
        part.started = self.loop.time()
        part.ready = False
        self.loop.add_reader(told, self.became_ready, part, told)

    def became_ready(self, part: Part, told: int) -> None:
        self.loop.remove_reader(told)
        part.ready = os.read(told, 1) == b"R"
        os.close(told)
        if not part.ready:
            return
        self.log(f"{part.name} is ready, process {part.process.pid if part.process else 0}")
        if not self.announced and all(p.ready for p in self.parts.values()):
            self.announced = True
            self.log("; ".join(self.announcements()))

    def announcements(self) -> list[str]:
        """What this machine does now, and where, for its log."""
        d = self.settings.distribution
        words = []
        if self.sockets:
            places = [f"{name} at {address_of(sock)}" for name, sock in self.sockets.items()]
            words.append(f"serving {', '.join(places)}")
        if d is not None and d.role is Role.NODE:
            words.append(f"configuration from {len(d.control)} control addresses")
        elif d is not None:
            words.append(f"{d.role.value} at {d.listen}")
        if self.admin is not None:
            words.append(f"administration at {address_of(self.admin)}")
        return words

    # ---- ends ----

    def children(self) -> None:
        for part in self.parts.values():
            process = part.process
            if process is None or process.poll() is None:
                continue
            part.process = None
            if self.stopping:
                continue
            lived = self.loop.time() - part.started
            part.ends = 1 if lived >= STEADY_S else part.ends + 1
            wait = 0.0
            if part.ends > 1:
                wait = min(BACKOFF_S * 2 ** (part.ends - 2), BACKOFF_MOST_S)
            self.log(f"{part.name} ended with {process.returncode}, again in {wait:.1f} s")
            part.again = self.loop.call_later(wait, self.start, part)

    def stop(self) -> None:
        """Door first, so that nothing new comes; then the workers; what tells them last."""
        if self.stopping:
            return
        self.stopping = True
        self.log("stopping")
        for part in self.parts.values():
            if part.again is not None:
                part.again.cancel()
        self.loop.create_task(self.stop_all())

    async def stop_all(self) -> None:
        workers = [name for name in self.parts if name.startswith("worker")]
        fleet = [name for name in self.parts if name == "fleet"]
        control = [name for name in self.parts if name in ("admin", "agent", "distributor")]
        door = [name for name in self.parts if name == "door"]
        clean = True
        for names, patience in (
            (door, DOOR_S),
            (workers, WORKER_S),
            (fleet, FLEET_S),  # behind the workers: what it gives back must not be in use
            (control, ADMIN_S),
        ):
            clean &= await self.stop_some([self.parts[name] for name in names], patience)
        self.ended.set_result(0 if clean else 1)

    async def stop_some(self, parts: list[Part], patience: float) -> bool:
        running = [p.process for p in parts if p.process is not None]
        for process in running:
            process.terminate()
        end = self.loop.time() + patience
        while any(p.poll() is None for p in running) and self.loop.time() < end:
            await asyncio.sleep(0.01)
        for process in running:
            if process.poll() is None:
                self.log(f"process {process.pid} did not end in {patience:.0f} s: killed")
                process.kill()
                process.wait()
        return all(process.returncode == 0 for process in running)


def _identity(distribution: DistributionSettings) -> list[str]:
    """How a control machine's process is told who it is in the fleet."""
    return [
        f"--fleet={distribution.fleet}",
        f"--instance={distribution.instance}",
        f"--key-file={distribution.key_file}",
    ]


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


def main(path: str) -> int:
    """Serve to the end; 2 where the file can't be used or an address is taken."""
    try:
        settings = load(path)
    except SettingsError as err:
        for fault in err.faults:
            print(f"{path}: {fault}", file=sys.stderr)
        return 2
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(Supervisor(settings, loop).run())
    except OSError as err:
        print(f"tansywood serve: {err}", file=sys.stderr)
        return 2
