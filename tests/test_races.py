"""Random orders of events from clients, backends, the list of backends and the clock.

After each run the retry rules are checked: no side effect ran twice, every request got exactly
one response, and no attempt began for a client that had left. Clients and backends are played on
the node's event loop. Between two events the loop turns a random number of times, which may be
zero, so that any two events can fall into one turn. A failed check prints the order of events.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flinthatch import Outcome, State, Update, balancer

from .fakes import MS
from .harness import SETTINGS, answer
from .harness import request as build_request
from .race_harness import RaceHarness, ScriptedPeer, race_harness, run_scenario

NEVER_NS = 400 * 1_000_000_000  # no time-out ends by itself: time-outs are events of the test
CLASSES = [c | {"target": NEVER_NS, "deadline": NEVER_NS} for c in SETTINGS["classes"]]
KEYED = CLASSES[1] | {
    "name": "renew",
    "effect": "token",
    "dedup_scope": "zone",
    "repeat_window": NEVER_NS,
}
TURNED_AWAY = answer(b"", "503 Busy", "X-Not-Processed: 1")
BODY = b"for %s"


class ReceivedRequest:
    """A request that has arrived at a backend in full, and what the backend did with it."""

    def __init__(self, request_id: str, peer: ScriptedPeer) -> None:
        self.request_id = request_id
        self.peer = peer
        self.is_done = False
        self.never_ran = False


class Client:
    """A client's connection and the one request that it sent."""

    def __init__(self, request_id: str, path: str, peer: ScriptedPeer) -> None:
        self.request_id = request_id
        self.path = path
        self.peer = peer
        self.has_left = False
        self.half_closed = False


class RandomScenario:
    """The random events of one seed, and what clients and backends observed."""

    def __init__(self, harness: RaceHarness, seed: int) -> None:
        self.harness = harness
        self.rng = Random(seed)
        self.events: list[str] = [f"seed {seed}"]
        self.received: list[ReceivedRequest] = []
        self.clients: list[Client] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.backend_connections: list[ScriptedPeer] = []
        self.known_ids: set[str] = set()  # ids of requests that the node has read
        self.arrivals_at_disconnect: dict[str, int] = {}  # by request id

    def log_event(self, text: str) -> None:
        """Add to the order of events that a failed check prints."""
        self.events.append(text)

    # ---- backends ---------------------------------------------------------

    async def accept_connections(self, number: int) -> None:
        """Accept the node's connections to one backend, and read from each in a task."""
        while True:
            peer = await self.harness.accept_backend(number)
            self.backend_connections.append(peer)
            self.tasks.append(self.harness.loop.create_task(self.read_requests(peer)))

    async def read_requests(self, peer: ScriptedPeer) -> None:
        """Record the requests that arrive on one backend connection."""
        while True:
            try:
                _, headers, _ = await peer.message()
            except (AssertionError, OSError):
                return
            request_id = headers["x-request-id"]
            self.log_event(f"arrives {request_id}")
            self.received.append(ReceivedRequest(request_id, peer))

    def unanswered(self) -> list[ReceivedRequest]:
        """Requests that have arrived at a backend and that it has not handled yet."""
        return [a for a in self.received if not a.is_done]

    def act_as_backend(self, how: str) -> None:
        """Let a backend respond to a random request in this way, or break its connection."""
        waiting = self.unanswered()
        if not waiting:
            return
        received = self.rng.choice(waiting)
        self.log_event(f"{how} {received.request_id}")
        response = answer(BODY % received.request_id.encode())
        try:
            if how == "answer":
                received.peer.send(response)
            elif how == "answer and close":
                received.peer.send(response)
                received.peer.half_close()
            elif how == "answer and reset":
                received.peer.send(response)
                received.peer.reset()
            elif how == "turned away":
                received.peer.send(TURNED_AWAY)
                received.never_ran = True
            elif how == "error":
                received.peer.send(answer(b"", "500 Oops"))
            elif how == "spoilt":
                received.peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n")
            elif how == "half and reset":
                received.peer.send(response[:-2])
                received.peer.reset()
            elif how == "no length and reset":
                received.peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfor")
                received.peer.reset()
            elif how == "end":
                received.peer.half_close()
            else:
                received.peer.reset()
        except OSError:
            pass
        received.is_done = True

    # ---- other events -------------------------------------------------------

    def send_request(self) -> None:
        """Connect a client and let it send a request of a random class."""
        request_id = f"q{len(self.clients)}"
        path = self.rng.choice(["/balance/1", "/credit/1", "/renew/1"])
        self.log_event(f"asks {request_id} {path}")
        body = None if path.startswith("/balance") else b"x"
        data = build_request(path, body, timeout=NEVER_NS // 1_000_000, rid=request_id)
        self.clients.append(Client(request_id, path, self.harness.connect_client(data)))

    def disconnect(self, how: str) -> None:
        """Let a random client close, half-close or reset its connection."""
        staying = [a for a in self.clients if not a.has_left and not a.half_closed]
        if not staying:
            return
        client = self.rng.choice(staying)
        self.log_event(f"{how} {client.request_id}")
        if how == "half-closes":
            client.half_closed = True
            client.peer.half_close()
        else:
            client.has_left = True
            (client.peer.reset if how == "resets" else client.peer.close)()

    def time_out_attempt(self) -> None:
        """Let the time-out of a random attempt expire."""
        node = self.harness.node
        open_attempts = [
            attempt
            for r in node.requests.values()
            for attempt in r.attempts
            if not attempt.concluded
        ]
        if open_attempts:
            attempt = self.rng.choice(open_attempts)
            assert attempt.request is not None
            self.log_event(f"times out {attempt.request.client_request_id.decode()}")
            node.begin_event()
            try:
                node.give_up(attempt, Outcome.TIMEOUT)
            finally:
                node.end_event()

    def toggle_draining(self) -> None:
        """Let the list of backends report that a random one drains, or that it is ready again."""
        backend_list = self.harness.node.discovery.backend_list
        row = backend_list.rows[self.rng.choice(sorted(backend_list.rows))]
        state = State.DRAINING if row.state == State.READY else State.READY
        self.log_event(f"the list says {row.backend % 1000} {state.name}")
        changed = row._replace(state=state)
        stale = backend_list.apply(
            backend_list.revision + 1,
            Update.DELTA,
            [changed],
            {row.backend: backend_list.endpoints[row.backend]},
        )
        self.harness.node.apply_member_update(Update.DELTA, [changed], stale)

    def send_unexpected_bytes(self) -> None:
        """Send part of a status line on an idle backend connection."""
        busy_peers = {a.peer for a in self.unanswered()}
        idle_peers = [
            peer
            for peer in self.backend_connections
            if peer not in busy_peers and peer.sock.fileno() >= 0
        ]
        if idle_peers:
            self.log_event("noise")
            with contextlib.suppress(OSError):
                self.rng.choice(idle_peers).send(b"HTTP/1.")

    def trigger_random_event(self) -> None:
        backend_actions = ["answer"] * 4 + [
            "answer and close",
            "answer and reset",
            "turned away",
            "error",
        ]
        backend_actions += ["spoilt", "half and reset", "no length and reset", "end", "reset"]
        draw = self.rng.randrange(12)
        if draw < 3 and len(self.clients) < 14:
            self.send_request()
        elif draw < 8:
            self.act_as_backend(self.rng.choice(backend_actions))
        elif draw == 8:
            self.disconnect(self.rng.choice(["half-closes", "resets", "closes"]))
        elif draw == 9:
            self.time_out_attempt()
        elif draw == 10:
            self.toggle_draining()
        else:
            self.send_unexpected_bytes()

    def track_disconnected_clients(self) -> None:
        """Note how many attempts may arrive for clients that the node knows to have left.

        These are the attempts that have arrived and those on their way; no other may follow.
        """
        requests = {
            request.client_request_id.decode(): request
            for request in self.harness.node.requests.values()
        }
        self.known_ids |= set(requests)
        for client in self.clients:
            request = requests.get(client.request_id)
            if (
                client.has_left
                and client.request_id in self.known_ids
                and (request is None or request.ended)
            ):
                # Attempts without an outcome may still be on their way to a backend.
                attempts_on_their_way = 0 if request is None else request.unfinished_attempts
                self.arrivals_at_disconnect.setdefault(
                    client.request_id,
                    self.count_arrivals(client.request_id) + attempts_on_their_way,
                )

    def count_arrivals(self, request_id: str) -> int:
        """Number of attempts of a request that have arrived at a backend."""
        return sum(a.request_id == request_id for a in self.received)

    # ---- the checks -----------------------------------------------------------

    async def check_rules(self) -> None:
        """Check the retry rules after all requests have ended."""
        node = self.harness.node
        assert not node.unexpected_error_count, (self.events, self.harness.in_process.log_lines)
        for client in self.clients:
            runs = [
                a for a in self.received if a.request_id == client.request_id and not a.never_ran
            ]
            if client.path.startswith("/credit"):
                assert len(runs) <= 1, ("a side effect ran twice", client.request_id, self.events)
            assert self.count_arrivals(client.request_id) <= 4, (
                "more than four attempts",
                client.request_id,
                self.events,
            )
            if client.request_id in self.arrivals_at_disconnect:
                late_attempts = (
                    self.count_arrivals(client.request_id)
                    - self.arrivals_at_disconnect[client.request_id]
                )
                assert late_attempts <= 0, (
                    "an attempt began for a client that had left",
                    client.request_id,
                    self.events,
                )
            if client.has_left:
                continue
            status_line, _, body = await client.peer.message()
            status = int(status_line.split(" ")[1])
            if status == 200:
                assert body == BODY % client.request_id.encode(), (
                    client.request_id,
                    body,
                    self.events,
                )
            if status in (429, 503) and client.path.startswith("/credit"):
                assert not runs, (
                    "refused a request that may have run",
                    client.request_id,
                    self.events,
                )
            assert not client.peer.buffer, ("a second response", client.request_id, self.events)

    async def play(self, events: int = 60) -> None:
        """Trigger random events, let every request end, and check the rules."""
        tasks = [
            self.harness.loop.create_task(self.accept_connections(n))
            for n in range(len(self.harness.listeners))
        ]
        for _ in range(events):
            self.trigger_random_event()
            for _ in range(self.rng.choice([0, 0, 1, 2, 3, 30])):
                await asyncio.sleep(0)
            self.track_disconnected_clients()
        for _ in range(5_000):
            if (
                not self.harness.node.requests
                and len(self.clients) == self.harness.node.last_request_id
            ):
                break
            await asyncio.sleep(0.001)
            if not self.harness.node.balancer.ready_count or all(
                b.state != State.READY for b in self.harness.node.balancer.backends.values()
            ):
                self.toggle_draining()
            self.act_as_backend("answer")
            if self.rng.random() < 0.05:
                self.time_out_attempt()
        assert not self.harness.node.requests, ("some requests never end", self.events)
        await self.check_rules()
        for task in (*tasks, *self.tasks):
            task.cancel()
        await self.harness.settle()


@pytest.fixture(autouse=True)
def short_ejection_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """Retry ejected backends soon, because the tests wait for them."""
    monkeypatch.setattr(balancer, "EJECTION_BACKOFF_NS", 20 * MS)
    monkeypatch.setattr(balancer, "MAX_EJECTION_BACKOFF_NS", 40 * MS)
    monkeypatch.setattr(balancer, "MAX_REJECTION_PAUSE_NS", 20 * MS)


@pytest.mark.parametrize("seed", range(40))
def test_no_order_of_events_breaks_the_retry_rules(tmp_path: Path, seed: int) -> None:
    with race_harness(tmp_path, servers=3, settings={"classes": [*CLASSES, KEYED]}) as harness:
        run_scenario(harness, RandomScenario(harness, seed).play())


# ---- two events in one turn of the loop -------------------------------------------

PAIRS: list[tuple[str, str]] = [
    (a, b)
    for a in ("answer", "reset", "turned away", "time out", "leave", "half-close", "drain")
    for b in ("answer", "reset", "turned away", "time out", "leave", "half-close", "drain")
    if a != b
]


@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
@pytest.mark.parametrize(("first", "second"), PAIRS, ids=lambda x: str(x).replace(" ", "-"))
def test_two_events_in_one_loop_turn_end_a_request_once(
    tmp_path: Path, first: str, second: str, path: str
) -> None:
    """Each pair of events happens in both orders, with no loop turn in between."""
    with race_harness(tmp_path, servers=2, settings={"classes": CLASSES}) as harness:
        scenario = RandomScenario(harness, 0)

        async def play() -> None:
            tasks = [harness.loop.create_task(scenario.accept_connections(n)) for n in range(2)]
            body = None if "balance" in path else b"x"
            data = build_request(path, body, timeout=NEVER_NS // 1_000_000, rid="q0")
            client = Client("q0", path, harness.connect_client(data))
            scenario.clients.append(client)
            await harness.wait_until(lambda: scenario.received)
            (request,) = harness.node.requests.values()

            def trigger(event: str) -> None:
                scenario.log_event(event)
                actions: dict[str, Any] = {
                    "answer": lambda: scenario.act_as_backend("answer"),
                    "reset": lambda: scenario.act_as_backend("reset"),
                    "turned away": lambda: scenario.act_as_backend("turned away"),
                    "time out": scenario.time_out_attempt,
                    "leave": lambda: scenario.disconnect("closes"),
                    "half-close": lambda: scenario.disconnect("half-closes"),
                    "drain": scenario.toggle_draining,
                }
                actions[event]()

            scenario.rng = Random(1)
            trigger(first)
            scenario.received[0].is_done = False  # its connection can still be written to or broken
            trigger(second)
            for _ in range(4000):
                await asyncio.sleep(0.0005)
                if request.ended and not harness.node.requests:
                    break
                for received in scenario.received[1:]:
                    if not received.is_done:
                        received.peer.send(answer(BODY % received.request_id.encode()))
                        received.is_done = True
                if (
                    client.has_left
                    and not harness.node.open_request_count
                    and not scenario.unanswered()
                ):
                    break
                if {"leave", "drain", "half-close"} >= {first, second}:
                    scenario.received[0].is_done = False
                    scenario.act_as_backend("answer")
            assert not harness.node.open_request_count, scenario.events
            await scenario.check_rules()
            for task in (*tasks, *scenario.tasks):
                task.cancel()
            for open_request in list(harness.node.requests.values()):
                for attempt in open_request.attempts:
                    harness.node.give_up(attempt, Outcome.TIMEOUT)

        run_scenario(harness, play())
