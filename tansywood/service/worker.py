"""A worker: some tenants at work in one process and one loop. `python -m tansywood.service.worker`.

A tenant is set up when its first connection comes and let go of when it has rested for long,
so a thousand that sleep cost a worker their settings and nothing else.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import socket
import sys
from typing import TYPE_CHECKING, Any

from tansywood.service import part, wire
from tansywood.service.follow import Follower
from tansywood.service.isotenant import IsoHosted
from tansywood.service.limiting import apply, whole
from tansywood.service.records import StoreRecords
from tansywood.service.tenant import FULL, Hosted, with_answer
from tansywood.service.wire import Handed, WireError, take
from tansywood.tenancy.fair import waits
from tansywood.tenancy.identity import Directory, Key, Known, Shown
from tansywood.tenancy.settings import read
from windrelay.clock import unix_ms

if TYPE_CHECKING:
    from tansywood.service.sharing import Sharing

MS = 1_000_000
WINDOW_S = 0.02  # of the fair share
SWEEP_S = 0.25
REPORT_S = 0.25
USE_S = 1.0  # between two words to a node's agent on which tenants have connections
TAKEN = 64  # connections taken over in one turn
AWAITED_S = 1.0  # a connection waits so long for news of its tenant
REST_S = 300.0  # after which a tenant without callers is let go of
STOP_S = 0.7  # on top of the longest deadline
POLL_S = 0.01
CLOSE_S = 5.0  # for a disk that is slow at the very end


def known_of(view: dict[str, Any]) -> Known:
    settings = read(view["document"])
    return Known(
        view["uid"], settings.name, settings.hosts, settings.listeners, settings.key_required
    )


def keys_of(view: dict[str, Any]) -> list[Key]:
    return [Key(**record) for record in view["keys"]]


class Worker:
    """Its tenants, its doors and its windows of time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: part.Place,
        name: str,
        records: str = "",
        iso: frozenset[str] = frozenset(),
        fleet: tuple[int, int] | None = None,
    ) -> None:
        self.loop = loop
        self.place = place
        self.name = name
        self.life = f"{name}.{os.getpid()}"  # counters begin anew with each
        self.directory = Directory()
        self.records = records  # folder of the stores of tenants that speak ISO 8583
        self.iso = iso  # listeners that do
        self.hosted: dict[str, Hosted | IsoHosted] = {}
        self.leaving: list[Hosted | IsoHosted] = []  # deleted tenants that end what they hold
        self.rested: dict[str, float] = {}
        self.awaited: list[tuple[float, Handed]] = []
        self.doors: set[socket.socket] = set()
        self.follower = Follower(place.feed, name, self.changed, self.give_up)
        self.listener: socket.socket | None = None
        self.holds: dict[str, asyncio.TimerHandle] = {}
        self.told = 0  # the link that all reports were told by
        self.stopping = False
        self.ended: asyncio.Future[int] = loop.create_future()
        self.crashes = 0
        self.closing: asyncio.Task[None] | None = None
        self.sharing: Sharing | None = None
        if fleet is not None:
            from tansywood.service.sharing import Sharing  # an instance alone loads none of it

            path = f"{place.folder}/fleet.sock"
            self.sharing = Sharing(loop, path, name, *fleet, lambda: self.hosted)

    # ---- news ------------------------------------------------------------------------------

    def changed(self, uid: str, view: dict[str, Any] | None) -> None:
        """A tenant is another; what fails is that tenant's trouble alone."""
        hosted = self.hosted.get(uid)
        if view is None:
            self.directory.drop(uid)
            if hosted is not None:
                del self.hosted[uid]
                hosted.delete()
                self.leaving.append(hosted)
            return
        self.directory.set(known_of(view), keys_of(view))
        try:
            if hosted is not None:
                self.change_hosted(hosted, view)
        finally:
            waiting, self.awaited = self.awaited, []
            for since, handed in waiting:
                self.take_over(handed, since)

    def change_hosted(self, hosted: Hosted | IsoHosted, view: dict[str, Any]) -> None:
        """A tenant at work goes on under other settings, or raises what is wrong with them."""
        try:
            if ("iso8583" in view["document"]) != isinstance(hosted, IsoHosted):
                raise ValueError("its protocol is another than that of the connections open here")
            hosted.change(view)
            self.limit(hosted)
        except Exception as err:
            hosted.node.record_error("a change of settings", err)
            raise

    def give_up(self, uid: str) -> bool:
        """Hold a tenant no more, unless it has a connection or a request. The door has let go
        of it before, and each of its connections was said to be taken: none is on its way."""
        hosted = self.hosted.get(uid)
        if any(one.uid == uid for _, one in self.awaited):
            return False
        if hosted is not None:
            # One that speaks ISO 8583 ends with its records closed: when it has rested, in sweep.
            if isinstance(hosted, IsoHosted) or not hosted.idle():
                return False
            if hosted.server.report.changed:
                self.tell_reports({uid: hosted.server.report.record()})
            del self.hosted[uid]
            self.rested.pop(uid, None)
            hosted.end()
        self.directory.drop(uid)
        return True

    def identify(self, listener: str, host: bytes, name: bytes, key: bytes) -> str | None:
        words = (w.decode("latin-1") for w in (host, name, key))
        return self.directory.identify(Shown(listener, *words), unix_ms())

    # ---- connections -------------------------------------------------------------------------

    def listen(self) -> None:
        path = self.place.worker(self.name)
        part.unlink(path)
        self.listener = sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        sock.bind(path)
        sock.listen(16)
        self.loop.add_reader(sock, self.accept)

    def accept(self) -> None:
        assert self.listener is not None
        try:
            door, _ = self.listener.accept()
        except OSError:
            return
        door.setblocking(False)
        try:
            # Ownership outlives a door: the next one is told.
            door.send(json.dumps({"worker": self.name, "owns": sorted(self.hosted)}).encode())
        except OSError:
            door.close()
            return
        self.doors.add(door)
        self.loop.add_reader(door, self.handed, door)

    def handed(self, door: socket.socket) -> None:
        for _ in range(TAKEN):
            try:
                one = take(door)
            except BlockingIOError:
                return
            except (OSError, WireError) as err:
                self.log(f"a connection was not handed over: {err}")
                self.leave(door)
                return
            if one is None:
                self.leave(door)
                return
            try:
                door.send(wire.TAKEN)  # first: see wire
            except OSError:
                # It can't be told, so it goes on as one that was not taken.
                one.sock.close()
                self.leave(door)
                return
            self.take_over(one, self.loop.time())

    def leave(self, door: socket.socket) -> None:
        self.loop.remove_reader(door)
        self.doors.discard(door)
        door.close()

    def take_over(self, one: Handed, since: float) -> None:
        hosted = self.hosted.get(one.uid)
        if hosted is None:
            view = self.follower.views.get(one.uid)
            if view is None:
                # The door was told of it first, or it is deleted by now.
                self.awaited.append((since, one))
                return
            try:
                hosted = self.host(view)
            except Exception as err:  # that tenant's trouble alone
                self.log(f"{one.uid} can't be set up: {err!r}")
                self.turn_away(one)
                return
        self.rested.pop(one.uid, None)
        try:
            hosted.server.adopt(one.sock, one.listener, one.first)
        except OSError as err:
            one.sock.close()
            self.log(f"a connection was lost: {err}")

    def host(self, view: dict[str, Any]) -> Hosted | IsoHosted:
        hosted: Hosted | IsoHosted
        if "iso8583" in view["document"]:
            hosted = IsoHosted(view, self.loop, self.records)
        else:
            hosted = Hosted(view, self.loop, self.identify)
        self.hosted[view["uid"]] = hosted
        if self.sharing is not None:
            self.sharing.begin(hosted)
        else:
            self.limit(hosted)
        self.loop.set_exception_handler(self.loop_failed)  # each node sets its own
        if self.stopping:
            hosted.stop()
        return hosted

    def limit(self, hosted: Hosted | IsoHosted) -> None:
        """What other instances use of its limits, and a limit that holds at each server."""
        if self.sharing is not None:
            self.sharing.again(hosted)
        elif hosted.settings.limits.places or hosted.node.balancer.granted_slots is not None:
            apply(hosted, whole(hosted.settings))

    # ---- time ----------------------------------------------------------------------------------

    def window(self) -> None:
        """Who has had too much of the last window is not read from for a while."""
        self.loop.call_later(WINDOW_S, self.window)
        used = {}
        for uid, hosted in self.hosted.items():
            if hosted.server.used:
                used[uid] = hosted.server.used
                hosted.server.used = 0
        if len(used) < 2:
            return
        shares = {uid: self.hosted[uid].settings.cpu_share for uid in used}
        for uid, wait in waits(used, shares, round(WINDOW_S * 1e9)).items():
            old = self.holds.pop(uid, None)
            if old is not None:
                old.cancel()
            self.hosted[uid].server.hold(True)
            self.holds[uid] = self.loop.call_later(wait / 1e9, self.release, uid)

    def release(self, uid: str) -> None:
        self.holds.pop(uid, None)
        hosted = self.hosted.get(uid)
        if hosted is not None:
            hosted.server.hold(False)

    def sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        for uid, hosted in list(self.hosted.items()):
            hosted.sweep()
            # A key may have ended by its time.
            hosted.server.epoch += 1
            if not hosted.idle():
                self.rested.pop(uid, None)
            elif (
                now - self.rested.setdefault(uid, now) > REST_S and not hosted.server.report.changed
            ):
                del self.hosted[uid], self.rested[uid]
                hosted.end()
        for hosted in list(self.leaving):
            hosted.sweep()
            if hosted.idle():  # those that say nothing more go by the sweeps
                self.leaving.remove(hosted)
                hosted.end()
        waiting, self.awaited = self.awaited, []
        for since, one in waiting:
            if now - since > AWAITED_S:
                self.turn_away(one)
            else:
                self.awaited.append((since, one))

    def turn_away(self, one: Handed) -> None:
        """Tell a connection to come again: its tenant can't be served here now."""
        if one.listener in self.iso:
            one.sock.close()
        else:
            with_answer(self.loop, one.sock, FULL)

    def tell(self) -> None:
        self.loop.call_later(REPORT_S, self.tell)
        records = {}
        anew = self.follower.links != self.told
        for uid, hosted in self.hosted.items():
            if anew or hosted.server.report.changed:
                records[uid] = hosted.server.report.record()
        if records and self.tell_reports(records):
            self.told = self.follower.links

    def tell_reports(self, records: dict[str, dict[str, Any]]) -> bool:
        if not self.follower.tell({"life": self.life, "reports": records}):
            return False
        for uid in records:
            self.hosted[uid].server.report.changed = False
        return True

    def tell_use(self) -> None:
        """A node's agent gives up no tenant that is in use."""
        self.loop.call_later(USE_S, self.tell_use)
        if self.follower.partial:
            used = [uid for uid, hosted in self.hosted.items() if not hosted.idle()]
            self.follower.tell({"used": used})

    # ---- the process -----------------------------------------------------------------------------

    def log(self, text: str) -> None:
        print(f"{self.name}: {text}", file=sys.stderr, flush=True)

    def loop_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count a callback that raised, log it, and end the connection that it belonged to: one
        whose `pause_writing` or `resume_writing` failed would otherwise stay open for good."""
        self.crashes += 1
        error = context.get("exception")
        self.log(f"a callback raised: {context.get('message')}: {error!r}")
        # uvloop's transports are not instances of asyncio.Transport.
        abort = getattr(context.get("transport"), "abort", None)
        if abort is not None:
            abort()

    async def run(self) -> int:
        if self.sharing is None:
            return await part.follow(self.loop, self.follower, self.begin, self.stop, self.ended)
        sharing = self.loop.create_task(self.sharing.run())
        try:
            return await part.follow(self.loop, self.follower, self.begin, self.stop, self.ended)
        finally:
            sharing.cancel()

    def begin(self) -> None:
        if self.ended.done():
            return
        self.listen()
        gc.collect()
        gc.freeze()
        gc.set_threshold(5_000, 10, 20)
        self.window()
        self.sweep()
        self.tell()
        self.tell_use()
        part.ready()

    def stop(self) -> None:
        """Take nothing new, answer what is held, then end."""
        self.stopping = True
        for hosted in self.hosted.values():
            hosted.stop()
        longest = max(
            (c.deadline_ms for h in self.hosted.values() for c in h.settings.classes), default=0
        )
        self.wait(self.loop.time() + longest / 1000 + STOP_S)

    def wait(self, until: float) -> None:
        all_of_them = [*self.hosted.values(), *self.leaving]
        late = self.loop.time() >= until
        # While a door is there, connections may lie here that it has handed over.
        if not late and (self.doors or not all([h.finished() for h in all_of_them])):
            self.loop.call_later(POLL_S, self.wait, until)
            return
        if self.sharing is not None and not late:
            self.sharing.bye()
        for hosted in all_of_them:
            hosted.node.fail_all()
        records = [h.records for h in all_of_them if isinstance(h, IsoHosted)]
        self.closing = self.loop.create_task(self.close([r for r in records if r is not None]))

    async def close(self, records: list[StoreRecords]) -> None:
        """One more turn, so that the last answers leave, and what was kept lazily is kept: ended
        before, a credit that was answered is in doubt to whoever repeats it after the start."""
        await asyncio.sleep(POLL_S)
        try:
            async with asyncio.timeout(CLOSE_S):
                await asyncio.gather(*(r.close() for r in records), return_exceptions=True)
        except TimeoutError:
            self.log(f"records were not closed in {CLOSE_S:g} s")
        self.end()

    def end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(0)


def main() -> None:
    parser = argparse.ArgumentParser(prog="tansywood.service.worker")
    parser.add_argument("run")
    parser.add_argument("name")
    parser.add_argument("records")
    parser.add_argument("--iso-listener", action="append", default=[])
    parser.add_argument("--fleet", default="", help="HOMES:INDEX, where there is a fleet")
    options = parser.parse_args()
    homes, _, index = options.fleet.partition(":")

    async def run(loop: asyncio.AbstractEventLoop) -> int:
        iso = frozenset(options.iso_listener)
        place = part.Place(options.run)
        fleet = (int(homes), int(index)) if homes else None
        return await Worker(loop, place, options.name, options.records, iso, fleet).run()

    part.run(options.name, run)


if __name__ == "__main__":
    main()
