"""Terms and bounds of the model, and the cores that it drives."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.distribution.messages import alias_of_host
from tansywood.distribution.parameters import MS, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Subscriber

PARAMETERS = Parameters(
    heartbeat_interval_ns=40 * MS,
    silence_timeout_ns=160 * MS,
    dial_timeout_ns=80 * MS,
    attempt_delay_ns=30 * MS,
    reconnect_backoff_base_ns=20 * MS,
    max_reconnect_backoff_ns=60 * MS,
    stale_after_ns=120 * MS,
    stale_check_backoff_base_ns=200 * MS,
    max_stale_check_backoff_ns=800 * MS,
    max_resumable_changes=3,
    max_batch_bytes=40,
    departed_retention_ns=300 * MS,
    lookup_timeout_ns=150 * MS,
    lookup_retry_delay_ns=30 * MS,
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
