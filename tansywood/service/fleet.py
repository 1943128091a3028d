"""The process that speaks with the other instances: `python -m tansywood.service.fleet`.

Datagrams on one side, this instance's workers on the other, `tansywood.fleet`'s pure rules between.
It holds no request and no connection of a caller. Where it ends, its workers go on with what they
were told until that is over, and then with the floor; started again it is another life.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import sys
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.demands import Demand
from tansywood.fleet.granting import allocator_lease
from tansywood.fleet.instance import Instance
from tansywood.fleet.keyfile import KeyFile
from tansywood.fleet.messages import MessageError, pack, unpack
from tansywood.fleet.seal import (
    MAX_DATAGRAM_BYTES,
    REFUSAL_REASONS,
    KeyFileError,
    Seal,
    SealError,
    fleet_binding,
)
from tansywood.fleet.settings import LEASE_MS, FleetSettings
from tansywood.fleet.share import Limits, limits_of
from tansywood.fleet.signals import Kind
from tansywood.fleet.terms import SECOND, GrantTerms
from tansywood.service import part
from tansywood.service.endpoint import Clock, Endpoint
from tansywood.service.follow import Follower
from tansywood.service.wire import WireError, frame, read_frame
from tansywood.tenancy.settings import read
from windrelay.config import parse_address

if TYPE_CHECKING:
    from tansywood.service.leases import Leases

VERSION = "1"
TICK_S = 0.1  # at the latest
TELL_S = 0.1  # workers, though nothing has changed: how long allocations hold is news
STATUS_S = 1.0
BEHIND = 1 << 20


def demand_of(worker: str, now: int, tenant: str, row: Mapping[str, Any]) -> Demand:
    """What a worker says of one tenant.

    Of the rate nothing beyond what is asked. What all leave over is dealt out evenly anyway, and
    more is kept from those that go short: with 1.3 times eight instances of unlike traffic served
    0.794 of what one that sees all did, with 1.05 0.887.
    """
    rate = int(row["rate"])
    needs = {rate_key(tenant): rate, open_key(tenant): int(row["open"])}
    used = {open_key(tenant): int(row["used"])}
    for server, (need, held) in row["places"].items():
        needs[places_key(tenant, server)] = int(need)
        used[places_key(tenant, server)] = int(held)
    return Demand(worker, now, rate, needs, used)


class Agent:
    """One instance on sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: part.Place,
        settings: FleetSettings,
        clock: Clock,
        promises: Path,
    ) -> None:
        """`promises` is where an instance that votes on leases keeps what it promised."""
        self.loop = loop
        self.place = place
        self.settings = settings
        self.clock = clock
        life = os.urandom(16)
        self.key_file = KeyFile(settings.key_file, self.log)
        self.keys = self.key_file()
        self.bound = fleet_binding(settings.name, settings.first, settings.hand_on)
        self.seal = Seal(self.keys, self.bound, life)
        self.instance = Instance(
            settings.instance,
            settings.address,
            settings.first,
            GrantTerms(),
            Random(int.from_bytes(life, "big")),
            life,
            clock.wall_ms(),
            clock.now(),
            settings.zone,
            VERSION,
        )
        self.leases: Leases | None = None
        if settings.voters:
            from tansywood.service.leases import Leases  # leases and their store: only with voters

            self.leases = Leases(
                loop, clock, settings, life, promises, self.carry, self.wake, self.log
            )
        if settings.hand_on and self.leases is not None:
            self.instance.grant_under_leases(self.may_grant)
        self.refused = dict.fromkeys((*REFUSAL_REASONS, "message"), 0)
        self.too_long = 0
        self.follower = Follower(place.feed, "fleet", self.changed)
        self.limits: dict[str, tuple[str, Limits]] = {}  # by tenant's uid, with its name
        self.workers: dict[str, asyncio.StreamWriter] = {}
        self.said: dict[str, dict[str, tuple[Any, Demand]]] = {}  # by worker and tenant, the last
        self.told_version = -1
        self.told_at = 0.0
        self.status_at = 0.0
        self.ended: asyncio.Future[int] = loop.create_future()
        self.endpoint = Endpoint(self.received)
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0  # what the timer was set for
        self.carrying = False  # whether something of the lease client is about to leave
        self._tasks: set[asyncio.Task[None]] = set()

    def log(self, text: str) -> None:
        """A line of the process's log."""
        print(f"fleet: {text}", file=sys.stderr, flush=True)

    # ---- keys ------------------------------------------------------------------------

    def look_at_keys(self) -> None:
        """A key in rotation: go on with what the file says now; a bad one changes nothing."""
        keys = self.key_file()
        if keys is not self.keys:
            self.keys = keys
            self.seal.rekey(keys)
            self.log("keys read anew")

    # ---- the feed --------------------------------------------------------------------

    def changed(self, uid: str, view: dict[str, Any] | None) -> None:
        """A tenant of the feed, or that it is gone (no view)."""
        if view is None:
            self.limits.pop(uid, None)
        else:
            settings = read(view["document"])
            self.limits[uid] = (settings.name, limits_of(settings))
        if self.follower.ready.is_set():
            self.know_tenants()

    def know_tenants(self) -> None:
        """Put in force what the feed says."""
        self.instance.set_tenants(self.clock.now(), dict(self.limits.values()))
        self.flush()

    # ---- datagrams -------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        """A datagram, by whoever sent it."""
        try:
            life, body = self.seal.open(data)
            envelope = unpack(body)
        except SealError as err:
            self.refused[err.reason] += 1
            return
        except MessageError:
            self.refused["message"] += 1
            return
        self.instance.receive(self.clock.now(), life, envelope)
        carried, self.instance.carried = self.instance.carried, []
        if self.leases is not None:
            for name, its_life, said in carried:
                self.leases.received(name, its_life, said)
            if carried:
                self.leases.flush()
        self.flush()

    def carry(self, address: str, data: bytes) -> None:
        """What the lease client says; it leaves in this turn of the loop, whoever had it said."""
        self.instance.carry(self.clock.now(), address, data)
        if not self.carrying:
            self.carrying = True
            self.loop.call_soon(self.carried)

    def carried(self) -> None:
        """Send what the lease client said in this turn of the loop."""
        self.carrying = False
        self.flush()

    # ---- slices under leases -----------------------------------------------------------

    def may_grant(self, index: int) -> bool:
        """Whether we hold the lease of an allocator's slice."""
        assert self.leases is not None
        return self.leases.client.usable_token(self.clock.now(), allocator_lease(index)) != 0

    async def keep_allocating(self, leases: Leases, index: int) -> None:
        """Grant of an allocator's slice whenever we hold its lease. Cut off half way it ends with
        the lease: what is granted by then is over before whoever follows grants anything."""
        from tansywood.service.leases import LeaseLost

        name = allocator_lease(index)
        leases.client.placement.home_addresses[name] = self.settings.first[index]
        while True:
            with contextlib.suppress(LeaseLost):
                async with leases.lease(name, everybody=True):
                    self.instance.start_allocating(self.clock.now(), index)
                    try:
                        await asyncio.Event().wait()
                    finally:
                        self.instance.stop_allocating(index)

    def flush(self) -> None:
        """Send what is to be sent, tell workers what is new, print what happened."""
        for address, envelope in self.instance.take_sends():
            data = self.seal.seal(pack(envelope))
            self.too_long += len(data) > MAX_DATAGRAM_BYTES
            self.endpoint.send(data, parse_address(address))
        for event in self.instance.events.take_fresh():
            self.log(f"event {event.name} {event.what}: {event.why}")
        now = self.loop.time()
        if self.instance.holder.version != self.told_version or now - self.told_at >= TELL_S:
            self.told_version = self.instance.holder.version
            self.told_at = now
            for name in list(self.workers):
                self.tell(name)

    def tick(self) -> None:
        """Whatever is due by now; sets the timer for what comes next."""
        self.instance.tick(self.clock.now())
        due = self.instance.next_due()
        if self.leases is not None and not self.instance.members.conflict:
            self.leases.know(self.instance.members)
            self.leases.tick()
            due = min(due, self.leases.next_due())
        self.flush()
        now = self.loop.time()
        if now - self.status_at >= STATUS_S:
            self.status_at = now
            self.look_at_keys()
            self.follower.tell({"fleet": self.status()})
        self.due = due
        left = (due - self.clock.now()) / SECOND
        self.timer = self.loop.call_later(min(max(left, 0.002), TICK_S), self.tick)

    def wake(self, due: int) -> None:
        """Something is due earlier than it was when the timer was set."""
        if self.timer is not None and due < self.due:
            self.timer.cancel()
            self.due = due
            left = (due - self.clock.now()) / SECOND
            self.timer = self.loop.call_later(min(max(left, 0.0), TICK_S), self.tick)

    # ---- workers and people ----------------------------------------------------------

    def tell(self, worker: str) -> None:
        """A worker hears what it may use."""
        told = self.instance.allocations(self.clock.now(), worker)
        for row in told["tenants"].values():
            # The machine's own clock, which its workers share: a message may lie for long.
            row["until"] = self.clock.real(row.pop("left"))
        writer = self.workers[worker]
        writer.write(frame(told))
        if writer.transport.get_write_buffer_size() > BEHIND:
            writer.transport.abort()

    def reported(self, worker: str, message: dict[str, Any]) -> None:
        """What a worker says of its tenants. A row that is the same again is the same demand."""
        now = self.clock.now()
        said = self.said.setdefault(worker, {})
        hosted: dict[str, Demand] = {}
        seen: dict[str, tuple[Kind, int]] = {}
        for tenant, row in message["tenants"].items():
            last = said.get(tenant)
            if last is not None and last[0] == row:
                demand = last[1]
                demand.at = now
            else:
                demand = demand_of(worker, now, tenant, row)
                said[tenant] = row, demand
            hosted[tenant] = demand
            for server, (kind, age) in row["seen"].items():
                seen[f"{tenant}/{server}"] = (Kind(kind), now - int(age))
        for tenant in said.keys() - hosted.keys():
            del said[tenant]
        self.instance.report(now, worker, int(message["version"]), hosted, seen)

    async def link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection at our socket: a worker's for its whole life, a lease held for another
        process, or one question of an operator's tool."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        name = ""
        try:
            first = await read_frame(reader)
            if "ask" in first:
                writer.write(frame(await self.asked(first)))
                await writer.drain()
                return
            if "lease" in first:
                if self.leases is not None:
                    whose = bool(first.get("everybody", False))
                    await self.leases.keep_for(reader, writer, str(first["lease"]), whose)
                return
            name = str(first["hello"])
            self.workers[name] = writer
            self.instance.forget_last_update(name)
            while True:
                message = await read_frame(reader)
                if self.workers.get(name) is not writer:
                    return
                self.reported(name, message)
                self.flush()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (WireError, KeyError, TypeError, ValueError) as err:
            self.log(f"{name or 'somebody'} said what is not understood: {err!r}")
        finally:
            writer.close()
            if name and self.workers.get(name) is writer:
                del self.workers[name]
                self.said.pop(name, None)
                self.instance.worker_ended(self.clock.now(), name)
                self.flush()

    async def asked(self, first: dict[str, Any]) -> Mapping[str, Any]:
        """The answer to a question of an operator's tool."""
        what = str(first["ask"])
        if "of" in first:
            if self.leases is None:
                return {"error": "the settings name no voters: write `voters` under [fleet]"}
            return await self.leases.asked(what, str(first["of"]), str(first.get("to", "")))
        if what == "drain":
            self.instance.drain(self.clock.now())
            self.flush()
        elif what == "resume":
            self.instance.members.resume(self.clock.now())
            self.flush()
        elif what != "status":
            return {"error": f"{what!r} can't be asked: status, drain or resume"}
        return self.status()

    def status(self) -> dict[str, Any]:
        """Of JSON's types."""
        told = self.instance.status(self.clock.now())
        told["refused"] = dict(self.refused)
        told["counts"] |= {
            "unreachable": self.endpoint.unreachable,
            "too_long": self.too_long,
        }
        if self.leases is not None:
            told["leases"] = self.leases.client.status(self.clock.now())
        return told

    # ---- the process -----------------------------------------------------------------

    async def run(self) -> int:
        """Until it is stopped; the exit code."""
        try:
            await self.endpoint.open(parse_address(self.settings.address))
        except OSError as err:
            self.log(f"{self.settings.address} can't be used: {err.strerror}")
            return 2
        path = f"{self.place.folder}/fleet.sock"
        part.unlink(path)
        self.server = await asyncio.start_unix_server(self.link, path)
        return await part.follow(self.loop, self.follower, self.begin, self.stop, self.ended)

    def begin(self) -> None:
        """The feed has told all tenants."""
        if self.ended.done():
            return
        self.know_tenants()
        if self.leases is not None:
            self.leases.start()
            if self.settings.hand_on:
                for index in range(len(self.settings.first)):
                    task = self.loop.create_task(self.keep_allocating(self.leases, index))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        self.tick()
        part.ready()

    def stop(self) -> None:
        """Give back leases first, then the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.leases is None:
            self.leave()
            return
        ending = self.loop.create_task(self.leases.stop())
        ending.add_done_callback(lambda _task: self.leave())

    def leave(self) -> None:
        """The workers have ended before: what this instance held is given back."""
        if not self.workers:
            self.instance.leave(self.clock.now())
            self.flush()
        self.loop.call_later(0.02, self.end)

    def end(self) -> None:
        """Let `run` come to its end."""
        if not self.ended.done():
            self.ended.set_result(0)


def main() -> None:
    """The process, by its command line."""
    parser = argparse.ArgumentParser(prog="tansywood.service.fleet")
    parser.add_argument("run")
    parser.add_argument("name")
    parser.add_argument("instance")
    parser.add_argument("address")
    parser.add_argument("key_file")
    parser.add_argument("zone")
    parser.add_argument("--first", action="append", default=[])
    parser.add_argument("--voter", action="append", default=[])
    parser.add_argument("--lease-ms", type=int, default=LEASE_MS)
    parser.add_argument("--promises", default="")
    parser.add_argument("--hand-on", action="store_true")
    options = parser.parse_args()
    settings = FleetSettings(
        options.name,
        options.instance,
        options.address,
        tuple(options.first),
        Path(options.key_file),
        options.zone,
        tuple(options.voter),
        options.lease_ms,
        options.hand_on,
    )

    async def run(loop: asyncio.AbstractEventLoop) -> int:
        try:
            agent = Agent(loop, part.Place(options.run), settings, Clock(), Path(options.promises))
        except KeyFileError as err:
            print(f"fleet: {settings.key_file}: {err}", file=sys.stderr, flush=True)
            return 2
        return await agent.run()

    part.run("fleet", run)


if __name__ == "__main__":
    main()
