"""Random orders of what clients, servers, the list and the clock do, with the rules as oracle.

Both sides are played on the node's own loop. Between two events the loop turns a drawn number of
times, none among them, so that any two may meet in one turn. What breaks prints its order.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flinthatch import Outcome, State, Update
from flinthatch import balancer as decisions

from .fakes import MS
from .harness import SETTINGS, answer
from .harness import request as any_request
from .race_harness import Crossing, ScriptedPeer, crossing, drive

LONG = 400 * 1_000_000_000  # nothing ends by its own time: the time-outs are events, too
CLASSES = [c | {"target": LONG, "deadline": LONG} for c in SETTINGS["classes"]]
KEYED = CLASSES[1] | {
    "name": "renew",
    "effect": "token",
    "dedup_scope": "zone",
    "repeat_window": LONG,
}
TURNED_AWAY = answer(b"", "503 Busy", "X-Not-Processed: 1")
BODY = b"for %s"


class Arrived:
    """A request whose last byte has come to a server, and what became of it there."""

    def __init__(self, rid: str, end: ScriptedPeer) -> None:
        self.rid = rid
        self.end = end
        self.over = False
        self.never_ran = False


class Asker:
    def __init__(self, rid: str, path: str, end: ScriptedPeer) -> None:
        self.rid = rid
        self.path = path
        self.end = end
        self.left = False
        self.half = False


class Story:
    """One seed's events and what was seen of them."""

    def __init__(self, world: Crossing, seed: int) -> None:
        self.w = world
        self.rng = Random(seed)
        self.order: list[str] = [f"seed {seed}"]
        self.arrived: list[Arrived] = []
        self.askers: list[Asker] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.links: list[ScriptedPeer] = []
        self.known: set[str] = set()  # requests that the node has read
        self.gone_at: dict[str, int] = {}  # arrivals so far as its client was known to be gone

    def note(self, text: str) -> None:
        self.order.append(text)

    # ---- servers ----------------------------------------------------------

    async def accept(self, number: int) -> None:
        while True:
            end = await self.w.server(number)
            self.links.append(end)
            self.tasks.append(self.w.loop.create_task(self.read(end)))

    async def read(self, end: ScriptedPeer) -> None:
        while True:
            try:
                _, headers, _ = await end.message()
            except (AssertionError, OSError):
                return
            rid = headers["x-request-id"]
            self.note(f"arrives {rid}")
            self.arrived.append(Arrived(rid, end))

    def outstanding(self) -> list[Arrived]:
        return [a for a in self.arrived if not a.over]

    def served(self, how: str) -> None:
        """One of the servers says something, or ends."""
        waiting = self.outstanding()
        if not waiting:
            return
        a = self.rng.choice(waiting)
        self.note(f"{how} {a.rid}")
        whole = answer(BODY % a.rid.encode())
        try:
            if how == "answer":
                a.end.send(whole)
            elif how == "answer and close":
                a.end.send(whole)
                a.end.half_close()
            elif how == "answer and reset":
                a.end.send(whole)
                a.end.reset()
            elif how == "turned away":
                a.end.send(TURNED_AWAY)
                a.never_ran = True
            elif how == "error":
                a.end.send(answer(b"", "500 Oops"))
            elif how == "spoilt":
                a.end.send(b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n")
            elif how == "half and reset":
                a.end.send(whole[:-2])
                a.end.reset()
            elif how == "no length and reset":
                a.end.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfor")
                a.end.reset()
            elif how == "end":
                a.end.half_close()
            else:
                a.end.reset()
        except OSError:
            pass
        a.over = True

    # ---- what else happens --------------------------------------------------

    def ask(self) -> None:
        rid = f"q{len(self.askers)}"
        path = self.rng.choice(["/balance/1", "/credit/1", "/renew/1"])
        self.note(f"asks {rid} {path}")
        body = None if path.startswith("/balance") else b"x"
        data = any_request(path, body, timeout=LONG // 1_000_000, rid=rid)
        self.askers.append(Asker(rid, path, self.w.client(data)))

    def leave(self, how: str) -> None:
        staying = [a for a in self.askers if not a.left and not a.half]
        if not staying:
            return
        asker = self.rng.choice(staying)
        self.note(f"{how} {asker.rid}")
        if how == "half-closes":
            asker.half = True
            asker.end.half_close()
        else:
            asker.left = True
            (asker.end.reset if how == "resets" else asker.end.close)()

    def time_out(self) -> None:
        node = self.w.node
        live = [a for r in node.requests.values() for a in r.attempts if not a.concluded]
        if live:
            a = self.rng.choice(live)
            assert a.request is not None
            self.note(f"times out {a.request.client_request_id.decode()}")
            node.begin_event()
            try:
                node.give_up(a, Outcome.TIMEOUT)
            finally:
                node.end_event()

    def list_says(self) -> None:
        """A server drains, or is ready again."""
        roster = self.w.node.discovery.backend_list
        row = roster.rows[self.rng.choice(sorted(roster.rows))]
        state = State.DRAINING if row.state == State.READY else State.READY
        self.note(f"the list says {row.backend % 1000} {state.name}")
        changed = row._replace(state=state)
        stale = roster.apply(
            roster.revision + 1,
            Update.DELTA,
            [changed],
            {row.backend: roster.endpoints[row.backend]},
        )
        self.w.node.apply_member_update(Update.DELTA, [changed], stale)

    def noise(self) -> None:
        """Half a line from a server whose connection is at rest."""
        busy = {a.end for a in self.outstanding()}
        resting = [e for e in self.links if e not in busy and e.sock.fileno() >= 0]
        if resting:
            self.note("noise")
            with contextlib.suppress(OSError):
                self.rng.choice(resting).send(b"HTTP/1.")

    def event(self) -> None:
        ways = ["answer"] * 4 + ["answer and close", "answer and reset", "turned away", "error"]
        ways += ["spoilt", "half and reset", "no length and reset", "end", "reset"]
        kind = self.rng.randrange(12)
        if kind < 3 and len(self.askers) < 14:
            self.ask()
        elif kind < 8:
            self.served(self.rng.choice(ways))
        elif kind == 8:
            self.leave(self.rng.choice(["half-closes", "resets", "closes"]))
        elif kind == 9:
            self.time_out()
        elif kind == 10:
            self.list_says()
        else:
            self.noise()

    def watch_the_gone(self) -> None:
        """Whose client the node knows to be gone: nothing of them may arrive any more that was
        not on its way already."""
        held = {r.client_request_id.decode(): r for r in self.w.node.requests.values()}
        self.known |= set(held)
        for asker in self.askers:
            r = held.get(asker.rid)
            if asker.left and asker.rid in self.known and (r is None or r.ended):
                # What is out may still be on its way there.
                on_its_way = 0 if r is None else r.unfinished_attempts
                self.gone_at.setdefault(asker.rid, self.count(asker.rid) + on_its_way)

    def count(self, rid: str) -> int:
        return sum(a.rid == rid for a in self.arrived)

    # ---- the oracle -----------------------------------------------------------

    async def check(self) -> None:
        node = self.w.node
        assert not node.unexpected_error_count, (self.order, self.w.one.log_lines)
        for asker in self.askers:
            runs = [a for a in self.arrived if a.rid == asker.rid and not a.never_ran]
            if asker.path.startswith("/credit"):
                assert len(runs) <= 1, ("an effect twice", asker.rid, self.order)
            assert self.count(asker.rid) <= 4, ("attempts", asker.rid, self.order)
            if asker.rid in self.gone_at:
                late = self.count(asker.rid) - self.gone_at[asker.rid]
                assert late <= 0, ("begun for one that has gone", asker.rid, self.order)
            if asker.left:
                continue
            first, _, body = await asker.end.message()
            status = int(first.split(" ")[1])
            if status == 200:
                assert body == BODY % asker.rid.encode(), (asker.rid, body, self.order)
            if status in (429, 503) and asker.path.startswith("/credit"):
                assert not runs, ("refused what may have run", asker.rid, self.order)
            assert not asker.end.buffer, ("a second answer", asker.rid, self.order)

    async def play(self, events: int = 60) -> None:
        tasks = [self.w.loop.create_task(self.accept(n)) for n in range(len(self.w.servers))]
        for _ in range(events):
            self.event()
            for _ in range(self.rng.choice([0, 0, 1, 2, 3, 30])):
                await asyncio.sleep(0)
            self.watch_the_gone()
        for _ in range(5_000):
            if not self.w.node.requests and len(self.askers) == self.w.node.last_request_id:
                break
            await asyncio.sleep(0.001)
            if not self.w.node.balancer.ready_count or all(
                b.state != State.READY for b in self.w.node.balancer.backends.values()
            ):
                self.list_says()
            self.served("answer")
            if self.rng.random() < 0.05:
                self.time_out()
        assert not self.w.node.requests, ("never ends", self.order)
        await self.check()
        for task in (*tasks, *self.tasks):
            task.cancel()
        await self.w.settled()


@pytest.fixture(autouse=True)
def short_back_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """A server that is left out is tried again soon: what a test waits for."""
    monkeypatch.setattr(decisions, "EJECTION_BACKOFF_NS", 20 * MS)
    monkeypatch.setattr(decisions, "MAX_EJECTION_BACKOFF_NS", 40 * MS)
    monkeypatch.setattr(decisions, "MAX_REJECTION_PAUSE_NS", 20 * MS)


@pytest.mark.parametrize("seed", range(40))
def test_in_any_order_of_events_the_rules_hold(tmp_path: Path, seed: int) -> None:
    with crossing(tmp_path, servers=3, settings={"classes": [*CLASSES, KEYED]}) as w:
        drive(w, Story(w, seed).play())


# ---- two events in one turn of the loop -------------------------------------------

PAIRS: list[tuple[str, str]] = [
    (a, b)
    for a in ("answer", "reset", "turned away", "time out", "leave", "half-close", "drain")
    for b in ("answer", "reset", "turned away", "time out", "leave", "half-close", "drain")
    if a != b
]


@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
@pytest.mark.parametrize(("first", "second"), PAIRS, ids=lambda x: str(x).replace(" ", "-"))
def test_two_events_in_one_turn_end_a_request_once(
    tmp_path: Path, first: str, second: str, path: str
) -> None:
    """In both orders, with no turn of the loop in between."""
    with crossing(tmp_path, servers=2, settings={"classes": CLASSES}) as w:
        story = Story(w, 0)

        async def play() -> None:
            tasks = [w.loop.create_task(story.accept(n)) for n in range(2)]
            body = None if "balance" in path else b"x"
            data = any_request(path, body, timeout=LONG // 1_000_000, rid="q0")
            asker = Asker("q0", path, w.client(data))
            story.askers.append(asker)
            await w.until(lambda: story.arrived)
            (r,) = w.node.requests.values()

            def happen(what: str) -> None:
                story.note(what)
                acts: dict[str, Any] = {
                    "answer": lambda: story.served("answer"),
                    "reset": lambda: story.served("reset"),
                    "turned away": lambda: story.served("turned away"),
                    "time out": story.time_out,
                    "leave": lambda: story.leave("closes"),
                    "half-close": lambda: story.leave("half-closes"),
                    "drain": story.list_says,
                }
                acts[what]()

            story.rng = Random(1)
            happen(first)
            story.arrived[0].over = False  # its connection still takes what comes
            happen(second)
            for _ in range(4000):
                await asyncio.sleep(0.0005)
                if r.ended and not w.node.requests:
                    break
                for a in story.arrived[1:]:
                    if not a.over:
                        a.end.send(answer(BODY % a.rid.encode()))
                        a.over = True
                if asker.left and not w.node.open_request_count and not story.outstanding():
                    break
                if {"leave", "drain", "half-close"} >= {first, second}:
                    story.arrived[0].over = False
                    story.served("answer")
            assert not w.node.open_request_count, story.order
            await story.check()
            for task in (*tasks, *story.tasks):
                task.cancel()
            for held in list(w.node.requests.values()):
                for attempt in held.attempts:
                    w.node.give_up(attempt, Outcome.TIMEOUT)

        drive(w, play())
