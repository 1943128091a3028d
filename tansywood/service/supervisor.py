"""The supervisor: binds, starts the parts, starts again what ends, and stops them in order.

It serves nothing itself and so has little to die of. If it does, its parts see the end of the
pipe that it held (see `part`), answer what they hold, and end: nobody is left over, and the
next start finds the addresses and the store free. It is small: `serve` has read the settings, and
left here no more than a `Layout`.
"""

from __future__ import annotations

import asyncio
import os
import pickle
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field

from tansywood.service.layout import Layout, PartLayout, Place
from tansywood.service.part import LIFELINE, READY

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BACKLOG = 1024
STEADY_S = 10.0  # a part that lived so long is started again at once
BACKOFF_S = 0.1
BACKOFF_MOST_S = 5.0
DOOR_S = 2.0  # to end after SIGTERM
WORKER_S = 125.0  # the longest deadline there may be, and a little
ADMIN_S = 5.0
FLEET_S = 2.0


def bind(place: Place) -> socket.socket:
    """A socket that listens there; OSError where it can't."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(place)
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

    def __init__(self, layout: Layout, loop: asyncio.AbstractEventLoop) -> None:
        self.layout = layout
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
        layout = self.layout
        os.makedirs(layout.run, exist_ok=True)
        os.chmod(layout.run, 0o700)
        if layout.admin is not None:
            self.admin = bind(layout.admin)
        for name, place in layout.listeners.items():
            self.sockets[name] = bind(place)
        for told in layout.parts:
            self.add(told)
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

    def add(self, part: PartLayout) -> None:
        """A part, told the sockets that are its to use."""
        arguments, descriptors = [part.module], []
        for word in part.words:
            if isinstance(word, str):
                arguments.append(word)
                continue
            sock = self.admin if word.listener is None else self.sockets[word.listener]
            assert sock is not None
            arguments.append(f"{word.before}{sock.fileno()}")
            descriptors.append(sock.fileno())
        self.parts[part.name] = Part(part.name, arguments, descriptors)

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
        words = []
        if self.sockets:
            places = [f"{name} at {address_of(sock)}" for name, sock in self.sockets.items()]
            words.append(f"serving {', '.join(places)}")
        if self.layout.role:
            words.append(self.layout.role)
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


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


def main() -> int:
    """Serve to the end what the layout says; 2 where an address is taken.

    The words are the settings' path, for whoever lists processes, and the number of the descriptor
    that the layout is read from (see `serve`).
    """
    with os.fdopen(int(sys.argv[2]), "rb") as file:
        layout = pickle.load(file)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(Supervisor(layout, loop).run())
    except OSError as err:
        print(f"tansywood serve: {err}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
