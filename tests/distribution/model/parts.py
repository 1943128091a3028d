"""Parameters and bounds of the model, and the production classes that it runs."""

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
QUIET_STEPS_LATE = 300  # if clocks jump or admission delays subscribers
TENANTS = [f"t{n}" for n in range(8)]
# Aliases that move between tenants.
MOVING_ALIASES = [alias_of_host(f"shared{n}.example") for n in range(2)]
MAX_COPIES = 6
CLOCK_JUMPS = [jump * MS for jump in (-300, -120, -30, 30, 120, 300, 2_000)]
PUBLISHER = "publisher"


class PropertyError(AssertionError):
    """The property does not hold; the text names the process, the step and the violation."""


@dataclass(frozen=True, slots=True)
class Parts:
    """The classes that the model runs; tests replace one by a class without a safeguard."""

    replica: type[Replica] = Replica
    source: type[Source] = Source
    subscriber: type[Subscriber] = Subscriber


@dataclass(frozen=True, slots=True)
class Faults:
    """Optional faults, in addition to those of every history. Each is drawn from its own random
    sequence, so that it does not change the other events of the same seed."""

    slow_readers: bool = False  # repeated changes while subscribers read slowly
    clock_jumps: bool = False  # clocks of any process jump forwards or backwards
    admission: bool = False  # sources admit only a few sessions per second
    late_answers: bool = False  # dials are answered late, so that others run in parallel
