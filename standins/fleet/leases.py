"""Leases on real processes: instances' fleet processes, faults between them, and a resource that
keeps the order of every act.

    python -m standins.fleet.leases --seed 3 --seconds 60

Each instance is the program's own process (`tansywood.service.fleet`), with its disk, on the rig's
network; beside it stands a feed that knows no tenants. Actors hold leases through the process's
own port, as any program of that machine would, act on the resource with their token for a while,
give the lease back and ask again. Some actors sleep between the look at their lease and the act,
past its end, as a process does that is stopped there.

The verdict is by the order in which acts came to the resource: no older token after a newer, no
token with two holders; and every lease is acted on again after the last fault.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from standins.fleet.instances import INJECT, free_port
from standins.fleet.network import Network
from standins.wire import frame, read_frame

ROOT = Path(__file__).resolve().parent.parent.parent
KINDS = (
    "kill", "bare", "restore", "stop", "cut", "one_way", "lossy", "full", "slow", "broken",
)  # fmt: skip


@dataclass
class Act:
    """One act that came to the resource."""

    at: float
    name: str
    token: int
    holder: str
    taken: bool


class Resource:
    """Something that many would change: it takes an act, or refuses it by its token."""

    def __init__(self, fenced: bool = True) -> None:
        self.fenced = fenced
        self.acts: list[Act] = []
        self.newest: dict[str, int] = {}

    def act(self, name: str, token: int, holder: str) -> bool:
        taken = not self.fenced or token >= self.newest.get(name, 0)
        if taken:
            self.newest[name] = max(token, self.newest.get(name, 0))
        self.acts.append(Act(time.monotonic(), name, token, holder, taken))
        return taken

    def problems(self) -> list[str]:
        """Of the acts that were taken, in their order."""
        found = []
        newest: dict[str, int] = {}
        holders: dict[tuple[str, int], str] = {}
        for act in self.acts:
            if not act.taken:
                continue
            if act.token < newest.get(act.name, 0):
                found.append(
                    f"{act.name}: {act.holder} acted by token {act.token} after "
                    f"{newest[act.name]} had"
                )
            newest[act.name] = max(act.token, newest.get(act.name, 0))
            other = holders.setdefault((act.name, act.token), act.holder)
            if other != act.holder:
                found.append(f"{act.name}: {other} and {act.holder} have token {act.token}")
        return found

    def handovers(self) -> int:
        """Times that a lease was acted on by a new token."""
        tokens = {(act.name, act.token) for act in self.acts if act.taken}
        return len(tokens)


@dataclass
class Station:
    """One instance: its process, its folder, its place in the network."""

    name: str
    folder: Path
    port: int
    clock: float = 1.0
    process: subprocess.Popen[bytes] | None = None
    stopped: bool = False
    feed: asyncio.Server | None = None
    lives: int = 0

    @property
    def socket(self) -> str:
        return str(self.folder / "run" / "fleet.sock")

    @property
    def promises(self) -> Path:
        return self.folder / "state-lease"

    @property
    def disk(self) -> Path:
        return self.folder / "disk-fault"


@dataclass
class Made:
    """What a run came to."""

    problems: list[str] = field(default_factory=list)
    handovers: int = 0
    refused: int = 0
    taken: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    recovered_s: float = 0.0
    status: dict[str, Any] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)  # of a run with problems: who voted when


class LeaseRig:
    """All stations, their network and their actors."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        instances: int = 5,
        voters: int = 3,
        leases: int = 12,
        lease_ms: int = 800,
        fenced: bool = True,
        say: Any = lambda _text: None,
        hold_s: float = 0.03,
        asleep: float = 0.01,
        clocks: bool = True,
        without: str = "",
    ) -> None:
        """`asleep` is the part of looks after which an actor sleeps past its lease's end."""
        self.folder = folder
        self.rng = Random(seed)
        self.lease_ms = lease_ms
        self.say = say
        self.hold_s = hold_s
        self.asleep = asleep
        self.without = without
        self.names = [f"lease-{n}" for n in range(leases)]
        self.resource = Resource(fenced)
        self.network = Network(Random(self.rng.random()))
        ids = [chr(ord("a") + n) for n in range(instances)]
        self.voters = ids[:voters]
        self.stations = {
            name: Station(
                name,
                folder / name,
                free_port(),
                # Rates differ by less than the bound of a tenth.
                1 + self.rng.uniform(-0.03, 0.03) if clocks else 1.0,
            )
            for name in ids
        }
        self.key = self.rng.randbytes(32).hex()
        self.tasks: set[asyncio.Task[None]] = set()
        self.ending = False
        self.made = Made()
        # The processes end with us, however we do.
        self.lifeline, self._held = os.pipe()

    # ---- processes -----------------------------------------------------------------------------

    async def start(self) -> None:
        await self.network.start()
        first = [f"127.0.0.1:{s.port}" for s in self.stations.values()][:3]
        rows = ", ".join(f'"{f}"' for f in first)
        voters = ", ".join(f'"{v}"' for v in self.voters)
        for station in self.stations.values():
            self.network.know(station.name, station.port)
            (station.folder / "run").mkdir(parents=True)
            key = station.folder / "fleet.key"
            key.write_text(self.key + "\n")
            key.chmod(0o600)
            (station.folder / "service.toml").write_text(
                '[service]\nrun = "run"\nstore = "state"\n'
                '[[listeners]]\nname = "a"\naddress = "127.0.0.1:0"\n'
                '[admin]\naddress = "127.0.0.1:0"\n'
                f'[fleet]\nname = "rig"\ninstance = "{station.name}"\n'
                f'address = "127.0.0.1:{station.port}"\nfirst = [{rows}]\n'
                f'key_file = "fleet.key"\nvoters = [{voters}]\nlease_ms = {self.lease_ms}\n'
            )
            station.feed = await asyncio.start_unix_server(
                self._feed, str(station.folder / "run" / "feed.sock")
            )
            self.begin(station, first)
        await asyncio.gather(*(self.answers(s) for s in self.stations.values()))

    async def _feed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The administration's end, of a service that has no tenants."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await read_frame(reader)
            writer.write(frame({"all": {}, "seq": 0}))
            while True:
                await read_frame(reader)
        writer.close()

    def begin(self, station: Station, first: list[str] | None = None) -> None:
        """Start its process; its disk as it lies there."""
        if first is None:
            first = [f"127.0.0.1:{s.port}" for s in self.stations.values()][:3]
        environ = os.environ | {
            "PYTHONPATH": str(INJECT),
            "TANSYWOOD_RIG_VIA": f"127.0.0.1:{self.network.port}",
            "TANSYWOOD_RIG_DISK": str(station.disk),
            "TANSYWOOD_RIG_CLOCK": f"{station.clock},0",
            "TANSYWOOD_RIG_WITHOUT": self.without,
            "TANSYWOOD_LIFELINE": str(self.lifeline),
        }
        with (station.folder / "log").open("ab") as log:
            station.process = subprocess.Popen(
                [
                    sys.executable, "-B", "-m", "tansywood.service.fleet",
                    str(station.folder / "run"), "rig", station.name,
                    f"127.0.0.1:{station.port}", str(station.folder / "fleet.key"), "",
                    *(f"--first={f}" for f in first), *(f"--voter={v}" for v in self.voters),
                    f"--lease-ms={self.lease_ms}", f"--promises={station.promises}",
                ],
                cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environ,
                pass_fds=[self.lifeline],
            )  # fmt: skip
        station.lives += 1
        station.stopped = False

    def end(self, station: Station, how: int = signal.SIGKILL) -> None:
        process, station.process = station.process, None
        if process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(how)
            process.send_signal(signal.SIGCONT)
        process.wait(20)

    async def answers(self, station: Station, limit_s: float = 20.0) -> dict[str, Any]:
        """Its status, once it tells one."""
        end = time.monotonic() + limit_s
        while True:
            try:
                told: dict[str, Any] = await self.ask(station, "list")
                return told
            except (OSError, asyncio.IncompleteReadError):
                if time.monotonic() > end:
                    log = (station.folder / "log").read_text()[-2000:]
                    raise RuntimeError(f"{station.name} does not answer: {log}") from None
                await asyncio.sleep(0.02)

    async def ask(self, station: Station, what: str, name: str = "", to: str = "") -> Any:
        reader, writer = await asyncio.open_unix_connection(station.socket)
        try:
            writer.write(frame({"ask": what, "of": name, "to": to}))
            return await asyncio.wait_for(read_frame(reader), 5)
        except TimeoutError:
            raise OSError("no answer within 5 s") from None
        finally:
            writer.close()

    async def found(self, at: str = "a") -> None:
        """The group of voters, and all that the settings name in it."""
        await self.until_up(self.stations[at])
        told = await self.ask(self.stations[at], "found")
        if "error" in told:
            raise RuntimeError(told["error"])
        await self.until(lambda s: len(s["voter"]["voters"]) == len(self.voters), at)

    async def until_up(self, station: Station) -> None:
        await self.until(lambda s: "voter" in s, station.name)

    async def until(self, true: Any, at: str, limit_s: float = 30.0) -> dict[str, Any]:
        """Its status, once something holds of it."""
        end = time.monotonic() + limit_s
        while True:
            told: dict[str, Any] = await self.answers(self.stations[at])
            with contextlib.suppress(KeyError):
                if true(told):
                    return told
            if time.monotonic() > end:
                raise RuntimeError(f"{at} did not come to it in {limit_s:g} s: {told}")
            await asyncio.sleep(0.05)

    # ---- actors --------------------------------------------------------------------------------

    def act(self, names: list[str] | None = None, at: list[str] | None = None) -> None:
        """An actor for each lease at each instance from now on."""
        for station in self.stations.values():
            if at is None or station.name in at:
                for name in names or self.names:
                    self.spawn(self._acts(station, name))

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def line(self, station: Station, name: str) -> tuple[Any, Any, dict[str, Any]]:
        """Hold a lease at an instance: both ends of the line and its first word."""
        reader, writer = await asyncio.open_unix_connection(station.socket)
        writer.write(frame({"lease": name}))
        return reader, writer, await asyncio.wait_for(read_frame(reader), 20)

    async def _acts(self, station: Station, name: str) -> None:
        rng = Random(self.rng.random())
        while not self.ending:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await self._hold(station, name, rng)
            await asyncio.sleep(rng.uniform(0.01, 0.05))

    async def _hold(self, station: Station, name: str, rng: Random) -> None:
        """One time on the line: wait, act for a while, hang up."""
        reader, writer = await asyncio.open_unix_connection(station.socket)
        writer.write(frame({"lease": name}))
        token, until = 0, 0
        over = asyncio.Event()
        got = asyncio.Event()

        async def follow() -> None:
            nonlocal token, until
            try:
                while True:
                    told = await read_frame(reader)
                    if "lost" in told or token not in (0, told["token"]):
                        return
                    token, until = told["token"], told["until"]
                    got.set()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                over.set()
                got.set()

        following = asyncio.get_running_loop().create_task(follow())
        holder = f"{station.name}.{station.lives}"
        try:
            await got.wait()
            hold = rng.expovariate(1 / self.hold_s)
            began = time.monotonic()
            while not over.is_set() and not self.ending:
                if time.monotonic_ns() >= until:
                    await asyncio.sleep(0.005)
                    continue
                if rng.random() < self.asleep:
                    # Stopped here, between the look and the act.
                    await asyncio.sleep(self.lease_ms / 1000 * rng.uniform(0.5, 2.5))
                if not self.resource.act(name, token, holder):
                    return  # it knows now that it is not its holder any more
                if time.monotonic() - began > hold:
                    return
                await asyncio.sleep(rng.uniform(0.001, 0.01))
        finally:
            following.cancel()
            writer.close()

    # ---- faults --------------------------------------------------------------------------------

    async def fault(self, kind: str) -> None:
        """One fault, from its beginning to its end."""
        rng = self.rng
        station = self.stations[rng.choice(list(self.stations))]
        voter = self.stations[rng.choice(self.voters)]
        span = rng.uniform(0.2, 2.5 * self.lease_ms / 1000)
        self.made.faults[kind] += 1
        if kind in ("bare", "restore"):
            # One disk at a time: a majority of lost disks is an operator's matter (`refound`).
            await self.whole()
        if kind in ("kill", "bare", "restore"):
            station = voter if kind != "kill" else station
            copy = self.folder / "copy"
            if kind == "restore":
                shutil.rmtree(copy, ignore_errors=True)
                with contextlib.suppress(OSError):  # files go while it is made
                    shutil.copytree(station.promises, copy)
                await asyncio.sleep(span)
            self.say(f"{kind} {station.name}")
            self.end(station)
            if kind == "bare":
                shutil.rmtree(station.promises, ignore_errors=True)
            elif kind == "restore" and copy.exists():
                shutil.rmtree(station.promises, ignore_errors=True)
                shutil.copytree(copy, station.promises)
            await asyncio.sleep(span)
            self.begin(station)
            await self.answers(station)
        elif kind == "stop":
            self.say(f"stop {station.name} for {span:.1f} s")
            assert station.process is not None
            station.process.send_signal(signal.SIGSTOP)
            station.stopped = True
            await asyncio.sleep(span)
            station.process.send_signal(signal.SIGCONT)
            station.stopped = False
        elif kind in ("cut", "one_way"):
            names = list(self.stations)
            some = rng.sample(names, rng.randint(1, len(names) - 1))
            rest = [n for n in names if n not in some]
            self.say(f"{kind} {','.join(some)} from {','.join(rest)} for {span:.1f} s")
            self.network.cut(some, rest, both=kind == "cut")
            await asyncio.sleep(span)
            self.network.heal()
        elif kind == "lossy":
            over = {w: rng.uniform(0.02, 0.25) for w in ("loss", "late", "twice")}
            self.say("lossy " + " ".join(f"{w} {v:.2f}" for w, v in over.items()))
            self.network.all(**over)
            await asyncio.sleep(span)
            self.network.all(loss=0.0, late=0.0, twice=0.0)
        else:
            what = f"slow {rng.uniform(0.1, 1.0):.2f}" if kind == "slow" else kind
            self.say(f"disk of {voter.name} {what} for {span:.1f} s")
            voter.disk.write_text(what)
            await asyncio.sleep(span)
            voter.disk.unlink(missing_ok=True)

    async def whole(self, limit_s: float = 30.0) -> None:
        """Until every voter's disk is in the group, by the word of whoever leads it."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            told = [(await self.answers(self.stations[v])).get("voter") for v in self.voters]
            ids = {one["id"] for one in told if one is not None}
            led = [one for one in told if one is not None and one["role"] == "leader"]
            if len(ids) == len(self.voters) and any(set(one["voters"]) == ids for one in led):
                return
            await asyncio.sleep(0.05)
        self.made.problems.append(f"the voters are not whole again: {told}")

    # ---- a run ---------------------------------------------------------------------------------

    async def play(self, seconds: float, kinds: tuple[str, ...] = KINDS) -> Made:
        """Load and faults for so long, then quiet until every lease is acted on again."""
        made = self.made
        try:
            await self.start()
            await self.found()
            self.say(f"{len(self.stations)} instances, voters {', '.join(self.voters)}")
            self.act()
            end = time.monotonic() + seconds
            deck: list[str] = []
            while time.monotonic() < end and kinds:
                if not deck:
                    deck = list(kinds)
                    self.rng.shuffle(deck)
                await self.fault(deck.pop())
                await asyncio.sleep(self.rng.uniform(0.0, self.lease_ms / 1000))
            await asyncio.sleep(max(end - time.monotonic(), 0))
            await self.whole()
            await self.recover()
            made.status = {n: await self.answers(s) for n, s in self.stations.items()}
        finally:
            await self.close()
        self.judge()
        if made.problems:
            for station in self.stations.values():
                for line in (station.folder / "log").read_text(errors="replace").splitlines():
                    if "lease: " in line and "holds" not in line:
                        made.log.append(f"{station.name}  {line}")
        return made

    async def recover(self, limit_s: float = 20.0) -> None:
        """Until each lease is acted on after now."""
        began = time.monotonic()
        while time.monotonic() - began < limit_s:
            since = {a.name for a in self.resource.acts if a.taken and a.at >= began}
            if since == set(self.names):
                self.made.recovered_s = time.monotonic() - began
                return
            await asyncio.sleep(0.02)
        missing = sorted(set(self.names) - since)
        self.made.problems.append(f"nobody acts on {', '.join(missing)} after the last fault")

    def judge(self) -> None:
        made = self.made
        made.problems += self.resource.problems()
        made.handovers = self.resource.handovers()
        made.refused = sum(not a.taken for a in self.resource.acts)
        made.taken = sum(a.taken for a in self.resource.acts)

    async def close(self) -> None:
        self.ending = True
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for station in self.stations.values():
            self.end(station)
            if station.feed is not None:
                station.feed.close()
        self.network.close()
        os.close(self._held)
        os.close(self.lifeline)
        await asyncio.sleep(0)


def play(seed: int, seconds: float, **over: Any) -> Made:
    """A run in a folder that is removed after it."""
    kinds = over.pop("kinds", KINDS)
    # A short path: sockets have a longest one.
    with tempfile.TemporaryDirectory(prefix="tl", dir=os.environ.get("TMPDIR")) as made:
        rig = LeaseRig(Path(made), seed, **over)
        return asyncio.run(rig.play(seconds, kinds))


def main() -> int:
    parser = argparse.ArgumentParser(prog="standins.fleet.leases", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--leases", type=int, default=12)
    parser.add_argument("--unfenced", action="store_true", help="the resource checks no token")
    options = parser.parse_args()
    began = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - began:7.2f} s  {text}", flush=True)

    made = play(
        options.seed, options.seconds, instances=options.instances, voters=options.voters,
        leases=options.leases, fenced=not options.unfenced, say=say,
    )  # fmt: skip
    print(
        f"{made.handovers} handovers, {made.taken} acts taken, {made.refused} refused by token; "
        f"all acted on again {made.recovered_s:.2f} s after the last fault"
    )
    print("faults: " + ", ".join(f"{k} {n}" for k, n in sorted(made.faults.items())))
    print("\n".join(made.log))
    print("\n".join(made.problems[:20]) or "no two holders, no older token after a newer")
    return 1 if made.problems else 0


if __name__ == "__main__":
    sys.exit(main())
