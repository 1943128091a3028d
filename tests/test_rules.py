"""The four rules over random event sequences, checked from outside.

The World plays a host that answers as it likes within the wire's rules and
judges every action. Each rule has fixed examples in test_path.py too.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from flinthatch import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)

from .fakes import MS, SECOND, RecordingHost

CLASSES = (
    RequestClass("pure", 200 * MS, 900 * MS, Effect.PURE),
    RequestClass(
        "unsafe", 200 * MS, 900 * MS, Effect.SIDE_EFFECT, retry_window=SECOND, late_value=0.3
    ),
    RequestClass("all", 200 * MS, 900 * MS, Effect.TOKEN, Scope.ALL, 60 * MS),
    RequestClass("zone", 200 * MS, 900 * MS, Effect.TOKEN, Scope.ZONE, 60 * MS),
    RequestClass("cell", 200 * MS, 900 * MS, Effect.TOKEN, Scope.CELL, 60 * MS),
)
SLACK = 20 * MS
RAN = {1, 2, 4, 6, 7}


class World(RecordingHost):
    """Judges actions as they come."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.requests: dict[int, dict[str, object]] = {}
        self.tries: dict[int, list[dict[str, int]]] = {}
        self.ended: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.rows = {b: Listing(b, State.READY, zone=b % 2, cell=b % 4) for b in range(10, 22)}

    def set_timer(self, token: int, due: int) -> None:
        self.timers.append((due, token))

    def send(self, request: int, backend: int, timeout: int) -> None:
        spec = CLASSES[int(str(self.requests[request]["cls"]))]
        tries = self.tries[request]
        assert request not in self.ended
        assert self.rows[backend].state == State.READY, "drain"
        assert timeout > 0
        assert len(tries) < 4
        assert not any(t["code"] == 0 for t in tries), "two copies out"
        ran = [t for t in tries if t["code"] in RAN]
        if ran and spec.effect == Effect.SIDE_EFFECT:
            raise AssertionError("effect twice")
        if ran and spec.effect == Effect.TOKEN:
            first, row = self.rows[ran[0]["backend"]], self.rows[backend]
            assert self.now <= ran[0]["sent"] + spec.retry_window, "window"
            if spec.scope == Scope.ZONE:
                assert first.zone == row.zone, "group"
            if spec.scope == Scope.CELL:
                assert first.cell == row.cell, "group"
        tries.append({"backend": backend, "sent": self.now, "code": 0, "by": self.now + timeout})

    def refuse(self, request: int, retry_after: int) -> None:
        spec = CLASSES[int(str(self.requests[request]["cls"]))]
        may_have_run = any(t["code"] in RAN or t["code"] == 0 for t in self.tries[request])
        if may_have_run and spec.effect != Effect.PURE:
            assert spec.effect == Effect.TOKEN and spec.scope == Scope.ALL, "harmful refusal"
        self.close(request)

    def fail(self, request: int) -> None:
        self.close(request)

    def close(self, request: int) -> None:
        assert request not in self.ended, "two answers"
        self.ended[request] = self.now


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["request", "request", "answer", "answer", "wait", "list", "gone", "timer"]
        ),
        st.integers(0, 1_000_000),
    ),
    min_size=20,
    max_size=150,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(EVENTS, st.booleans())
def test_rules_hold(events: list[tuple[str, int]], tenants: bool) -> None:
    world = World()
    realms = (Tenant("a", 0.7, 50.0), Tenant("b", 0.3, 5.0)) if tenants else ()
    balancer = Balancer(Settings(classes=CLASSES, tenants=realms, max_attempts=4), 5, world)
    balancer.start(0)
    balancer.on_backend_list(0, Update.CACHED, list(world.rows.values()))
    for kind, value in [*events, ("drain out", 0)]:
        if kind == "request":
            rid = len(world.requests)
            left = 100 * MS + value % 800 * MS
            world.requests[rid] = {"cls": value % len(CLASSES), "by": world.now + left}
            world.tries[rid] = []
            balancer.on_request(world.now, rid, value % len(CLASSES), left, value % 2)
        elif kind == "answer":
            out = [
                (r, i)
                for r, tries in world.tries.items()
                for i, t in enumerate(tries)
                if t["code"] == 0
            ]
            if out:
                rid, i = out[value % len(out)]
                deliver(world, balancer, rid, i, (1, 1, 2, 3, 5, 6, 4)[value % 7])
        elif kind == "list":
            b = 10 + value % 12
            state = (State.READY, State.DRAINING, State.GONE)[value // 12 % 3]
            if sum(r.state == State.READY for r in world.rows.values()) > 2 or state == 1:
                world.rows[b] = world.rows[b]._replace(state=state)
                balancer.on_backend_list(world.now, Update.DELTA, [world.rows[b]])
        elif kind == "gone" and world.requests:
            rid = value % len(world.requests)
            if rid not in world.ended:
                world.ended[rid] = world.now
                balancer.on_client_gone(world.now, rid)
        elif kind == "timer":
            balancer.on_timer(world.now, value % 7)
        else:
            advance(world, balancer, world.now + (value % 300 * MS if value else 3 * SECOND))
    for rid, request in world.requests.items():
        assert rid in world.ended, "lost"
        assert world.ended[rid] <= int(str(request["by"])) + SLACK, "late answer"


def deliver(world: World, balancer: Balancer, rid: int, i: int, code: int) -> None:
    attempt = world.tries[rid][i]
    attempt["code"] = code
    done = rid in world.ended
    if code == 1 and not done:
        world.ended[rid] = world.now
        done = True
    balancer.on_outcome(world.now, rid, i, code, world.now - attempt["sent"], done)


def advance(world: World, balancer: Balancer, until: int) -> None:
    """Time-outs (cut to the deadline) and timers come when they are due."""
    while True:
        due: list[tuple[int, int, int, int]] = [(d, 0, t, 0) for d, t in world.timers]
        for rid, tries in world.tries.items():
            by = int(str(world.requests[rid]["by"]))
            due += [(min(t["by"], by), 1, rid, i) for i, t in enumerate(tries) if t["code"] == 0]
        due = [d for d in due if d[0] <= until]
        if not due:
            world.now = until
            return
        at, kind, a, i = min(due)
        world.now = max(world.now, at)
        if kind:
            deliver(world, balancer, a, i, 4)
        else:
            world.timers.remove((at, a))
            balancer.on_timer(world.now, a)
