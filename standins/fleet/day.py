"""A day as a file (TOML): topology, load, and faults on a time line. Or drawn by seed."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

DAYS = Path(__file__).parent / "days"
FAULTS: dict[str, tuple[str, ...]] = {
    # what: the words it needs
    "kill": ("instance",),  # SIGKILL of every process of it
    "start": ("instance",),  # again, with its disk
    "start_bare": ("instance",),  # again, without its disk
    "add": ("instance",),  # one that was not there
    "term": ("instance",),  # an orderly end
    "stop": ("instance",),  # SIGSTOP of every process of it
    "go": ("instance",),  # SIGCONT
    "kill_part": ("instance", "part"),
    "stop_part": ("instance", "part"),  # SIGSTOP of one process alone
    "go_part": ("instance", "part"),
    "cut": ("from", "to"),  # lists of instances, both ways
    "cut_one_way": ("from", "to"),
    "heal": (),
    "loss": ("part",),
    "late": ("part",),
    "twice": ("part",),
    "replay": (),
    "server_kill": ("server",),
    "server_start": ("server",),
    "server_work": ("server", "work_s"),  # mean seconds of its work from now on
    "suspend": ("instance",),  # the tenant, through that instance's administration
    "resume": ("instance",),
    "cut_servers": ("instance",),  # its ways to all servers: its network card
    "heal_servers": ("instance",),
    "drain": ("instance",),
    "slow": ("from", "to", "delay"),  # seconds on the links, both ways
    "slow_servers": ("instance", "delay"),
    "reset_servers": ("instance",),  # every connection it has to any
    "disk": ("instance", "state"),  # full, broken, "slow S", or "" for sound
    "load": ("callers",),  # by instance
}


class DayError(ValueError):
    """A day that can't be played: which file, which place, and what to write there."""


@dataclass(frozen=True, slots=True)
class Fault:
    at: float  # seconds from the beginning of the load
    what: str
    words: Mapping[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        return " ".join([self.what, *(f"{k}={v}" for k, v in self.words.items())])


@dataclass(frozen=True, slots=True)
class Day:
    """What is played. Rates a second, times in seconds."""

    name: str
    seconds: float
    instances: tuple[str, ...]
    homes: int
    servers: int
    places: int
    rate: float
    burst: int
    open: int
    work_s: float
    callers: Mapping[str, int]  # by instance
    pause_s: float  # of a caller, between an answer and its next request
    faults: tuple[Fault, ...] = ()
    clocks: Mapping[str, float] = field(default_factory=dict)  # rates of the fleet's clocks
    offsets: Mapping[str, float] = field(default_factory=dict)  # of wall clocks
    names: Mapping[str, str] = field(default_factory=dict)  # what one calls itself, where not so
    strangers: tuple[str, ...] = ()  # instances with another key
    without: str = ""  # defences that are taken out, see `inject`
    link: Mapping[str, float] = field(default_factory=dict)
    settle_s: float = 4.0  # after the last fault, by when parts are where they belong
    fleet: bool = True  # false: every instance takes the whole for its own
    deadline_ms: int = 2000
    voters: tuple[str, ...] = ()  # instances that grant leases
    lease_ms: int = 1000
    hand_on: bool = False  # a home that is away hands its slice on, under a lease


def load(path: str) -> Day:
    """A day's file, or the name of a standard one. DayError."""
    file = Path(path) if path.endswith(".toml") else DAYS / f"{path}.toml"
    try:
        raw = tomllib.loads(file.read_text())
    except OSError as err:
        names = ", ".join(sorted(p.stem for p in DAYS.glob("*.toml")))
        raise DayError(f"{file}: can't be read: {err.strerror}; standard days: {names}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise DayError(f"{file}: is not TOML: {err}") from None
    return read(raw, str(file))


def read(raw: Mapping[str, Any], file: str) -> Day:
    """A day of a file's words; DayError names the place."""
    known = {
        "seconds", "instances", "homes", "servers", "places", "rate", "burst", "open", "work_s",
        "callers", "pause_s", "faults", "clocks", "link", "settle_s", "deadline_ms", "fleet",
        "offsets", "without", "names", "strangers", "voters", "lease_ms", "hand_on",
    }  # fmt: skip
    for key in raw:
        if key not in known:
            raise DayError(f"{file}: {key}: is not known; one of {', '.join(sorted(known))}")
    try:
        names = tuple(str(n) for n in raw["instances"])
        faults = tuple(_fault(row, i, file, names) for i, row in enumerate(raw.get("faults", ())))
        day = Day(
            name=Path(file).stem,
            seconds=float(raw["seconds"]),
            instances=names,
            homes=int(raw.get("homes", min(3, len(names)))),
            servers=int(raw["servers"]),
            places=int(raw.get("places", 0)),
            rate=float(raw["rate"]),
            burst=int(raw["burst"]),
            open=int(raw.get("open", 400)),
            work_s=float(raw.get("work_s", 0.01)),
            callers={str(k): int(v) for k, v in raw["callers"].items()},
            pause_s=float(raw.get("pause_s", 0.05)),
            faults=tuple(sorted(faults, key=lambda f: f.at)),
            clocks={str(k): float(v) for k, v in raw.get("clocks", {}).items()},
            offsets={str(k): float(v) for k, v in raw.get("offsets", {}).items()},
            names={str(k): str(v) for k, v in raw.get("names", {}).items()},
            strangers=tuple(str(n) for n in raw.get("strangers", ())),
            without=str(raw.get("without", "")),
            link={str(k): float(v) for k, v in raw.get("link", {}).items()},
            settle_s=float(raw.get("settle_s", 4.0)),
            deadline_ms=int(raw.get("deadline_ms", 2000)),
            fleet=bool(raw.get("fleet", True)),
            voters=tuple(str(n) for n in raw.get("voters", ())),
            lease_ms=int(raw.get("lease_ms", 1000)),
            hand_on=bool(raw.get("hand_on", False)),
        )
    except KeyError as err:
        raise DayError(f"{file}: {err.args[0]}: is missing") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise DayError(f"{file}: {err}") from None
    if not 1 <= day.homes <= len(names):
        raise DayError(f"{file}: homes: {day.homes} of {len(names)} instances; 1 to {len(names)}")
    for table, what in (
        (day.callers, "callers"),
        (day.clocks, "clocks"),
        (day.offsets, "offsets"),
        (day.names, "names"),
        (day.strangers, "strangers"),
        (day.voters, "voters"),
    ):
        for name in table:
            if name not in names:
                raise DayError(f"{file}: {what}.{name}: is no instance; {', '.join(names)}")
    return day


def _fault(row: Any, i: int, file: str, names: tuple[str, ...]) -> Fault:
    place = f"{file}: faults[{i}]"
    if not isinstance(row, dict) or "at" not in row or "what" not in row:
        raise DayError(f"{place}: needs at and what")
    words = {k: v for k, v in row.items() if k not in ("at", "what")}
    what = str(row["what"])
    if what not in FAULTS:
        raise DayError(f"{place}.what: {what!r} is not known; one of {', '.join(sorted(FAULTS))}")
    if set(words) != set(FAULTS[what]):
        needed = ", ".join(FAULTS[what]) or "nothing more"
        raise DayError(f"{place}: {what} needs {needed}")
    for key in ("instance", "from", "to"):
        listed = words.get(key, [])
        for name in listed if isinstance(listed, list) else [listed]:
            if name not in names:
                raise DayError(f"{place}.{key}: {name!r} is no instance; {', '.join(names)}")
    return Fault(float(row["at"]), what, words)


def drawn(seed: int, instances: int = 5, seconds: float = 30.0) -> Day:
    """A day of its own: some faults of every kind, each with its end, and a while without."""
    rng = Random(seed)
    names = tuple(f"i{n}" for n in range(instances))
    faults: list[Fault] = []
    at = 5.0
    while at < seconds - 12.0:
        span = rng.uniform(1.0, 5.0)
        one = rng.choice(names)
        kind = rng.choice(("stop", "kill", "bare", "part", "split", "one_way", "lossy", "server"))
        if kind == "stop":
            faults += [
                Fault(at, "stop", {"instance": one}),
                Fault(at + span, "go", {"instance": one}),
            ]
        elif kind in ("kill", "bare"):
            again = "start" if kind == "kill" else "start_bare"
            faults += [
                Fault(at, "kill", {"instance": one}),
                Fault(at + span, again, {"instance": one}),
            ]
        elif kind == "part":
            part = rng.choice(("fleet", "worker-0", "door", "admin"))
            faults.append(Fault(at, "kill_part", {"instance": one, "part": part}))
        elif kind in ("split", "one_way"):
            some = rng.sample(names, rng.randint(1, instances - 1))
            rest = [n for n in names if n not in some]
            what = "cut" if kind == "split" else "cut_one_way"
            faults += [Fault(at, what, {"from": some, "to": rest}), Fault(at + span, "heal")]
        elif kind == "lossy":
            word = rng.choice(("loss", "late", "twice"))
            faults += [
                Fault(at, word, {"part": rng.uniform(0.05, 0.4)}),
                Fault(at + span, word, {"part": 0.0}),
            ]
        else:
            server = f"s-{rng.randrange(4)}"
            faults += [
                Fault(at, "server_kill", {"server": server}),
                Fault(at + span, "server_start", {"server": server}),
            ]
        if rng.random() < 0.3:
            faults.append(Fault(at + span, "replay"))
        at += span + rng.uniform(0.5, 2.0)
    return Day(
        name=f"drawn-{seed}",
        seconds=seconds,
        instances=names,
        homes=3,
        servers=4,
        places=rng.randint(3, 12),
        rate=rng.uniform(100, 250),
        burst=rng.randint(20, 60),
        open=200,
        work_s=0.008,
        callers={n: rng.choice((1, 3, 8)) for n in names},
        pause_s=0.05,
        faults=tuple(sorted(faults, key=lambda f: f.at)),
    )
