"""The four safety rules of a Balancer under random sequences of events.

A CheckingHost plays the host of the Balancer: it delivers outcomes as the sequence asks, and
checks every action. The rules: exactly one answer for each request; nothing new for backends
that drain; no effect that runs twice; no answer after the deadline. Each rule has fixed
examples in test_path.py too.
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
LATE_TOLERANCE_NS = 20 * MS
MAY_HAVE_RUN = {1, 2, 4, 6, 7}  # outcomes after which the request may have run


class CheckingHost(RecordingHost):
    """Checks every action against the rules when the Balancer calls it."""

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
        assert self.rows[backend].state == State.READY, "sent to a backend that is not ready"
        assert timeout > 0
        assert len(tries) < 4
        assert not any(t["code"] == 0 for t in tries), "two copies in flight"
        ran = [t for t in tries if t["code"] in MAY_HAVE_RUN]
        if ran and spec.effect == Effect.SIDE_EFFECT:
            raise AssertionError("a side effect may run twice")
        if ran and spec.effect == Effect.TOKEN:
            first, row = self.rows[ran[0]["backend"]], self.rows[backend]
            assert self.now <= ran[0]["sent"] + spec.retry_window, "retried after the retry window"
            if spec.scope == Scope.ZONE:
                assert first.zone == row.zone, "retried in another zone"
            if spec.scope == Scope.CELL:
                assert first.cell == row.cell, "retried in another cell"
        tries.append({"backend": backend, "sent": self.now, "code": 0, "by": self.now + timeout})

    def refuse(self, request: int, retry_after: int) -> None:
        spec = CLASSES[int(str(self.requests[request]["cls"]))]
        may_have_run = any(t["code"] in MAY_HAVE_RUN or t["code"] == 0 for t in self.tries[request])
        if may_have_run and spec.effect != Effect.PURE:
            assert (
                spec.effect == Effect.TOKEN and spec.scope == Scope.ALL
            ), "refused although it may have run"
        self.close(request)

    def fail(self, request: int) -> None:
        self.close(request)

    def close(self, request: int) -> None:
        assert request not in self.ended, "answered twice"
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
def test_no_sequence_of_events_breaks_a_rule(events: list[tuple[str, int]], tenants: bool) -> None:
    host = CheckingHost()
    tenant_list = (Tenant("a", 0.7, 50.0), Tenant("b", 0.3, 5.0)) if tenants else ()
    balancer = Balancer(Settings(classes=CLASSES, tenants=tenant_list, max_attempts=4), 5, host)
    balancer.start(0)
    balancer.on_backend_list(0, Update.CACHED, list(host.rows.values()))
    for kind, value in [*events, ("drain out", 0)]:
        if kind == "request":
            request_id = len(host.requests)
            left = 100 * MS + value % 800 * MS
            host.requests[request_id] = {"cls": value % len(CLASSES), "by": host.now + left}
            host.tries[request_id] = []
            balancer.on_request(host.now, request_id, value % len(CLASSES), left, value % 2)
        elif kind == "answer":
            out = [
                (r, i)
                for r, tries in host.tries.items()
                for i, t in enumerate(tries)
                if t["code"] == 0
            ]
            if out:
                request_id, i = out[value % len(out)]
                deliver(host, balancer, request_id, i, (1, 1, 2, 3, 5, 6, 4)[value % 7])
        elif kind == "list":
            b = 10 + value % 12
            state = (State.READY, State.DRAINING, State.GONE)[value // 12 % 3]
            if sum(r.state == State.READY for r in host.rows.values()) > 2 or state == 1:
                host.rows[b] = host.rows[b]._replace(state=state)
                balancer.on_backend_list(host.now, Update.DELTA, [host.rows[b]])
        elif kind == "gone" and host.requests:
            request_id = value % len(host.requests)
            if request_id not in host.ended:
                host.ended[request_id] = host.now
                balancer.on_client_gone(host.now, request_id)
        elif kind == "timer":
            balancer.on_timer(host.now, value % 7)
        else:
            advance(host, balancer, host.now + (value % 300 * MS if value else 3 * SECOND))
    for request_id, request in host.requests.items():
        assert request_id in host.ended, "never answered"
        assert (
            host.ended[request_id] <= int(str(request["by"])) + LATE_TOLERANCE_NS
        ), "answered after its deadline"


def deliver(host: CheckingHost, balancer: Balancer, request_id: int, i: int, code: int) -> None:
    """Report the outcome `code` of attempt `i` of a request."""
    attempt = host.tries[request_id][i]
    attempt["code"] = code
    done = request_id in host.ended
    if code == 1 and not done:
        host.ended[request_id] = host.now
        done = True
    balancer.on_outcome(host.now, request_id, i, code, host.now - attempt["sent"], done)


def advance(host: CheckingHost, balancer: Balancer, until: int) -> None:
    """Let time pass until `until`; time-outs and timers come when they are due.

    A request's deadline cuts the time-outs of its attempts.
    """
    while True:
        due: list[tuple[int, int, int, int]] = [(d, 0, t, 0) for d, t in host.timers]
        for request_id, tries in host.tries.items():
            by = int(str(host.requests[request_id]["by"]))
            due += [
                (min(t["by"], by), 1, request_id, i) for i, t in enumerate(tries) if t["code"] == 0
            ]
        due = [d for d in due if d[0] <= until]
        if not due:
            host.now = until
            return
        at, kind, a, i = min(due)
        host.now = max(host.now, at)
        if kind:
            deliver(host, balancer, a, i, 4)
        else:
            host.timers.remove((at, a))
            balancer.on_timer(host.now, a)
