"""Leases on sockets, a disk and tasks: what `tansywood.lease` decides, done.

It lives in the fleet's process, whose sealed datagrams carry its messages. The disk is in
`voterdisk`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from tansywood.fleet.members import Members, State
from tansywood.fleet.settings import FleetSettings
from tansywood.fleet.terms import MS, SECOND
from tansywood.lease.client import LeaseClient
from tansywood.lease.context import Peer
from tansywood.lease.fragments import Fragment
from tansywood.lease.terms import LeaseTerms
from tansywood.service.endpoint import Clock
from tansywood.service.voterdisk import VoterDisk
from tansywood.service.wire import frame, read_frame

KNOW = 100 * MS
REFOUND_LEASES = 1.25  # a lease by the slowest clock there may be, and a little
ASKS = ("list", "show", "why", "hand-over", "found", "refound")
_fragments = msgspec.msgpack.Decoder(Fragment)


class LeaseLost(Exception):
    """The lease is another's now, or may be: what was done under it had to end."""


class Held:
    """One lease while it is held. Whatever is changed under it takes the token along."""

    def __init__(self, leases: Leases, name: str, token: int) -> None:
        self.leases = leases
        self.name = name
        self.token = token

    def check(self) -> int:
        """The token, if this may be acted on now; LeaseLost."""
        if self.leases.client.usable_token(self.leases.clock.now(), self.name) != self.token:
            raise LeaseLost(self.name)
        return self.token

    def until(self) -> int:
        """When it is over unless it is renewed, on the machine's own monotonic clock."""
        left = self.leases.client.holder.valid_until - self.leases.clock.now()
        return self.leases.clock.real(left)


class Leases:
    """One instance's lease client, running."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        settings: FleetSettings,
        life: bytes,
        promises: Path,
        carry: Callable[[str, bytes], None],
        wake: Callable[[int], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.carry = carry
        self.wake = wake
        self.log = log
        length = settings.lease_ms * MS
        self.client = LeaseClient(
            settings.instance,
            life,
            settings.voters,
            LeaseTerms(duration_ns=length, renew_interval_ns=length // 4),
            Random(int.from_bytes(os.urandom(8), "big")),
        )
        self.disk = VoterDisk(loop, clock, self.client, promises, self.flush, log)
        self.ending = False
        self._knew = clock.now() - KNOW
        self._waiting: dict[str, list[asyncio.Event]] = {}
        self._bodies: dict[str, set[asyncio.Task[Any]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Any) -> None:
        """A task that is kept until its end."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        """Open the disk, where this instance votes."""
        if self.client.should_vote:
            self.spawn(self.disk.open())

    # ---- the network and time ----------------------------------------------------------------

    def know(self, members: Members) -> None:
        """Who is there by the fleet's members; looked at ten times a second."""
        now = self.clock.now()
        if now - self._knew < KNOW:
            return
        self._knew = now
        peers: dict[str, Peer] = {}
        for name, m in members.rows.items():
            r = m.update
            works = m.present and not r.drains
            peers[name] = Peer(name, r.address, r.life, m.since, works, m.state == State.ALIVE)
        self.client.update_members(now, peers, members.own.drains)

    def received(self, name: str, life: bytes, data: bytes) -> None:
        """What another instance's lease client sent."""
        try:
            fragment = _fragments.decode(data)
        except msgspec.MsgspecError:
            self.client.counts["unread"] += 1
            return
        self.client.receive(self.clock.now(), name, life, fragment)

    def tick(self) -> None:
        """Whatever is due by now."""
        self.client.tick(self.clock.now())
        self.flush()

    def flush(self) -> None:
        """Do what is to be done by now: write, send, end and begin tasks, print."""
        now = self.clock.now()
        client = self.client
        for name in client.take_lost(now):
            for task in list(self._bodies.get(name, ())):
                task.cancel()
        voter = client.voter
        if voter is not None and self.disk.store is not None:
            if client.disk_rejection_reason:
                why, client.disk_rejection_reason = client.disk_rejection_reason, ""
                self.spawn(self.disk.begin_anew(why))
            elif (batch := voter.next_write()) is not None:
                self.spawn(self.disk.write(batch))
        for address, fragment in client.take_sends():
            self.carry(address, msgspec.msgpack.encode(fragment))
        for text in client.events.take_fresh():
            self.log(f"lease: {now / SECOND:.2f} {text}")
        for name, events in list(self._waiting.items()):
            if client.usable_token(now, name):
                for event in events:
                    event.set()
        self.wake(client.next_due())

    def next_due(self) -> int:
        """When `tick` has something to do."""
        return self.client.next_due()

    async def stop(self) -> None:
        """Everything is given back, the disk is closed."""
        self.ending = True
        self.disk.stop_opening()
        for tasks in self._bodies.values():
            for task in tasks:
                task.cancel()
        self.client.release_all(self.clock.now())
        self.flush()
        await asyncio.sleep(0.05)  # a last write, and what stands behind it
        await self.disk.close()

    # ---- tasks -------------------------------------------------------------------------------

    @asynccontextmanager
    async def lease(self, name: str, everybody: bool = False) -> AsyncIterator[Held]:
        """Wait for a lease, and hold it for the body, which is cancelled and ends in LeaseLost
        the moment it may no longer act. `everybody`: every instance does this, and the fleet
        spreads such leases over its members."""
        there = asyncio.Event()
        self._waiting.setdefault(name, []).append(there)
        self.client.request_lease(self.clock.now(), name, everybody)
        self.tick()
        try:
            while not (token := self.client.usable_token(self.clock.now(), name)):
                there.clear()
                await there.wait()
            task = asyncio.current_task()
            assert task is not None
            bodies = self._bodies.setdefault(name, set())
            bodies.add(task)
            held = Held(self, name, token)
            try:
                yield held
            except asyncio.CancelledError:
                if self.client.usable_token(self.clock.now(), name) == token or self.ending:
                    raise
                task.uncancel()
                raise LeaseLost(name) from None
            finally:
                bodies.discard(task)
        finally:
            self._waiting[name].remove(there)
            if not self._waiting[name]:
                del self._waiting[name]
                self._bodies.pop(name, None)
                self.client.release_lease(self.clock.now(), name)
                self.tick()

    async def keep_for(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
        everybody: bool = False,
    ) -> None:
        """A lease for another process of this machine: for as long as it stays on the line. It is
        told the token and until when it may act, again at each renewal, and `lost` at the end."""

        async def gone() -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await read_frame(reader)

        leaving = self.loop.create_task(gone())
        holding = self.loop.create_task(self._keep(writer, name, everybody))
        try:
            await asyncio.wait({leaving, holding}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (leaving, holding):
                task.cancel()
            await asyncio.gather(leaving, holding, return_exceptions=True)

    async def _keep(self, writer: asyncio.StreamWriter, name: str, everybody: bool) -> None:
        while True:
            try:
                async with self.lease(name, everybody) as held:
                    reported = 0
                    while True:
                        held.check()
                        until = held.until()
                        if until != reported:
                            reported = until
                            writer.write(frame({"token": held.token, "until": until}))
                            await writer.drain()
                        await asyncio.sleep(self.client.terms.renew_interval_ns / SECOND / 4)
            except LeaseLost:
                writer.write(frame({"lost": name}))
                await writer.drain()

    # ---- people ------------------------------------------------------------------------------

    async def _ask_a_voter(self) -> None:
        """What all hold, where no voter here knows it: as a voter says, or as it said before."""
        began = self.clock.now()
        self.client.query_table(began)
        self.flush()
        for _ in range(20):
            if self.client.table_received_at >= began:
                return
            await asyncio.sleep(0.025)

    async def asked(self, what: str, name: str, to: str) -> Mapping[str, Any]:
        """An answer of JSON's types; `error` where there is none."""
        if self.client.voter is None and what == "list":
            await self._ask_a_voter()
        now = self.clock.now()
        error = ""
        if what == "why":
            return {"why": self.client.explain_holder(now, name)}
        if what == "hand-over":
            error = self.client.hand_over(now, name, to)
        elif what == "found":
            error = self.client.found(now, os.urandom(8).hex())
        elif what == "refound":
            # Whoever holds by disks that are lost holds no longer than this.
            self.log(f"lease: goes on alone in {REFOUND_LEASES:g} leases")
            await asyncio.sleep(REFOUND_LEASES * self.client.terms.duration_ns / SECOND)
            error = self.client.refound(self.clock.now(), os.urandom(8).hex())
        elif what not in ASKS:
            error = f"{what!r} can't be asked: {', '.join(ASKS)}"
        self.tick()
        if error:
            return {"error": error}
        return self.client.status(now)
