"""One connection's conversation as a state machine: messages in, events out. Pure.

Everything that affects the state of a conversation lives here, in one table for each role.
Clocks are passed in, in integer milliseconds that only grow; bytes and sockets are elsewhere.

    the front, to which terminals connect        a sign-on, echo or sign-off is answered here
    ------------------------------------------   -------------------------------------------
    OPEN       sign-on -> SIGNED                 a request -> refused where one has to sign on
    SIGNED     sign-on, echo -> SIGNED           a request -> Request
               sign-off -> LEAVING
    LEAVING    anything -> LEAVING               a request -> refused

    the link, which connects to a server         it signs on by itself, and echoes when idle
    ------------------------------------------   -------------------------------------------
    OPEN       start -> SIGNING                  sends nothing else
    SIGNING    approved -> SIGNED                declined or late -> Broken
    SIGNED     an answer that matches -> Answer  one that matches nothing -> Stray
               quiet for long -> an echo         no answer to it in time -> Broken
    BROKEN     nothing is sent any more          what was outstanding is told, each once

Codes of field 70 are those of ISO 8583:1987 as most networks use them: 001 sign-on, 002
sign-off, 301 echo.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from tansywood.iso8583.codec import Message, Value, response_mti

SIGN_ON, SIGN_OFF, ECHO = "001", "002", "301"
APPROVED = "00"
NOT_SIGNED_ON = "91"  # field 39: issuer or switch inoperative
STANS = 1_000_000  # 000001 to 999999, then again from 1


class State(Enum):
    OPEN = "open"
    SIGNING = "signing"
    SIGNED = "signed"
    LEAVING = "leaving"
    BROKEN = "broken"


class Request(NamedTuple):
    """A caller's message that is for the node."""

    message: Message


class Reply(NamedTuple):
    """What is to be sent back at once, by this conversation itself."""

    message: Message


class Answer(NamedTuple):
    """A server's answer to the request of this token."""

    token: Hashable
    message: Message


class Stray(NamedTuple):
    """An answer to nothing that is outstanding: late, twice, or with another's key. It must
    serve nobody."""

    message: Message


class Broken(NamedTuple):
    """The conversation is over; `outstanding` are the tokens that have no answer, in the order
    they were sent. Whether their bytes had left is the connection's to say."""

    why: str
    outstanding: tuple[Hashable, ...]


Event = Request | Reply | Answer | Stray | Broken


def is_management(message: Message) -> bool:
    return message.mti[1] == "8"


def is_request(message: Message) -> bool:
    """Whether it asks (an even third digit), else it answers."""
    return int(message.mti[2]) % 2 == 0


def match_key(message: Message) -> tuple[Value | None, ...]:
    """By which an answer is known: what it gives back of its request (ISO 8583:1987 4.3), as
    far as the request had it; without the MTI, whose answers differ by version."""
    get = message.fields.get
    return get(7), get(11), get(32), get(41)


def reply_to(message: Message, code: str, **more: Value) -> Message:
    """An answer made here: the fields that identify the request, and field 39."""
    kept = {n: v for n, v in message.fields.items() if n in (3, 4, 7, 11, 32, 37, 41, 42, 49, 70)}
    return Message(response_mti(message.mti), kept | {39: code})


@dataclass(slots=True)
class Front:
    """A terminal's conversation. Many requests may be open; their answers are the node's."""

    must_sign_on: bool = False
    state: State = State.OPEN
    management: int = 0  # messages answered here; a flood of them is its connection's trouble

    def received(self, message: Message) -> Event:
        """One message of the terminal's."""
        if not is_request(message):
            return Stray(message)
        if is_management(message):
            return self._managed(message)
        signed = self.state == State.SIGNED or (self.state == State.OPEN and not self.must_sign_on)
        return Request(message) if signed else Reply(reply_to(message, NOT_SIGNED_ON))

    def _managed(self, message: Message) -> Event:
        self.management += 1
        code = message.fields.get(70)
        if code == SIGN_ON and self.state != State.LEAVING:
            self.state = State.SIGNED
        elif code == SIGN_OFF:
            self.state = State.LEAVING
        elif code == SIGN_ON or code != ECHO:
            return Reply(reply_to(message, "12"))  # invalid transaction
        return Reply(reply_to(message, APPROVED))


class Stans:
    """Trace numbers of our own for one server, on all links to it: an answer is known by its
    number, whichever link it comes on. A number that was given back rests until no answer to its
    former request can come any more."""

    def __init__(self, rest_ms: int, first: int = 1) -> None:
        self.rest_ms = rest_ms
        self._next = first
        self._out: set[int] = set()
        self._resting: OrderedDict[int, int] = OrderedDict()  # until when, in order

    def take(self, now: int) -> int | None:
        """The next one that is free; None where all are out or at rest."""
        while self._resting and next(iter(self._resting.values())) <= now:
            self._resting.popitem(last=False)
        if len(self._out) + len(self._resting) >= STANS - 1:
            return None
        while self._next in self._out or self._next in self._resting:
            self._step()
        stan = self._next
        self._out.add(stan)
        self._step()
        return stan

    def give(self, stan: int, now: int) -> None:
        self._out.discard(stan)
        self._resting[stan] = now + self.rest_ms

    def _step(self) -> None:
        self._next = self._next % (STANS - 1) + 1


@dataclass(slots=True)
class _Outstanding:
    token: Hashable
    key: tuple[Value | None, ...]
    caller: dict[int, Value]  # what the answer gives back to whoever asked


# Of the caller's: our own stand in their place on the way to the server.
REPLACED = (11,)


@dataclass(slots=True)
class Link:
    """A server's conversation: many messages outstanding, answers in any order.

    `echo_ms` of quiet before an echo, `patience_ms` for the answer to it and to a sign-on.
    """

    stans: Stans
    most: int  # messages outstanding at a time
    echo_ms: int = 30_000
    patience_ms: int = 5_000
    sign_on: bool = True
    state: State = State.OPEN
    out: dict[str, _Outstanding] = field(default_factory=dict)
    heard: int = 0  # when anything came last
    _waits: str = ""  # the trace number of a management message without an answer
    _until: int = 0

    def start(self, now: int, time: str) -> Message | None:
        """The first message to send, None where nobody signs on. `time` is field 7."""
        self.heard = now
        if not self.sign_on:
            self.state = State.SIGNED
            return None
        self.state = State.SIGNING
        return self._manage(now, time, SIGN_ON)

    def room(self) -> bool:
        """Whether one more request may be sent."""
        return self.state == State.SIGNED and len(self.out) < self.most

    def send(self, now: int, token: Hashable, message: Message) -> Message | None:
        """The message to send in the caller's place; None without room or trace numbers."""
        if not self.room():
            return None
        number = self.stans.take(now)
        if number is None:
            return None
        stan = f"{number:06d}"
        mine = Message(message.mti, message.fields | {11: stan})
        caller = {n: message.fields[n] for n in REPLACED if n in message.fields}
        self.out[stan] = _Outstanding(token, match_key(mine), caller)
        return mine

    def give_up(self, now: int, token: Hashable) -> bool:
        """Wait for this one's answer no longer; one that comes all the same is a stray."""
        for stan, entry in self.out.items():
            if entry.token == token:
                del self.out[stan]
                self.stans.give(int(stan), now)
                return True
        return False

    def received(self, now: int, message: Message) -> Event | None:
        """One message of the server's; None where it was for the conversation alone."""
        self.heard = now
        if is_request(message):
            if is_management(message):
                return Reply(reply_to(message, APPROVED))  # a server echoes, too
            return Stray(message)
        stan = message.fields.get(11)
        if is_management(message):
            return self._managed(now, stan, message)
        entry = self.out.get(stan) if isinstance(stan, str) else None
        if entry is None or entry.key != match_key(message):
            return Stray(message)
        assert isinstance(stan, str)
        del self.out[stan]
        self.stans.give(int(stan), now)
        back = {n: v for n, v in message.fields.items() if n not in REPLACED}
        return Answer(entry.token, Message(message.mti, back | entry.caller))

    def _managed(self, now: int, stan: Value | None, message: Message) -> Event | None:
        if not self._waits or stan != self._waits:
            return Stray(message)
        self.stans.give(int(self._waits), now)
        self._waits = ""
        if message.fields.get(39) != APPROVED:
            return self.broke("the server declined to talk")
        if self.state == State.SIGNING:
            self.state = State.SIGNED
        return None

    def tick(self, now: int, time: str) -> Message | Broken | None:
        """Now and then: an echo to send, or the end where one was not answered."""
        if self._waits:
            return self.broke("no answer to an echo or a sign-on") if now >= self._until else None
        if self.state == State.SIGNED and now - self.heard >= self.echo_ms:
            return self._manage(now, time, ECHO)
        return None

    def broke(self, why: str) -> Broken:
        """The connection has ended, or has to. What is outstanding is told once."""
        self.state = State.BROKEN
        tokens = tuple(entry.token for entry in self.out.values())
        for stan in (*self.out, self._waits):
            if stan:
                self.stans.give(int(stan), self.heard)
        self.out.clear()
        self._waits = ""
        return Broken(why, tokens)

    def _manage(self, now: int, time: str, code: str) -> Message | None:
        number = self.stans.take(now)
        if number is None:
            return None
        self._waits = f"{number:06d}"
        self._until = now + self.patience_ms
        return Message("0800", {7: time, 11: self._waits, 70: code})
