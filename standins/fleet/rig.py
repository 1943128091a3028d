"""Play a day: start everything, inject its faults, keep the books, give one verdict.

The verdict is by counts and order: who was answered how often, what ran how often, how many places
were taken, how many requests were let in between an asking and an end. No verdict is by how long
something took, except that a limit on rates is one on time.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from standins.callers import Caller
from standins.fleet.day import Day, Fault
from standins.fleet.instances import FleetInstance, free_port
from standins.fleet.meter import Meter, Passage
from standins.fleet.network import Network, Relay, reach, ways_to
from standins.fleet.servers import PlacedServer
from standins.ledger import End, Ledger
from standins.servers import Behaviour

TENANT = "cork"
AIM_PART = 0.5  # of the deadline
WORK_PART = 0.9  # of the longest deadline that a request's work takes at most
STARVED_S = 5.0  # within which an instance that is up and asked serves somebody
BACK_PART = 0.9  # of the whole rate that is dealt again once all has settled
TOOL_S = 20.0
TURNED_AWAY = 429
PART_SIGNALS = {
    "kill_part": signal.SIGKILL,
    "stop_part": signal.SIGSTOP,
    "go_part": signal.SIGCONT,
}
WORTH = {"balance": 1.0, "credit": 5.0}


class Books(Ledger):
    """The ledger, and each request's status."""

    def __init__(self) -> None:
        super().__init__()
        self.status: dict[str, int] = {}

    def answered(self, rid: str, status: int, body: bytes) -> End:
        self.status[rid] = status
        return super().answered(rid, status, body)


@dataclass
class Outcome:
    """What a day came to."""

    day: Day
    problems: list[str] = field(default_factory=list)
    ends: dict[str, dict[End, int]] = field(default_factory=dict)
    worth: float = 0.0
    asked_worth: float = 0.0
    excess: float = 0.0
    most: dict[str, int] = field(default_factory=dict)
    over: int = 0
    happened: list[tuple[float, str]] = field(default_factory=list)
    # Part of the whole rate that all together say they may use at the end. They say it at moments
    # up to a second apart, so a sum a little over 1 breaks nothing: the counts would show that.
    dealt: float = 0.0
    told: dict[str, Any] = field(default_factory=dict)  # what each said of its fleet in the end
    parts: dict[str, float] = field(default_factory=dict)
    datagrams: dict[str, int] = field(default_factory=dict)
    meter: Meter = field(default_factory=Meter)
    began: float = 0.0
    accepted: int = 0
    twice: int = 0


class Rig:
    """One play of one day."""

    def __init__(
        self, day: Day, seed: int, folder: Path, out: Callable[[str], None] = lambda _line: None
    ) -> None:
        self.day = day
        self.rng = Random(seed)
        self.folder = folder
        self.out = out
        self.books = Books()
        self.meter = Meter()
        self.network = Network(Random(self.rng.random()))
        self.servers: dict[str, PlacedServer] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.instances: dict[str, FleetInstance] = {}
        self.callers: dict[str, int] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.outcome = Outcome(day)
        self.began = 0.0
        self.ending = False
        self.asked_at: dict[str, tuple[str, float]] = {}
        self.upheld: dict[str, list[tuple[float, float]]] = {}  # when each was up without a break
        self.up_since: dict[str, float] = {}
        self.stops: dict[str, list[tuple[float, float]]] = {}
        self.numbers: dict[str, int] = {}
        self.codes: dict[str, int] = {}
        self.suspended: set[str] = set()

    def now(self) -> float:
        return time.monotonic()

    def say(self, text: str) -> None:
        at = self.now() - self.began if self.began else 0.0
        self.outcome.happened.append((at, text))
        self.out(f"{at:7.2f} s  {text}")

    # ---- beginning -------------------------------------------------------------------------

    async def start(self) -> None:
        day = self.day
        await self.network.start()
        for link, value in day.link.items():
            self.network.all(**{link: value})
        for n in range(day.servers):
            name = f"s-{n}"
            behaviour = Behaviour(work_s=day.work_s, most_s=WORK_PART * day.deadline_ms / 1000)
            server = PlacedServer(
                name, self.books, Random(self.rng.random()), day.places, behaviour
            )
            await server.start()
            self.servers[name] = server
        ports = {name: free_port() for name in day.instances}
        first = [ports[name] for name in day.instances[: day.homes]]
        leases = ""
        if day.voters:
            rows = ", ".join(f'"{name}"' for name in day.voters)
            leases = f"voters = [{rows}]\nlease_ms = {day.lease_ms}\n"
            leases += "hand_on = true\n" if day.hand_on else ""
        key, other = self.rng.randbytes(32).hex(), self.rng.randbytes(32).hex()
        for name in day.instances:
            self.network.know(name, ports[name])
            for server in self.servers.values():
                relay = Relay(server.port)
                await relay.start()
                self.relays[name, server.name] = relay
            self.instances[name] = FleetInstance(
                name,
                self.folder / name,
                ports[name],
                first,
                other if name in day.strangers else key,
                self.network.port,
                (day.clocks.get(name, 1.0), day.offsets.get(name, 0.0)),
                day.fleet,
                without=day.without,
                called=day.names.get(name, ""),
                leases=leases,
            )
        for link, value in day.link.items():
            self.network.all(**{link: value})
        later = {str(f.words["instance"]) for f in day.faults if f.what == "add"}
        await asyncio.gather(*(self.bring_up(n) for n in day.instances if n not in later))
        if day.voters:
            await asyncio.to_thread(self.tool, "lease", "found", self.instances[day.voters[0]])

    async def bring_up(self, name: str) -> None:
        one = self.instances[name]
        await asyncio.to_thread(one.start)
        await asyncio.to_thread(
            one.provision,
            TENANT,
            [(s.name, self.relays[name, s.name].port) for s in self.servers.values()],
            limits={
                "rate_per_s": self.day.rate,
                "burst": self.day.burst,
                "open": self.day.open,
                "places": self.day.places,
                "connections_per_s": 10_000,
            },
            classes=[
                {
                    "name": kind,
                    "aim_ms": int(self.day.deadline_ms * AIM_PART),
                    "deadline_ms": self.day.deadline_ms,
                    "repeat": repeat,
                    "worth": WORTH[kind],
                }
                for kind, repeat in (("balance", "safe"), ("credit", "never"))
            ],
        )
        self.up_since[name] = self.now()

    def break_up(self, name: str) -> None:
        """It is not up any more: what it served until now counts as one stretch."""
        since = self.up_since.pop(name, None)
        if since is not None:
            self.upheld.setdefault(name, []).append((since, self.now()))

    # ---- load ------------------------------------------------------------------------------

    def call_on(self, name: str, count: int) -> None:
        """So many callers at an instance from now on."""
        before = self.callers.get(name, 0)
        self.callers[name] = count
        for n in range(before, count):
            self.spawn(self.ask(name, n))

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, name: str, number: int) -> None:
        self.numbers[name] = self.numbers.get(name, 0) + 1
        one = self.instances[name]
        rng = Random(f"{self.rng.random()}")
        caller = Caller(
            f"{name}.{self.numbers[name]}",
            0,
            self.books,
            rng,
            timeout_ms=self.day.deadline_ms,
        )
        while not self.ending and number < self.callers.get(name, 0):
            if not one.token or not (one.up or one.stopped):
                await asyncio.sleep(0.05)
                continue
            caller.port = one.service.port
            caller.headers = {
                "Host": f"{TENANT}.example.org",
                "X_Tenant_Id": "",
                "X_Tenant_Key": one.token,
            }
            began = self.now()
            count = caller.count
            end = await caller.ask()
            if caller.count > count and end is not None:
                rid = f"{caller.name}-{caller.count}"
                self.asked_at[rid] = (name, began)
                status = self.books.status.get(rid, 0)
                if end == End.REFUSED and name in self.suspended:
                    status = TURNED_AWAY  # before any limit was looked at
                self.meter.add(Passage(name, began, self.now(), end, status))
            await asyncio.sleep(rng.expovariate(1 / self.day.pause_s))
        caller.drop()

    # ---- faults ----------------------------------------------------------------------------

    async def inject(self, fault: Fault) -> None:
        self.say(str(fault))
        words = fault.words
        name = str(words.get("instance", ""))
        one = self.instances.get(name)
        if fault.what in ("kill", "term", "stop"):
            self.break_up(name)
        if fault.what == "cut":
            self.network.cut(words["from"], words["to"])
        elif fault.what == "cut_one_way":
            self.network.cut(words["from"], words["to"], both=False)
        elif fault.what == "heal":
            self.network.heal()
        elif fault.what in ("loss", "late", "twice"):
            self.network.all(**{fault.what: float(words["part"])})
        elif fault.what == "slow":
            self.network.slow(words["from"], words["to"], float(words["delay"]))
        elif fault.what == "slow_servers":
            for relay in reach(self.relays, name):
                relay.delay_s = float(words["delay"])
        elif fault.what == "reset_servers":
            for relay in reach(self.relays, name):
                relay.reset()
        elif fault.what == "replay":
            self.network.replay()
        elif fault.what == "server_kill":
            # Its ways refuse as it does: taken on and reset, a dial would look like a break.
            self.servers[str(words["server"])].kill()
            for relay in ways_to(self.relays, str(words["server"])):
                relay.close()
        elif fault.what == "server_start":
            await self.servers[str(words["server"])].start()
            for relay in ways_to(self.relays, str(words["server"])):
                await relay.start()
        elif fault.what == "server_work":
            self.servers[str(words["server"])].behaviour.work_s = float(words["work_s"])
        elif fault.what in ("cut_servers", "heal_servers"):
            if fault.what == "cut_servers":
                self.break_up(name)
            for relay in reach(self.relays, name):
                relay.set_cut(fault.what == "cut_servers", self.day.deadline_ms / 1000)
            if fault.what == "heal_servers":
                self.up_since[name] = self.now()
        elif fault.what == "load":
            for other, count in words["callers"].items():
                self.call_on(other, int(count))
        elif one is not None:
            await self.of_life(fault, one)

    async def of_life(self, fault: Fault, one: FleetInstance) -> None:
        if fault.what == "kill":
            await asyncio.to_thread(one.kill)
        elif fault.what in ("start", "start_bare", "add"):
            if fault.what == "start_bare":
                one.wipe()
            self.spawn(self.bring_up(one.name))
        elif fault.what == "term":
            self.codes[one.name] = await asyncio.to_thread(one.term)
        elif fault.what == "stop":
            self.stops.setdefault(one.name, []).append((self.now(), float("inf")))
            one.stop()
        elif fault.what == "go":
            one.go()
            begin, _ = self.stops[one.name][-1]
            self.stops[one.name][-1] = (begin, self.now())
            self.up_since[one.name] = self.now()
        elif fault.what in PART_SIGNALS:
            self.break_up(one.name)
            one.signal_part(str(fault.words["part"]), PART_SIGNALS[fault.what])
            if fault.what != "stop_part":
                self.up_since[one.name] = self.now()
        elif fault.what in ("suspend", "resume"):
            if fault.what == "suspend":
                self.break_up(one.name)
                self.suspended.add(one.name)
            await asyncio.to_thread(
                one.service.operator().must, "POST", f"/v1/tenants/{TENANT}/{fault.what}"
            )
            if fault.what == "resume":
                self.up_since[one.name] = self.now()
                self.spawn(self.resumed(one.name))
        elif fault.what == "disk":
            one.fail_disk(str(fault.words["state"]))
        elif fault.what == "drain":
            await asyncio.to_thread(self.tool, "fleet", "drain", one)

    async def resumed(self, name: str) -> None:
        await asyncio.sleep(1.0)  # what was refused before may be counted after
        self.suspended.discard(name)

    def tool(self, verb: str, what: str, one: FleetInstance) -> None:
        """Until it is done: an instance that has just started may not be ready for it."""
        file = str(one.folder / "service.toml")
        row = [sys.executable, "-B", "-m", "tansywood", verb, what, file]
        end = self.now() + TOOL_S
        while True:
            told = subprocess.run(row, capture_output=True, timeout=TOOL_S, text=True)
            if not told.returncode:
                return
            if self.now() > end:
                raise RuntimeError(f"{verb} {what} at {one.name}: {told.stderr}")
            time.sleep(0.1)

    # ---- the day ---------------------------------------------------------------------------

    async def play(self) -> Outcome:
        try:
            await self.start()
            self.began = self.outcome.began = self.now()
            self.say(f"{len(self.up_since)} instances serve, {len(self.servers)} servers")
            for name, count in self.day.callers.items():
                self.call_on(name, count)
            for fault in self.day.faults:
                await asyncio.sleep(max(self.began + fault.at - self.now(), 0))
                await self.inject(fault)
            last = max((f.at for f in self.day.faults), default=0.0)
            end = max(self.day.seconds, last + self.day.settle_s)
            await asyncio.sleep(max(self.began + end - self.now(), 0))
            await self.look()
            self.ending = True
            await self.calm_down()
            self.judge()
        finally:
            self.ending = True
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for one in self.instances.values():
                with contextlib.suppress(OSError, RuntimeError):
                    await asyncio.to_thread(one.kill)
            for server in self.servers.values():
                server.kill()
            for relay in self.relays.values():
                relay.close()
            self.network.close()
            await asyncio.sleep(0)
        return self.outcome

    async def calm_down(self) -> None:
        """Every request that is out ends; then the instances end in order."""
        end = self.now() + self.day.deadline_ms / 1000 + 3
        while self.tasks and self.now() < end:
            await asyncio.sleep(0.02)
        for name in list(self.up_since):
            self.break_up(name)

        def term(one: FleetInstance) -> None:
            self.codes[one.name] = one.term()

        await asyncio.gather(
            *(asyncio.to_thread(term, one) for one in self.instances.values() if one.up)
        )

    async def look(self) -> None:
        """What the instances say they hold, once all has settled."""
        if not self.day.fleet:
            return
        up = [one for one in self.instances.values() if one.up]
        told = await asyncio.gather(*(asyncio.to_thread(one.status) for one in up))
        for one, status in zip(up, told, strict=True):
            self.outcome.told[one.name] = status
            self.outcome.parts[one.name] = status["shares"][TENANT]["rate_per_s"]
        self.outcome.dealt = sum(self.outcome.parts.values()) / self.day.rate

    # ---- the verdict -----------------------------------------------------------------------

    def excused(self, problem: str) -> bool:
        """A request that met a stopped instance was not answered in time by nobody's fault."""
        rid = problem.split(" ")[0]
        if "no answer in its time" not in problem or rid not in self.asked_at:
            return False
        name, at = self.asked_at[rid]
        patience = self.day.deadline_ms / 1000 + 1
        return any(begin - patience <= at <= end for begin, end in self.stops.get(name, ()))

    def judge(self) -> None:
        day, made = self.day, self.outcome
        made.meter = self.meter
        made.problems = [p for p in self.books.problems() if not self.excused(p)]
        made.twice = sum(e.unsafe and len(e.ran) > 1 for e in self.books.entries.values())
        for server in self.servers.values():
            made.most[server.name] = server.most
            made.over += server.over
            made.accepted += server.accepted
        if made.over:
            made.problems.append(f"{made.over} requests found all {day.places} places taken")
        made.excess = self.meter.excess(day.rate, day.burst)
        # A bucket holds one whole request at least, however small its part.
        if made.excess > len(day.instances):
            made.problems.append(
                f"{made.excess:.0f} requests more than {day.rate:g} a second and {day.burst}"
            )
        for name, stretches in self.upheld.items():
            if not day.callers.get(name):
                continue
            for begin, end in stretches:
                at = max(begin, self.began)
                while at + STARVED_S <= end - 0.5 and self.callers.get(name, 0):
                    if not self.meter.served(name, at, at + STARVED_S):
                        made.problems.append(
                            f"{name} served nobody from {at - self.began:.1f} s to "
                            f"{at + STARVED_S - self.began:.1f} s"
                        )
                    at += STARVED_S
        if day.fleet and made.dealt < BACK_PART:
            made.problems.append(f"only {made.dealt:.2f} of the rate is dealt in the end")
        for name, code in self.codes.items():
            if code:
                made.problems.append(f"{name} ended with {code}")
        for name in day.instances:
            rows = [r for r in self.meter.rows if r.instance == name]
            made.ends[name] = {end: sum(r.end == end for r in rows) for end in End}
        for entry in self.books.entries.values():
            made.asked_worth += WORTH[entry.kind]
            if End.SERVED in entry.ends:
                made.worth += WORTH[entry.kind]
        made.datagrams = dict(self.network.counts)


def play(
    day: Day,
    seed: int,
    folder: Path | None = None,
    out: Callable[[str], None] = lambda _line: None,
) -> Outcome:
    """From the first process to the last one's end, in a folder that is removed after it."""
    if folder is not None:
        return asyncio.run(Rig(day, seed, folder, out).play())
    # A short path: the parts' sockets have a longest one.
    with tempfile.TemporaryDirectory(prefix="tw", dir=os.environ.get("TMPDIR")) as made:
        return asyncio.run(Rig(day, seed, Path(made), out).play())
