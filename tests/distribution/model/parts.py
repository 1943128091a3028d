"""Terms and bounds of the model, and the cores that it drives."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.distribution.messages import alias_of_host
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Subscriber
from tansywood.distribution.terms import MS, Terms

TERMS = Terms(
    heartbeat=40 * MS,
    silence=160 * MS,
    dial=80 * MS,
    attempt_delay=30 * MS,
    reconnect_first=20 * MS,
    reconnect_most=60 * MS,
    stale=120 * MS,
    stale_again_first=200 * MS,
    stale_again_most=800 * MS,
    window=3,
    batch_bytes=40,
    away=300 * MS,
    question_wait=150 * MS,
    ask_again=30 * MS,
)
STEP = 10 * MS
FAULTY_STEPS = 160
QUIET_STEPS = 110
QUIET_STEPS_LATE = 300  # where clocks jump, or admission keeps somebody waiting
TENANTS = [f"t{n}" for n in range(8)]
WANDERING = [alias_of_host(f"shared{n}.example") for n in range(2)]  # move between tenants
COPIES_MOST = 6
CLOCK_JUMPS = [jump * MS for jump in (-300, -120, -30, 30, 120, 300, 2_000)]
PUBLISHER = "publisher"


class PropertyError(AssertionError):
    """The property does not hold; the text says who, when and what."""


@dataclass(frozen=True, slots=True)
class Parts:
    """The cores that are driven; tests take a defence out of one."""

    replica: type[Replica] = Replica
    source: type[Source] = Source
    subscriber: type[Subscriber] = Subscriber


@dataclass(frozen=True, slots=True)
class Faults:
    """What is drawn beside the faults that every history has, each from a sequence of its own:
    a history without any of these stays what it was."""

    slow_readers: bool = False  # changes to one resource again and again, for who reads slowly
    clock_jumps: bool = False  # forwards and backwards, of any process
    admission: bool = False  # few hellos a second
    late_answers: bool = False  # of dials, so that others are made beside them
