"""New settings for a module at work: a request ends under the stricter of the rules it met."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from flinthatch import (
    Balancer,
    Effect,
    Listing,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    State,
    Update,
)
from flinthatch.reconfigure import RETIRED_PREFIX, reconfigure, refuse_waiting

from .fakes import KEYED, MS, PURE, SECOND, UNSAFE, RecordingHost, build_balancer

SAFE = replace(PURE, name="x")
NEVER = replace(UNSAFE, name="x")
WITH_KEY = replace(KEYED, name="x", retry_window=800 * MS)


def one(spec: RequestClass, count: int = 4) -> tuple[Balancer, RecordingHost]:
    return build_balancer(Settings(classes=(spec,), max_attempts=4), count)


def changed(balancer: Balancer, now: int, *specs: RequestClass) -> dict[str, int]:
    return reconfigure(balancer, now, replace(balancer.settings, classes=specs))


def ask(balancer: Balancer, now: int, request: int, cls: int = 0) -> None:
    balancer.on_request(now, request, cls, 900 * MS)


def sends(host: RecordingHost, request: int) -> int:
    return sum(call[1] == request for call in host.calls_named("send"))


def test_a_class_made_unsafe_while_an_attempt_is_out_gets_no_repeat_and_no_refusal() -> None:
    balancer, host = one(SAFE)
    ask(balancer, 0, 1)
    changed(balancer, MS, NEVER)
    balancer.on_outcome(2 * MS, 1, 0, Outcome.RESET, 2 * MS, False)
    assert sends(host, 1) == 1
    assert host.calls_named("fail") == [("fail", 1)] and not host.calls_named("refuse")


def test_a_class_made_unsafe_while_a_repeat_waits_sends_none() -> None:
    balancer, host = one(SAFE, count=1)
    while balancer.in_flight < balancer.total_slots:
        ask(balancer, 0, 100 + balancer.in_flight)
    first = 100
    balancer.on_outcome(MS, first, 0, Outcome.ERROR, MS, False)  # its repeat may go at once
    waiting = [r for r in balancer.requests.values() if r.queued and r.attempts]
    before = sends(host, first)
    if not waiting:
        # The slot it left took it again: let that one fail too, with the slot taken.
        ask(balancer, MS, 999)
    changed(balancer, 2 * MS, NEVER)
    for r in list(balancer.requests.values()):
        for number, attempt in enumerate(r.attempts):
            if attempt.is_open:
                balancer.on_outcome(3 * MS, r.id, number, Outcome.ERROR, MS, False)
    assert sends(host, first) == before
    assert not any(call[1] == first for call in host.calls_named("refuse"))


def test_a_class_made_safe_leaves_what_was_taken_before_unsafe() -> None:
    balancer, host = one(NEVER)
    ask(balancer, 0, 1)
    numbers = changed(balancer, MS, SAFE)
    balancer.on_outcome(2 * MS, 1, 0, Outcome.RESET, 2 * MS, False)
    assert sends(host, 1) == 1 and host.calls_named("fail") == [("fail", 1)]
    ask(balancer, 3 * MS, 2, numbers["x"])
    balancer.on_outcome(4 * MS, 2, 0, Outcome.RESET, MS, False)
    assert sends(host, 2) == 2


def test_a_rule_that_was_looser_only_for_a_while_binds_those_that_came_before_it() -> None:
    """Keyed, then safe, then never: what came keyed must not be repeated any more."""
    balancer, host = one(WITH_KEY)
    ask(balancer, 0, 1)
    changed(balancer, MS, SAFE)
    changed(balancer, 2 * MS, NEVER)
    balancer.on_outcome(3 * MS, 1, 0, Outcome.RESET, 3 * MS, False)
    assert sends(host, 1) == 1 and host.calls_named("fail") == [("fail", 1)]


def test_a_class_taken_out_ends_what_it_holds_and_is_forgotten() -> None:
    balancer, host = build_balancer(
        Settings(classes=(SAFE, replace(UNSAFE, name="y")), max_attempts=4)
    )
    ask(balancer, 0, 1, 0)
    numbers = changed(balancer, MS, replace(UNSAFE, name="y"))
    assert list(numbers) == ["y"] and len(balancer.classes) == 2
    ask(balancer, 2 * MS, 2, numbers["y"])
    balancer.on_outcome(3 * MS, 1, 0, Outcome.OK, 3 * MS, True)
    numbers = changed(balancer, 4 * MS, replace(UNSAFE, name="y"))
    assert len(balancer.classes) == 1 and numbers == {"y": 0}
    balancer.on_outcome(5 * MS, 2, 0, Outcome.OK, 3 * MS, True)
    assert balancer.in_flight == 0 and balancer.classes[0].in_flight == 0
    assert not balancer.requests


def test_what_waits_in_a_class_that_is_taken_out_is_still_served() -> None:
    balancer, host = one(SAFE, count=1)
    ids = range(1, balancer.total_slots + 3)
    for request in ids:
        ask(balancer, 0, request)
    assert balancer.waiting == 2
    changed(balancer, MS, replace(UNSAFE, name="y"))
    for request in range(1, balancer.total_slots + 1):
        balancer.on_outcome(2 * MS, request, 0, Outcome.OK, 2 * MS, True)
    assert all(sends(host, request) == 1 for request in ids) and not balancer.waiting


def test_what_was_learnt_of_a_class_goes_over_to_the_one_that_takes_its_place() -> None:
    balancer, _ = one(NEVER)
    for request in range(40):
        now = request * 10 * MS
        ask(balancer, now, request)
        balancer.on_outcome(now + 7 * MS, request, 0, Outcome.OK, 7 * MS, True)
    ask(balancer, SECOND, 99)
    lat = balancer.classes[0].mean_latency
    numbers = changed(balancer, SECOND, SAFE)
    assert numbers["x"] == 1 and balancer.classes[1].mean_latency == lat


def test_what_waits_is_answered_at_once_where_a_tenant_is_stopped() -> None:
    balancer, host = one(NEVER, count=1)
    total = balancer.total_slots
    for request in range(total + 3):
        ask(balancer, 0, request)
    assert refuse_waiting(balancer, MS) == 3
    assert len(host.calls_named("refuse")) == 3 and not balancer.waiting
    for request in range(total):
        balancer.on_outcome(2 * MS, request, 0, Outcome.OK, 2 * MS, True)
    assert balancer.in_flight == 0 and not balancer.requests


@pytest.mark.parametrize("name", ["node", "balancers", "zones", "ask"])
def test_what_is_of_a_start_only_is_refused(name: str) -> None:
    balancer, _ = one(SAFE)
    given: Any = {name: True if name == "ask" else 7}
    with pytest.raises(ValueError, match=name):
        reconfigure(balancer, 0, replace(balancer.settings, **given))


# ---- any sequence of changes and requests ---------------------------------------------------

NAMES = ("a", "b", "c")
EFFECTS = (Effect.PURE, Effect.TOKEN, Effect.SIDE_EFFECT)


def a_class(rng: Random, name: str) -> RequestClass:
    effect = rng.choice(EFFECTS)
    return RequestClass(
        name,
        rng.choice((100, 200, 400)) * MS,
        rng.choice((500, 1000)) * MS,
        effect,
        Scope.ALL,
        rng.choice((20, 300)) * MS if effect == Effect.TOKEN else 0,
        rng.choice((1.0, 5.0)),
    )


class Watcher(RecordingHost):
    """The callers and servers of a run: every rule that a request met, held against each act."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.met: dict[int, list[RequestClass]] = {}  # of a request: its rules, in their order
        self.out: dict[tuple[int, int], int] = {}  # attempts: when sent
        self.sent: dict[int, int] = {}
        self.first_run: dict[int, int] = {}  # when the first attempt that ran was sent
        self.ended: dict[int, str] = {}
        self.gone: set[int] = set()  # servers that may get nothing new

    def send(self, request: int, backend: int, timeout: int) -> None:
        rules = self.met[request]
        assert request not in self.ended, "sent after its end"
        assert backend not in self.gone, "sent to a server that drains"
        number = self.sent.get(request, 0)
        if request in self.first_run:
            for rule in rules:
                assert rule.effect != Effect.SIDE_EFFECT, "an unsafe request was repeated"
                if rule.effect == Effect.TOKEN:
                    assert self.now < self.first_run[request] + rule.retry_window, "past its window"
        self.sent[request] = number + 1
        assert self.sent[request] <= 4
        self.out[request, number] = self.now

    def _end(self, request: int, how: str) -> None:
        assert request not in self.ended, "answered twice"
        self.ended[request] = how

    def refuse(self, request: int, retry_after: int) -> None:
        self._end(request, "refused")
        rules = self.met[request]
        live = any(key[0] == request for key in self.out)
        if any(rule.effect == Effect.SIDE_EFFECT for rule in rules):
            assert request not in self.first_run and not live, "refused and may have run"

    def fail(self, request: int) -> None:
        self._end(request, "failed")


@pytest.mark.parametrize("seed", range(25))
def test_any_sequence_of_changes_and_requests_keeps_the_rules(seed: int) -> None:
    rng = Random(seed)
    host = Watcher()
    classes = {name: a_class(rng, name) for name in NAMES[:2]}
    settings = Settings(classes=tuple(classes.values()), max_attempts=4, slow_start=SECOND)
    balancer = Balancer(settings, seed, host)
    balancer.start(0)
    servers = {100 + i: State.READY for i in range(3)}
    balancer.on_backend_list(0, Update.CACHED, [Listing(b, s) for b, s in servers.items()])
    numbers = {name: i for i, name in enumerate(classes)}
    rid = now = 0
    live: dict[int, str] = {}
    for _ in range(1500):
        now += rng.randrange(1, 8) * MS
        host.now = now
        step = rng.random()
        if step < 0.45:
            rid += 1
            name = rng.choice(list(numbers))
            host.met[rid] = [classes[name]]
            live[rid] = name
            balancer.on_request(now, rid, numbers[name], classes[name].deadline)
        elif step < 0.85 and host.out:
            key = rng.choice(list(host.out))
            sent = host.out.pop(key)
            outcome = rng.choice(list(Outcome))
            if outcome == Outcome.OK:
                if key[0] not in host.ended:
                    host.ended[key[0]] = "served"
            elif outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
                host.first_run.setdefault(key[0], sent)
            done = key[0] in host.ended
            balancer.on_outcome(now, key[0], key[1], outcome, now - sent, done)
        elif step < 0.9:
            due = [call for call in host.calls if call[0] == "timer" and int(str(call[2])) <= now]
            for call in due:
                host.calls.remove(call)
                balancer.on_timer(now, int(str(call[1])))
        elif step < 0.95:
            # A class changed, taken out or brought back.
            name = rng.choice(NAMES)
            if name in classes and len(classes) > 1 and rng.random() < 0.3:
                del classes[name]
            else:
                classes[name] = a_class(rng, name)
            new = replace(
                balancer.settings,
                classes=tuple(classes.values()),
                max_attempts=rng.randrange(1, 5),
            )
            for request, of in live.items():
                if of in classes and request not in host.ended:
                    host.met[request].append(classes[of])
            numbers = reconfigure(balancer, now, new)
            assert sorted(numbers) == sorted(classes)
        elif step < 0.98:
            backend = rng.choice(list(servers))
            state = rng.choice((State.READY, State.DRAINING))
            if state == State.READY or list(servers.values()).count(State.READY) > 1:
                servers[backend] = state
                host.gone = {b for b, s in servers.items() if s != State.READY}
                rows = [Listing(b, s) for b, s in servers.items()]
                balancer.on_backend_list(now, Update.FULL, rows)
        else:
            refuse_waiting(balancer, now)
        held = [b.in_flight for b in balancer.backends.values()]
        assert sum(held) == balancer.in_flight == len(host.out)
    # Everything comes to its end: outcomes, then time.
    for key, sent in list(host.out.items()):
        host.out.pop(key)
        host.first_run.setdefault(key[0], sent)
        balancer.on_outcome(now, key[0], key[1], Outcome.RESET, now - sent, key[0] in host.ended)
    for _ in range(400):
        now += 50 * MS
        host.now = now
        for key, sent in list(host.out.items()):
            host.out.pop(key)
            host.first_run.setdefault(key[0], sent)
            done = key[0] in host.ended
            balancer.on_outcome(now, key[0], key[1], Outcome.RESET, now - sent, done)
        for token in (1, 2):
            balancer.on_timer(now, token)
    assert set(host.ended) == set(live), "each request has one answer"
    assert not balancer.requests and not balancer.in_flight and not balancer.waiting
    assert len(balancer.classes) <= len(classes) + 4
    reconfigure(balancer, now, replace(balancer.settings, classes=tuple(classes.values())))
    assert not any(c.spec.name.startswith(RETIRED_PREFIX) for c in balancer.classes)
