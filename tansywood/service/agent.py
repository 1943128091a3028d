"""The node's agent: holds the tenants that this node serves, and feeds door and workers.

`python -m tansywood.service.agent`. It stands in the administration's place on a node whose
settings name control addresses: it follows one distributor, puts what changes into force over the
feed, acknowledges it once all that follow go by it, and refuses what can't be read or what one of
them can't take over; the last good state stays in force then. The door asks it whose unknown hosts,
names, keys and listeners are. While control is away everything that is held goes on.

It touches no caller. `interest` decides what is held, `releases` how a tenant is given up.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from tansywood.admin.feed import Feed
from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.interest import Interest, Requester, State
from tansywood.distribution.messages import (
    Position,
    Refusal,
    alias_of_listener,
    alias_of_name,
)
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.resources import ViewError, aliases_of
from tansywood.distribution.stream import Keys
from tansywood.distribution.subscriber import Action, Answer, Apply, Link, Subscriber
from tansywood.fleet.keyfile import KeyFile
from tansywood.service import part
from tansywood.service.inforce import Refused, ViewsInForce
from tansywood.service.placed import PlacedView, from_feed, load_held, place_of
from tansywood.service.readable import read_view
from tansywood.service.releases import DOOR, Releases
from tansywood.service.restore import Restore
from tansywood.service.wire import WireError, frame, read_frame

BOUND = 500  # tenants held
BOUND_MOST = 10_000
IDLE_S = 600.0
COLLECT_S = 0.3  # for followers of an earlier agent to say what they hold
TICK_S = 0.25
LISTENERS_S = 5.0  # between two questions whose this node's listeners are
LATE_S = 2.0  # between two questions after a tenant that only some follower holds
LOOKUP_MOST = 8  # aliases of one lookup
REASON_MOST = 300  # characters of a refusal's reason: messages.Reason
OWN = ""  # the asker of questions after this node's own listeners

Answered = Callable[[Sequence[str] | None], None]


@dataclass(frozen=True, slots=True)
class _Batch:
    """States that were told to followers, the last of them as message `sequence` of the feed."""

    number: int
    sequence: int
    uids: tuple[str, ...]


def log(text: str) -> None:
    print(f"agent: {text}", file=sys.stderr, flush=True)


class Agent:
    """One node's configuration."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: part.Place,
        subscriber: Subscriber,
        keys: Keys,
        fleet: str,
        listeners: Sequence[str] = (),
        bound: int = BOUND,
        idle_s: float = IDLE_S,
        zone: str = "",
    ) -> None:
        self.loop = loop
        self.zone = zone
        self.place = place
        self.listeners = tuple(listeners)
        self.subscriber = subscriber
        self.client = SubscriberClient(subscriber, keys, fleet, self._do)
        self.feed = Feed(place.feed, self._views, self)
        # Later agents of this node begin with a higher one: followers' are compared over lives.
        self.feed.seq = time.time_ns() // 1000
        parameters, now = subscriber.parameters, time.monotonic_ns()
        self.interest = Interest(parameters, now, bound, round(idle_s * SECOND))
        self.releases = Releases(self.feed.tell, self._given_up, self._called_off)
        self.restore = Restore()
        self.views = ViewsInForce()
        self.refused: dict[str, Refusal] = {}  # why the newest state of a tenant is not in force
        self.ended: asyncio.Future[int] = loop.create_future()
        self._questions: dict[int, Answered] = {}
        self._batches: asyncio.Queue[_Batch] = asyncio.Queue()
        self._followers = {DOOR}  # all that ever followed: each comes back
        self._nobodys: set[str] = set()
        self._own_questions = 0
        self._listeners_due = 0.0
        self._late_due: dict[str, float] = {}

    # ---- from control ------------------------------------------------------------------------

    def _do(self, action: Action) -> None:
        if isinstance(action, Apply):
            for uid in action.uids:
                self._apply(uid)
            self._batches.put_nowait(_Batch(action.batch, self.feed.seq, action.uids))
        elif isinstance(action, Answer):
            self._questions.pop(action.question)(action.uids)

    def _apply(self, uid: str) -> None:
        """Put a tenant's newest state into force, or refuse it."""
        entry = self.subscriber.replica.entries.get(uid)
        if entry is None:
            self._removed(uid)
            return
        placed = PlacedView(entry.body, Position(self.subscriber.replica.epoch, entry.revision))
        try:
            self._hold(uid, placed)
        except ViewError as err:
            self._refuse(uid, entry.revision, str(err))
            if uid not in self.interest:
                self.interest.hold(uid, (), time.monotonic_ns())
            return
        self.refused.pop(uid, None)
        self.views.put(uid, placed, self.feed.seq + 1)
        self._tell_state(uid, placed)

    def _refuse(self, uid: str, revision: int, reason: str) -> None:
        self.refused[uid] = Refusal(uid, revision, reason[:REASON_MOST])
        log(f"refused: {reason}")

    def _hold(self, uid: str, placed: PlacedView) -> None:
        """Answer questions by this state. ViewError says why door and workers can't go by it."""
        view = read_view(uid, placed.body)
        aliases = tuple(aliases_of(view))
        pinned = any(alias_of_listener(name) in aliases for name in self.listeners)
        self.interest.hold(uid, aliases, time.monotonic_ns(), pinned)
        self.restore.settled(uid)

    def _tell_state(self, uid: str, placed: PlacedView) -> None:
        if uid in self.releases:
            self.releases.call_off(uid)  # which tells it
        else:
            self._publish(uid, placed.for_feed())

    def _removed(self, uid: str) -> None:
        self.releases.drop(uid)
        self.interest.drop(uid)
        self.restore.settled(uid)
        self.refused.pop(uid, None)
        self.views.drop(uid)
        self._publish(uid, None)

    def _publish(self, uid: str, view: dict[str, Any] | None) -> None:
        self.feed.publish(self.feed.seq + 1, uid, view)

    async def _acknowledge(self) -> None:
        """Each batch once every follower goes by it; one that is away comes back."""
        while True:
            batch = await self._batches.get()
            while any(self.feed.applied.get(n, -1) < batch.sequence for n in self._followers):
                await self.feed.moved()
            self.views.all_applied(batch.sequence)
            refusals = tuple(self.refused[uid] for uid in batch.uids if uid in self.refused)
            self.client.applied(batch.number, refusals)

    def _views(self) -> dict[str, dict[str, Any]]:
        return {uid: placed.for_feed() for uid, placed in self.views.newest.items()}

    # ---- followers ---------------------------------------------------------------------------

    def joined(self, name: str, held: list[str], seq: int) -> None:
        self._followers.add(name)
        self.interest.forget_requests(name)
        self.releases.call_off_all()
        self.restore.joined(name, seq)
        wanted = (
            held if self.restore.collecting else [u for u in held if u not in self.views.newest]
        )
        if wanted:
            self.feed.tell(name, {"give": wanted})
        if name == DOOR:
            self.feed.tell(DOOR, {"nobodys": sorted(self._nobodys)})

    def left(self, name: str) -> None:
        self.interest.forget_requests(name)
        self.releases.call_off_all()

    def heard(self, name: str, message: dict[str, Any]) -> None:
        if "lookup" in message:
            self._asked(name, message)
        elif "release" in message:
            self.releases.answered(name, message)
        elif "given" in message and message["given"] not in self.views.newest:
            self.restore.given(name, message["given"], message["view"])
        elif "refused" in message:
            self._refused_by(name, message)
        used = (*message.get("used", ()), *message.get("reports", ()))
        self.interest.mark_used(used, time.monotonic_ns())

    def _refused_by(self, name: str, message: dict[str, Any]) -> None:
        """A follower can't take over a state that could be read: all go back to the one before,
        where there is one."""
        uid = message["refused"]
        try:
            place = place_of(message["place"])
        except (TypeError, ValueError):
            return  # of an earlier agent's feed, which told no places
        outcome = self.views.refuse(uid, place)
        known = self.refused.get(uid)
        if outcome is Refused.SUPERSEDED or (known and known.revision > place.revision):
            return  # what is known of a newer state counts
        self.interest.counts["refused by followers"] += 1
        self._refuse(uid, place.revision, f"tenant {uid}: {name}: {message['reason']}")
        if outcome is Refused.BACK:
            before = self.views.newest[uid]
            self._hold(uid, before)
            self._tell_state(uid, before)
        elif outcome is Refused.FIRST and name == DOOR:
            self.interest.hold(uid, (), time.monotonic_ns())  # whose it is can't be said

    # ---- lookups -----------------------------------------------------------------------------

    def _asked(self, name: str, message: dict[str, Any]) -> None:
        asker = (name, message["lookup"])
        if message["known"] and self.subscriber.link is not Link.UP:
            self._tell(asker, State.UNAVAILABLE)  # it has what it needs: no waiting for control
        else:
            self._look_up(asker, message["aliases"])

    def _look_up(self, asker: Requester, aliases: Sequence[str], urgent: bool = False) -> None:
        asked = self.interest.resolve(asker, aliases, time.monotonic_ns(), urgent)
        for uid in asked.evictions_to_cancel:
            self.releases.call_off(uid)
        if asked.aliases_to_look_up:
            opened = asked.aliases_to_look_up
            self._ask_control(opened, partial(self._answered, opened))
        if asked.state is not None:
            self._tell(asker, asked.state)

    def _ask_control(self, aliases: Sequence[str], answered: Answered) -> None:
        self._questions[self.client.lookup(list(aliases))] = answered

    def _answered(self, aliases: Sequence[str], uids: Sequence[str] | None) -> None:
        for asker, state in self.interest.complete_lookup(aliases, uids, time.monotonic_ns()):
            self._tell(asker, state)

    def _tell(self, asker: Requester, state: State) -> None:
        name, number = asker
        if name != OWN:
            self.feed.tell(name, {"answer": number, "state": state.value})
        elif state is State.DONE:
            self._know_listeners()

    # ---- this node's listeners -----------------------------------------------------------------

    def _ask_for_listeners(self) -> None:
        aliases = [alias_of_listener(name) for name in self.listeners]
        for start in range(0, len(aliases), LOOKUP_MOST):
            self._own_questions += 1
            asker = (OWN, self._own_questions)
            self._look_up(asker, aliases[start : start + LOOKUP_MOST], urgent=True)

    def _know_listeners(self) -> None:
        """Tell the door which of them are known to be nobody's: it need not ask for those."""
        nobodys = {n for n in self.listeners if self.interest.is_unassigned(alias_of_listener(n))}
        if nobodys != self._nobodys:
            self._nobodys = nobodys
            self.feed.tell(DOOR, {"nobodys": sorted(nobodys)})

    # ---- giving up ---------------------------------------------------------------------------

    def _give_up(self, now: int) -> None:
        for uid in self.interest.select_evictions(now):
            self.releases.begin(uid, self.feed.followers(), now)

    def _given_up(self, uid: str) -> None:
        """Nobody on this node has it any more."""
        self.interest.finish_eviction(uid)
        self.views.drop(uid)
        self.refused.pop(uid, None)
        self.feed.reports.pop(uid, None)
        self.feed.tell(DOOR, {"forget": uid})
        self.client.unsubscribe([uid])

    def _called_off(self, uid: str) -> None:
        self.interest.cancel_eviction(uid, time.monotonic_ns())
        if uid in self.views.newest:
            self._publish(uid, self.views.newest[uid].for_feed())

    # ---- after a start -------------------------------------------------------------------------

    def _begin(self) -> None:
        """Go on with what the followers hold; a comparison with control tells what has changed."""
        held = {uid: from_feed(view) for uid, view in self.restore.collected().items()}
        for uid, placed in list(held.items()):
            try:
                self._hold(uid, placed)
            except ViewError as err:
                log(f"not taken over: {err}")
                del held[uid]
                continue
            self.views.restore(uid, placed)
            self._tell_state(uid, placed)
        load_held(self.subscriber.replica, held)
        self.client.start()

    def _ask_for_late(self, now: float) -> None:
        """Ask whether what only some follower holds still is: by its name, as there is no other
        way to subscribe. What is found is put into force as ever."""
        for uid, view in list(self.restore.late().items()):
            if now >= self._late_due.get(uid, 0.0):
                self._late_due[uid] = now + LATE_S
                name = view["document"]["name"]
                self._ask_control([alias_of_name(name)], partial(self._late, uid))

    def _late(self, uid: str, uids: Sequence[str] | None) -> None:
        if uids is not None and uids[0] != uid and uid not in self.views.newest:
            self._removed(uid)

    # ---- status ------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What this node holds, how old that may be, and what was asked and refused."""
        subscriber = self.subscriber
        position = subscriber.replica.position
        age = subscriber.publisher_age(time.monotonic_ns())
        received, sent, messages = self.client.totals()
        return {
            "name": subscriber.name,
            "zone": self.zone,
            "source": subscriber.address,
            "link": subscriber.link.value,
            "epoch": [position.epoch.number, position.epoch.identity.hex()],
            "revision": position.revision,
            "age_ms": None if age is None else age // MS,
            "tenants": len(self.views.newest),
            "bound": self.interest.max_tenants,
            "lookups_open": self.interest.open_lookups,
            "waiting": self.interest.waiting_requests,
            "unknown_cached": self.interest.cached_unknown_count,
            "counts": dict(self.interest.counts),
            "refused_views": {uid: refusal.reason for uid, refusal in self.refused.items()},
            "refused_messages": dict(self.client.refused),
            "connections": subscriber.connections,
            "losses": subscriber.losses,
            "last_loss": subscriber.last_loss,
            "left_stale": subscriber.left_stale,
            "bytes_in": received,
            "bytes_out": sent,
            "messages": messages,
            "seq": self.feed.seq,
            "followers": dict(self.feed.applied),
            "fleet": self.feed.fleet,
        }

    def _report(self, tenant: str) -> dict[str, Any]:
        """The counters of a held tenant, by its name or uid."""
        uid = self.interest.owner(alias_of_name(tenant)) or tenant
        if uid not in self.interest:
            return {"error": f"{tenant!r} is not held here"}
        return {"uid": uid, "report": self.feed.report(uid)}

    async def _question(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One question of a person's or a tool's."""
        try:
            asked = await read_frame(reader)
            what = asked["ask"]
            if what == "status":
                told = self.status()
            elif what == "report":
                told = self._report(str(asked["tenant"]))
            else:
                told = {"error": f"{what!r} can't be asked: status or report"}
            writer.write(frame(told))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (WireError, KeyError, TypeError) as err:
            log(f"somebody asked what is not understood: {err!r}")
        finally:
            writer.close()

    # ---- the process -------------------------------------------------------------------------

    def _tick(self) -> None:
        self._ticking = self.loop.call_later(TICK_S, self._tick)
        now = time.monotonic_ns()
        self.releases.tick(now)
        self._give_up(now)
        if self.restore.collecting:
            return
        if self.loop.time() >= self._listeners_due:
            self._listeners_due = self.loop.time() + LISTENERS_S
            self._ask_for_listeners()
        self._ask_for_late(self.loop.time())

    async def run(self) -> int:
        """Ready as soon as the feed listens: a node comes up while control is away."""
        await self.feed.start()
        path = f"{self.place.folder}/agent.sock"
        part.unlink(path)
        server = await asyncio.start_unix_server(self._question, path)
        part.watch(self.loop, self.stop)
        acknowledging = self.loop.create_task(self._acknowledge())
        beginning = self.loop.call_later(COLLECT_S, self._begin)
        self._tick()
        part.ready()
        code = await self.ended
        beginning.cancel()
        acknowledging.cancel()
        self._ticking.cancel()
        self.client.stop()
        server.close()
        self.feed.close()
        return code

    def stop(self) -> None:
        if not self.ended.done():
            self.ended.set_result(0)


def main() -> None:
    parser = argparse.ArgumentParser(prog="tansywood.service.agent")
    parser.add_argument("run")
    parser.add_argument("name", help="this instance's")
    parser.add_argument("fleet", help="the fleet's name")
    parser.add_argument("key_file")
    parser.add_argument("--control", action="append", required=True, help="IPv4:port")
    parser.add_argument("--listener", action="append", default=[], help="a name")
    parser.add_argument("--tenants", type=int, default=BOUND)
    parser.add_argument("--idle-s", type=float, default=IDLE_S)
    parser.add_argument("--zone", default="")
    options = parser.parse_args()
    if not 1 <= options.tenants <= BOUND_MOST:
        parser.error(f"--tenants: 1 to {BOUND_MOST}")

    async def run(loop: asyncio.AbstractEventLoop) -> int:
        parameters = Parameters()
        subscriber = Subscriber(
            options.name,
            options.control,
            Replica(parameters.max_resumable_changes),
            parameters,
            Random(),
            time.monotonic_ns(),
        )
        keys = KeyFile(Path(options.key_file), log)
        agent = Agent(
            loop,
            part.Place(options.run),
            subscriber,
            keys,
            options.fleet,
            options.listener,
            options.tenants,
            options.idle_s,
            options.zone,
        )
        return await agent.run()

    part.run("agent", run)


if __name__ == "__main__":
    main()
