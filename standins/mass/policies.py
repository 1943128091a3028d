"""What the module is measured against, with the events of a Balancer.

`Blind` is the plainest: a random server that the list calls ready, one attempt, no limit.
`Seeing` sees the true state of every server at each moment and holds what finds no place
until one is free; no real node can, so what it reaches is a top, as far as one greedy rule
finds it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

from flinthatch import Actions, Effect, Listing, Outcome, Settings, State, Update
from standins.mass.clock import MS

if TYPE_CHECKING:
    from standins.mass.fleet import Fleet, Policy
    from standins.mass.servers import Server

WAKE = 1
LOOK = 3 * MS  # how often what waits is looked at again
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Blind:
    """Random choice, no second attempt."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.random = Random(seed)
        self.ready: dict[int, int] = {}

    def start(self, now: int) -> None:
        self.actions.watch()

    def on_backend_list(self, now: int, update: Update, rows: Sequence[Listing] = ()) -> None:
        if update in (Update.FULL, Update.CACHED):
            self.ready = {}
        for row in rows:
            if row.state == State.READY:
                self.ready[row.backend] = row.zone
            else:
                self.ready.pop(row.backend, None)
        if update == Update.FAILED:
            self.actions.set_timer(WAKE, now + 1000 * MS + self.random.randrange(1000 * MS))

    def on_request(
        self, now: int, request: int, cls: int, time_left: int, tenant: int = 0, key: int = 0,
        hint: int = 0, client_retry: bool = False, read_delay: int = 0,
    ) -> None:  # fmt: skip
        if self.ready:
            backend = self.random.choice(sorted(self.ready))
            self.actions.send(request, backend, time_left)
        else:
            self.actions.refuse(request, 0)

    def on_outcome(
        self, now: int, request: int, attempt: int, outcome: int, duration: int, answered: bool,
        load: Sequence[float] = (),
    ) -> None:  # fmt: skip
        if not answered:
            if outcome in NEVER_RAN:
                self.actions.refuse(request, 0)
            else:
                self.actions.fail(request)

    def on_client_gone(self, now: int, request: int) -> None:
        pass

    def on_client_half_closed(self, now: int, request: int) -> None:
        """It goes on: what it serves then is nobody's."""

    def may_start_attempt(self, now: int, request: int, attempt: int) -> bool:
        return True

    def on_timer(self, now: int, token: int) -> None:
        self.actions.watch()


class Wish:
    """A request that the seeing policy holds or has out."""

    __slots__ = ("aim_at", "cls", "give_up", "id", "ran", "tries")

    def __init__(self, rid: int, cls: int, aim_at: int, give_up: int) -> None:
        self.id = rid
        self.cls = cls
        self.aim_at = aim_at
        self.give_up = give_up
        self.tries = 0
        self.ran = False


class Seeing(Blind):
    """The server with least work in hand that has a place, true at this moment."""

    def __init__(self, settings: Settings, seed: int, actions: Actions, fleet: Fleet, me: int):
        super().__init__(settings, seed, actions)
        self.fleet = fleet
        self.host = fleet.hosts[me]
        self.waiting: deque[Wish] = deque()
        self.out: dict[int, Wish] = {}
        self.looking = False

    def best(self) -> Server | None:
        zone = self.settings.zone
        best: Server | None = None
        least = 0.0
        for server in self.fleet.servers:
            if server.state != "ready" or server.dead or server.fallen:
                continue
            out = self.fleet.out_at[server.number]  # those on their way too
            if out >= server.build.cores + server.build.room:
                continue
            if not self.fleet.reaches(zone, server):
                continue
            if not self.host.idle.get(server.number) and (server.open >= server.build.connections):
                continue
            if server.number not in self.ready:
                continue
            if out and server.warmth(self.fleet.clock.now) < 0.9:
                continue
            cost = (server.left() + out * MS) / max(server.rate(self.fleet.clock.now), 0.01)
            cost += 0.0 if server.zone == zone else 8.0 * self.fleet.day.cross
            if best is None or cost < least:
                best, least = server, cost
        return best

    def on_request(
        self, now: int, request: int, cls: int, time_left: int, tenant: int = 0, key: int = 0,
        hint: int = 0, client_retry: bool = False, read_delay: int = 0,
    ) -> None:  # fmt: skip
        aim_at = now + min(self.settings.classes[cls].latency_target, time_left)
        wish = Wish(request, cls, aim_at, now + time_left)
        self.out[request] = wish
        self.waiting.append(wish)
        self.go(now)

    def go(self, now: int) -> None:
        while self.waiting:
            wish = self.waiting[0]
            if wish.id not in self.out:
                self.waiting.popleft()
                continue
            if now > wish.aim_at - self.settings.classes[wish.cls].latency_target // 8:
                self.waiting.popleft()
                self.finish(wish)
                continue
            server = self.best()
            if server is None:
                break
            self.waiting.popleft()
            ahead = server.left() + self.fleet.day.traffic[wish.cls].work
            if now + ahead / max(server.rate(now), 0.01) > wish.aim_at:
                self.finish(wish)  # the best there is would be late: its work would be lost
                continue
            wish.tries += 1
            self.actions.send(wish.id, server.number, min(wish.aim_at, wish.give_up) - now)
        if self.waiting and not self.looking:
            self.looking = True
            self.actions.set_timer(WAKE + 1, now + LOOK)

    def finish(self, wish: Wish) -> None:
        self.out.pop(wish.id, None)
        unsafe = self.settings.classes[wish.cls].effect != Effect.PURE
        if wish.ran and unsafe:
            self.actions.fail(wish.id)
        else:
            self.actions.refuse(wish.id, 0)

    def on_outcome(
        self, now: int, request: int, attempt: int, outcome: int, duration: int, answered: bool,
        load: Sequence[float] = (),
    ) -> None:  # fmt: skip
        wish = self.out.get(request)
        if wish is None:
            return
        if answered:
            del self.out[request]
            return
        wish.ran = wish.ran or outcome not in NEVER_RAN
        unsafe = self.settings.classes[wish.cls].effect != Effect.PURE
        if (wish.ran and unsafe) or wish.tries >= self.settings.max_attempts:
            self.finish(wish)
        else:
            self.waiting.appendleft(wish)
            self.go(now)

    def on_client_gone(self, now: int, request: int) -> None:
        self.out.pop(request, None)

    def on_timer(self, now: int, token: int) -> None:
        if token == WAKE:
            self.actions.watch()
            return
        self.looking = False
        self.go(now)


def blind(settings: Settings, seed: int, actions: Actions, _fleet: Fleet, _me: int) -> Policy:
    return Blind(settings, seed, actions)


def seeing(settings: Settings, seed: int, actions: Actions, fleet: Fleet, me: int) -> Policy:
    return Seeing(settings, seed, actions, fleet, me)
