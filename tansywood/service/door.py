"""The door: accepts for all tenants, reads one head, hands the connection to its tenant's worker.

`python -m tansywood.service.door`. It parses nothing but what tells whose a request is, answers
nobody's requests itself, and holds no connection longer than that: a connection that was handed
over is the worker's, and a door's end does not touch it. The listening sockets are the
supervisor's: while a door is away the system keeps what connects.

On a node that holds only what it serves, a connection that shows what is not known here waits
while the node's agent is asked; then it is answered as ever.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import sys
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from tansywood.service import part
from tansywood.service.follow import Follower
from tansywood.service.lookups import Lookups, aliases_to_ask
from tansywood.service.tenant import FULL, UNKNOWN, with_answer
from tansywood.service.wire import TAKEN, hand
from tansywood.service.worker import keys_of, known_of
from tansywood.tenancy.door import MAX_HEAD, Lobby, look
from tansywood.tenancy.identity import Directory, Shown
from tansywood.tenancy.limits import Bucket
from tansywood.tenancy.placement import Placement
from tansywood.tenancy.settings import ACTIVE, read
from windrelay.clock import unix_ms
from windrelay.server import ACCEPT_RETRY_ERRNOS, EMPTY_RESPONSE_HEADS

MS = 1_000_000
ACCEPTS = 64  # in one turn of the loop
SWEEP_S = 0.25
DIAL_S = 0.02  # between two looks for a worker that is away
WAIT_S = 1.0  # a connection waits so long for any worker to be there
WAITING = 4096  # connections that wait for a worker; more are told to come again
LINGER_S = 1.0  # for the answer to be read before the close
STOP_S = 0.5
LAST_ANSWERS_S = 0.2  # before the end of it, for those that wait for the agent
AWAY = b"Retry-After: 2.000\r\nConnection: close\r\n\r\n"
STOPPED = EMPTY_RESPONSE_HEADS[503] + AWAY
TOO_LONG = EMPTY_RESPONSE_HEADS[431] + b"Connection: close\r\n\r\n"
TOO_MANY = EMPTY_RESPONSE_HEADS[429] + b"Retry-After: 1.000\r\nConnection: close\r\n\r\n"


class Visitor:
    """A connection that has not said whose it is, or that is answered here."""

    __slots__ = ("address", "data", "listener", "shown", "sock", "until")

    def __init__(self, sock: socket.socket, address: str, listener: str) -> None:
        self.sock = sock
        self.address = address
        self.listener = listener
        self.data = b""
        self.shown = Shown(listener)
        self.until = 0.0  # while it lingers


class Waiting:
    """A connection that is known and not handed over yet."""

    __slots__ = ("data", "listener", "since", "sock", "uid")

    def __init__(self, uid: str, visitor: Visitor, since: float) -> None:
        self.uid = uid
        self.listener = visitor.listener
        self.data = visitor.data
        self.sock = visitor.sock
        self.since = since


class Door:
    """One process that accepts for all."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: part.Place,
        listeners: dict[str, socket.socket],
        workers: list[str],
        iso: frozenset[str] = frozenset(),
    ) -> None:
        self.loop = loop
        self.place = place
        self.listeners = listeners
        self.names = workers
        self.iso = iso  # listeners whose callers speak ISO 8583
        self.directory = Directory()
        self.placement = Placement()
        self.links: dict[str, socket.socket] = {}
        # Handed over and not known to be taken: see `wire` for what that is good for.
        self.handed: dict[str, deque[Waiting]] = {}
        self.lobby = Lobby()
        self.lingering: dict[Visitor, None] = {}
        self.waiting: list[Waiting] = []
        self.rates: dict[str, Bucket] = {}
        self.status: dict[str, str] = {}
        self.follower = Follower(
            place.feed, "door", self.changed, self.give_up, self.fed, self.told
        )
        self.lookups = Lookups(self.follower.tell)
        self.nobodys: frozenset[str] = frozenset()  # listeners, as the agent has found
        self.stopping = False
        self.ended: asyncio.Future[int] = loop.create_future()
        self.turned_away = 0

    # ---- news --------------------------------------------------------------------------------

    def changed(self, uid: str, view: dict[str, Any] | None) -> None:
        if view is None:
            self.directory.drop(uid)
            self.placement.forget(uid)
            self.rates.pop(uid, None)
            self.status.pop(uid, None)
            return
        self.directory.set(known_of(view), keys_of(view))
        self.status[uid] = view["status"]
        rate = read(view["document"]).limits.connections_per_s
        now = time.monotonic_ns()
        bucket = self.rates.get(uid)
        if bucket is None:
            bucket = self.rates[uid] = Bucket(now, rate, rate)
            bucket.fill()
        else:
            bucket.change(now, rate, rate)

    # ---- the node's agent ------------------------------------------------------------------------

    def fed(self) -> None:
        """A feed has told all: an agent that was started again has to be asked anew."""
        self.nobodys = frozenset()
        if self.follower.partial:
            self.lookups.ask_again()

    def told(self, message: dict[str, Any]) -> None:
        """The agent's answers, and what it knows of listeners and owners."""
        if "answer" in message:
            visitor = self.lookups.answered(message["answer"])
            if isinstance(visitor, Visitor):
                self.decide(visitor, UNKNOWN if message["state"] == "done" else FULL)
        elif "nobodys" in message:
            # Of one that speaks ISO 8583 nothing else tells whose it is: it is asked for each time.
            self.nobodys = frozenset(message["nobodys"]) - self.iso
        elif "forget" in message:
            self.placement.forget(message["forget"])

    def give_up(self, uid: str) -> bool:
        """Know a tenant no more, unless it has a connection that no worker has taken yet or that
        waits for the agent to say whose the rest is that it shows. Its owner stays known until no
        worker has it: there are never two."""
        if any(one.uid == uid for queue in self.handed.values() for one in queue):
            return False
        if any(one.uid == uid for one in self.waiting):
            return False
        if any(self.identify(visitor) == uid for visitor in self.visitors_looked_up()):
            return False
        self.directory.drop(uid)
        self.rates.pop(uid, None)
        self.status.pop(uid, None)
        return True

    def visitors_looked_up(self) -> Iterator[Visitor]:
        """The connections that wait for an answer of the agent."""
        for visitor in self.lookups:
            assert isinstance(visitor, Visitor)
            yield visitor

    def asks_agent(self, visitor: Visitor) -> bool:
        """Whether a connection waits for the agent to say whose something is that it shows."""
        if not self.follower.partial or self.directory.knows(visitor.shown, self.nobodys):
            return False
        unknown = self.directory.unknown(visitor.shown)
        if visitor.listener in self.nobodys:
            unknown = replace(unknown, listener="")
        aliases = aliases_to_ask(unknown)
        if not aliases:
            return False
        known = self.identify(visitor) is not None
        if known and not self.follower.linked:
            return False
        self.forget(visitor)
        now = time.monotonic_ns() // MS
        goes = self.lookups.ask(visitor, visitor.address, aliases, known, now)
        if isinstance(goes, Visitor):
            self.decide(goes, FULL)
        return True

    # ---- connections ---------------------------------------------------------------------------

    def accept(self, name: str) -> None:
        for _ in range(ACCEPTS):
            try:
                sock, address = self.listeners[name].accept()
            except BlockingIOError:
                return
            except OSError as err:
                if err.errno in ACCEPT_RETRY_ERRNOS:
                    continue
                # No descriptors: what connects waits in the system until some are free.
                self.log(f"accept: {err}")
                self.pause(name)
                return
            sock.setblocking(False)
            visitor = Visitor(sock, address[0], name)
            if name in self.iso:
                self.enter(visitor)
                continue
            goes = self.lobby.enter(visitor, address[0], time.monotonic_ns() // MS)
            if isinstance(goes, Visitor):
                self.answer_and_close(goes, FULL)
            if goes is not visitor:
                self.loop.add_reader(sock, self.readable, visitor)
                self.readable(visitor)  # mostly its request is there already

    def enter(self, visitor: Visitor) -> None:
        """One whose listener alone says whose it is: no message tells; nobody's is just closed."""
        if not self.asks_agent(visitor):
            self.decide(visitor, UNKNOWN)

    def pause(self, name: str) -> None:
        self.loop.remove_reader(self.listeners[name])
        self.loop.call_later(0.05, self.resume, name)

    def resume(self, name: str) -> None:
        if not self.stopping:
            self.loop.add_reader(self.listeners[name], self.accept, name)

    def readable(self, visitor: Visitor) -> None:
        try:
            data = visitor.sock.recv(MAX_HEAD)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.forget(visitor)
            visitor.sock.close()
            return
        visitor.data += data
        head = look(visitor.data)
        if not head.whole:
            if len(visitor.data) >= MAX_HEAD:
                self.answer_and_close(visitor, TOO_LONG)
            return
        if not head.sound:
            self.answer_and_close(visitor, UNKNOWN)
            return
        visitor.shown = Shown(visitor.listener, head.host, head.name, head.key)
        if not self.asks_agent(visitor):
            self.decide(visitor, UNKNOWN)

    def identify(self, visitor: Visitor) -> str | None:
        """The tenant whose connection this is, as far as is known here."""
        return self.directory.identify(visitor.shown, unix_ms())

    def decide(self, visitor: Visitor, nobodys: bytes) -> None:
        """To its tenant's worker; `nobodys` is the answer where it is known to be nobody's."""
        uid = self.identify(visitor)
        if uid is None:
            self.answer_and_close(visitor, nobodys)
        elif self.status[uid] != ACTIVE:
            self.answer_and_close(visitor, STOPPED)
        elif self.rates[uid].take(time.monotonic_ns()):
            self.answer_and_close(visitor, TOO_MANY)
        else:
            self.forget(visitor)
            self.hand_over(Waiting(uid, visitor, self.loop.time()))

    def forget(self, visitor: Visitor) -> None:
        self.lobby.leave(visitor)
        self.loop.remove_reader(visitor.sock)

    def answer_and_close(self, visitor: Visitor, answer: bytes) -> None:
        """Answer, and close once it was read: closing on unread bytes would reset it."""
        self.forget(visitor)
        self.turned_away += 1
        if visitor.listener in self.iso:
            visitor.sock.close()
            return
        try:
            visitor.sock.send(answer)
            visitor.sock.shutdown(socket.SHUT_WR)
        except OSError:
            visitor.sock.close()
            return
        visitor.until = self.loop.time() + LINGER_S
        self.lingering[visitor] = None
        if len(self.lingering) > self.lobby.most:
            self.let_go(next(iter(self.lingering)))
        if visitor in self.lingering:
            self.loop.add_reader(visitor.sock, self.linger, visitor)

    def linger(self, visitor: Visitor) -> None:
        try:
            gone = not visitor.sock.recv(MAX_HEAD)
        except BlockingIOError:
            return
        except OSError:
            gone = True
        if gone:
            self.let_go(visitor)

    def let_go(self, visitor: Visitor) -> None:
        self.lingering.pop(visitor, None)
        self.loop.remove_reader(visitor.sock)
        visitor.sock.close()

    # ---- workers ---------------------------------------------------------------------------------

    def hand_over(self, one: Waiting) -> None:
        """To the tenant's owner; to the next one where that has ended; else it waits a little."""
        while (owner := self.placement.owner(one.uid)) is not None:
            try:
                hand(self.links[owner], one.uid, one.listener, one.data, one.sock)
            except BlockingIOError:
                break  # it is behind: its tenants wait, nobody else
            except OSError:
                self.lost(owner)
                continue
            self.handed[owner].append(one)
            return
        if len(self.waiting) >= WAITING:
            self.send_away(one)
        else:
            self.waiting.append(one)

    def send_away(self, one: Waiting) -> None:
        if one.listener in self.iso:
            one.sock.close()
        else:
            with_answer(self.loop, one.sock, FULL)

    def dial(self) -> None:
        """Look for workers that are not linked; they come back under their names."""
        if not self.stopping:
            self.loop.call_later(DIAL_S, self.dial)
        for name in self.names:
            if name not in self.links:
                link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                link.setblocking(False)
                try:
                    link.connect(self.place.worker(name))
                except OSError:
                    link.close()
                    continue
                self.links[name] = link
                self.handed[name] = deque()
                self.loop.add_reader(link, self.said, name)
        if self.waiting:
            waiting, self.waiting = self.waiting, []
            now = self.loop.time()
            for one in waiting:
                if now - one.since > WAIT_S:
                    self.send_away(one)
                else:
                    self.hand_over(one)

    def said(self, name: str) -> None:
        if not self.hear(name):
            self.lost(name)

    def hear(self, name: str) -> bool:
        """All that a worker has said; False where it has ended."""
        while True:
            try:
                data = self.links[name].recv(8 << 20)
            except BlockingIOError:
                return True
            except OSError:
                return False
            if not data:
                return False
            if data == TAKEN:
                self.handed[name].popleft().sock.close()  # it has its own descriptor of it
            else:
                self.placement.joined(name, json.loads(data)["owns"])

    def lost(self, name: str) -> None:
        """A worker has ended: its tenants' next connections go to others, at once, and so do
        those that it had not taken. What it said last is heard first."""
        if name not in self.links:
            return
        self.hear(name)
        link = self.links.pop(name)
        self.loop.remove_reader(link)
        link.close()
        tenants = self.placement.left(name)
        again = self.handed.pop(name)
        self.log(f"{name} is gone, {len(tenants)} tenants go to others")
        for one in again:
            self.hand_over(one)

    # ---- the process -----------------------------------------------------------------------------

    def sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self.sweep)
        for who in self.lobby.late(time.monotonic_ns() // MS):
            assert isinstance(who, Visitor)
            self.answer_and_close(who, EMPTY_RESPONSE_HEADS[408] + b"Connection: close\r\n\r\n")
        for who in self.lookups.late(time.monotonic_ns() // MS):
            assert isinstance(who, Visitor)
            self.decide(who, FULL)
        now = self.loop.time()
        for visitor in [v for v in self.lingering if v.until < now]:
            self.let_go(visitor)
        if self.turned_away:
            self.log(f"{self.turned_away} connections turned away")
            self.turned_away = 0

    def log(self, text: str) -> None:
        print(f"door: {text}", file=sys.stderr, flush=True)

    async def run(self) -> int:
        return await part.follow(self.loop, self.follower, self.begin, self.stop, self.ended)

    def begin(self) -> None:
        self.dial()
        self.sweep()
        self.await_workers()

    def await_workers(self) -> None:
        """Nobody is let in before one worker is there."""
        if self.stopping:
            return
        if not self.placement.workers:
            self.loop.call_later(DIAL_S, self.await_workers)
            return
        for name, sock in self.listeners.items():
            self.loop.add_reader(sock, self.accept, name)
        part.ready()

    def stop(self) -> None:
        """Take in what the kernel has accepted, give those inside a moment, then end."""
        for name in self.listeners:
            if self.placement.workers:
                self.accept(name)
        self.stopping = True
        for sock in self.listeners.values():
            self.loop.remove_reader(sock)
            sock.close()
        self.wait(self.loop.time() + STOP_S)

    def wait(self, until: float) -> None:
        now = self.loop.time()
        if now >= until - LAST_ANSWERS_S:
            for who in self.lookups.end():
                assert isinstance(who, Visitor)
                self.decide(who, FULL)
        inside = len(self.lobby) or len(self.lookups) or self.waiting or any(self.handed.values())
        reading = self.follower.partial and self.lingering  # an answer that came late
        if (inside or reading) and now < until:
            self.loop.call_later(0.01, self.wait, until)
        elif not self.ended.done():
            self.ended.set_result(0)


def main() -> None:
    parser = argparse.ArgumentParser(prog="tansywood.service.door")
    parser.add_argument("run")
    parser.add_argument("--listener", action="append", default=[], help="NAME=DESCRIPTOR")
    parser.add_argument("--worker", action="append", default=[])
    parser.add_argument("--iso-listener", action="append", default=[])
    options = parser.parse_args()
    listeners = {}
    for text in options.listener:
        name, _, number = text.partition("=")
        listeners[name] = socket.socket(fileno=int(number))
        listeners[name].setblocking(False)

    async def run(loop: asyncio.AbstractEventLoop) -> int:
        iso = frozenset(options.iso_listener)
        return await Door(loop, part.Place(options.run), listeners, options.worker, iso).run()

    part.run("door", run)


if __name__ == "__main__":
    main()
