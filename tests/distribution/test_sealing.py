"""What a stream refuses, at either end, without sockets; and each check taken out.

Two streams in one process, joined by transports that keep what is written. An attack makes what
the receiving end reads. It has to be refused: nothing is taken, the connection ends, one is counted
under its reason, and the reason is told to whoever logs or shows it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import cast

import pytest

from tansywood.distribution import stream as stream_module
from tansywood.distribution.messages import Acknowledge, Message, MessageError, pack, unpack
from tansywood.distribution.refusals import LOG_INTERVAL_NS, REMEDIES, RefusalLog
from tansywood.distribution.stream import FRAME_LENGTH, MAX_SEALED_BYTES, SealedStream
from tansywood.fleet import seal as seal_module
from tansywood.fleet.messages import LIFE_BYTES
from tansywood.fleet.seal import Seal, SealError

KEY, OTHER_KEY = bytes(range(32)), bytes(32)
FLEET, OTHER_FLEET = "fleet", "another"
SAID = Acknowledge(7)
PEER = ("10.1.2.3", 4567)


class KeptTransport:
    """Keeps what is written; closing it is told to its stream."""

    def __init__(self, stream: SealedStream) -> None:
        self.stream = stream
        self.written = bytearray()
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def take(self) -> bytes:
        data = bytes(self.written)
        self.written.clear()
        return data

    def get_extra_info(self, name: str) -> object:
        return PEER if name == "peername" else None

    def set_write_buffer_limits(self, high: int) -> None:
        """Nothing waits here."""

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.stream.connection_lost(None)

    close = abort


class End:
    """One end of a connection, and what its stream told."""

    def __init__(self, connector: bool, key: bytes = KEY, fleet: str = FLEET) -> None:
        self.taken: list[Message] = []
        self.why = ""
        self.refused: Counter[str] = Counter()
        self.stream = stream_module.SealedStream(
            self, lambda: [key], fleet, connector, self.refused
        )
        self.transport = KeptTransport(self.stream)
        self.stream.connection_made(cast(asyncio.Transport, self.transport))
        self.life = bytes(self.transport.written)

    def opened(self, stream: SealedStream) -> None:
        """The other end's life has come."""

    def received(self, stream: SealedStream, message: Message) -> None:
        self.taken.append(message)

    def writable(self, stream: SealedStream) -> None:
        """Never paused."""

    def closed(self, stream: SealedStream, why: str) -> None:
        self.why = why

    def hear(self, data: bytes) -> None:
        self.stream.data_received(data)


class Pair:
    """A receiving end and a sending one that have exchanged their lives."""

    def __init__(self, connector: bool, key: bytes = KEY, fleet: str = FLEET) -> None:
        """`connector` is the receiving end's side, key and fleet are the sending one's."""
        self.receiver = End(connector)
        self.sender = End(not connector, key, fleet)
        self.receiver.hear(self.sender.transport.take())
        self.sender.hear(self.receiver.transport.take())

    def say(self) -> bytes:
        """What the sender makes of one message."""
        self.sender.stream.send(SAID)
        return self.sender.transport.take()


def frame(data: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(data)) + data


# ---- attacks: each returns the receiving end once it has read what was made -------------------


def another_key(connector: bool) -> End:
    pair = Pair(connector, key=OTHER_KEY)
    pair.receiver.hear(pair.say())
    return pair.receiver


def another_fleet(connector: bool) -> End:
    pair = Pair(connector, fleet=OTHER_FLEET)
    pair.receiver.hear(pair.say())
    return pair.receiver


def altered(connector: bool) -> End:
    pair = Pair(connector)
    data = bytearray(pair.say())
    data[-1] ^= 1
    pair.receiver.hear(bytes(data))
    return pair.receiver


def truncated(connector: bool) -> End:
    pair = Pair(connector)
    pair.receiver.hear(pair.say()[:-1])
    pair.receiver.transport.abort()
    return pair.receiver


def unsealed(connector: bool) -> End:
    pair = Pair(connector)
    pair.receiver.hear(frame(pack(SAID).ljust(64, b"\0")))
    return pair.receiver


def oversize(connector: bool) -> End:
    pair = Pair(connector)
    pair.receiver.hear(FRAME_LENGTH.pack(MAX_SEALED_BYTES + 1))
    return pair.receiver


def said_twice(connector: bool) -> End:
    pair = Pair(connector)
    data = pair.say()
    pair.receiver.hear(data)
    assert pair.receiver.taken.pop() == SAID
    pair.receiver.hear(data)
    return pair.receiver


def recorded(connector: bool) -> End:
    """All that one end said on an earlier connection, its life included."""
    earlier = Pair(connector)
    played = earlier.sender.life + earlier.say()
    receiver = End(connector)
    receiver.hear(played)
    return receiver


ATTACKS: dict[str, tuple[Callable[[bool], End], str]] = {
    "another key": (another_key, "stranger"),
    "another fleet": (another_fleet, "forged"),
    "altered": (altered, "forged"),
    "truncated": (truncated, "truncated"),
    "unsealed": (unsealed, "version"),
    "oversize": (oversize, "oversize"),
    "said twice": (said_twice, "replay"),
    "recorded": (recorded, "forged"),
}


def refuses(name: str, connector: bool) -> bool:
    """Whether an attack is refused, counted once, and ends the connection with its remedy."""
    attack, reason = ATTACKS[name]
    end = attack(connector)
    told = REMEDIES[reason] in end.why and end.stream.refusal == reason
    return not end.taken and end.transport.closed and told and end.refused == {reason: 1}


@pytest.mark.parametrize("connector", [True, False], ids=["at a subscriber", "at a source"])
@pytest.mark.parametrize("name", ATTACKS)
def test_it_is_refused_and_counted(name: str, connector: bool) -> None:
    assert refuses(name, connector)


@pytest.mark.parametrize("connector", [True, False])
def test_what_is_sealed_for_us_is_taken(connector: bool) -> None:
    pair = Pair(connector)
    pair.receiver.hear(pair.say() + pair.say())
    assert pair.receiver.taken == [SAID, SAID]
    assert not pair.receiver.refused and not pair.receiver.transport.closed


@pytest.mark.parametrize("connector", [True, False])
def test_no_byte_of_a_frame_can_be_altered(connector: bool) -> None:
    length = len(Pair(connector).say())
    for place in range(FRAME_LENGTH.size, length):
        pair = Pair(connector)
        data = bytearray(pair.say())
        data[place] ^= 0x40
        pair.receiver.hear(bytes(data))
        assert not pair.receiver.taken and pair.receiver.transport.closed, place
        assert pair.receiver.refused.total() == 1, place


# ---- checks taken out ------------------------------------------------------------------------


class UnboundSeal(Seal):
    """Seals are not bound to the fleet's name and the connection's two lives."""

    def __init__(self, keys: Sequence[bytes], bound: bytes, life: bytes) -> None:
        super().__init__(keys, b"", life)


class OpenStream(SealedStream):
    """Takes what is not sealed."""

    def _open_frame(self, data: bytes) -> None:
        assert self._seal is not None
        try:
            _, body = self._seal.open(data)
        except SealError:
            body = data.rstrip(b"\0")
        try:
            self._owner.received(self, unpack(body))
        except MessageError as err:
            self.refuse("message", str(err))


class UncountedStream(SealedStream):
    """Ends the connection and counts nothing."""

    def refuse(self, reason: str, what: str) -> None:
        self._buffer.clear()
        self.abort(what)


class ForgivingStream(SealedStream):
    """Counts, and goes on with the connection."""

    def refuse(self, reason: str, what: str) -> None:
        self._refused[reason] += 1


Patch = tuple[object, str, object]
CHECKS: dict[str, tuple[Patch, set[str]]] = {
    "the seal's bounds": (
        (stream_module, "Seal", UnboundSeal),
        {"another fleet", "recorded"},
    ),
    "counters": (
        (seal_module._Window, "fresh", lambda _self, _counter: True),
        {"said twice"},
    ),
    "the length": ((stream_module, "MAX_SEALED_BYTES", 1 << 32), {"oversize"}),
    "seals": (
        (stream_module, "SealedStream", OpenStream),
        {"another key", "another fleet", "altered", "unsealed", "said twice", "recorded"},
    ),
    "counting": (
        (stream_module, "SealedStream", UncountedStream),
        set(ATTACKS) - {"truncated"},
    ),
    "the end of the connection": (
        (stream_module, "SealedStream", ForgivingStream),
        set(ATTACKS) - {"truncated"},
    ),
}


@pytest.mark.parametrize("check", CHECKS)
def test_a_check_that_is_taken_out_is_found(check: str, monkeypatch: pytest.MonkeyPatch) -> None:
    (where, name, replacement), found = CHECKS[check]
    monkeypatch.setattr(where, name, replacement)
    assert {attack for attack in ATTACKS if not refuses(attack, True)} == found


def test_a_life_is_never_used_twice() -> None:
    lives = {End(True).life for _ in range(100)}
    assert len(lives) == 100 and all(len(life) == LIFE_BYTES for life in lives)


def test_the_log_names_the_peer_and_the_remedy_and_is_bounded() -> None:
    lines: list[str] = []
    log = RefusalLog(lines.append)
    for number in range(1, 1001):
        log.record("stranger", number, "10.1.2.3:4567", REMEDIES["stranger"], number)
    log.record("forged", 1, "10.1.2.4:1", "another fleet's", 2_000)
    log.record("stranger", 1001, "10.1.2.5:1", "again", LOG_INTERVAL_NS + 1)
    assert [line.split(",")[0] for line in lines] == [
        "refused (stranger",
        "refused (forged",
        "refused (stranger",
    ]
    assert "10.1.2.3:4567" in lines[0] and "same key file" in lines[0]
    assert "1001 so far" in lines[2]


def test_each_reason_of_a_seal_has_a_remedy() -> None:
    assert set(seal_module.REFUSAL_REASONS) <= set(REMEDIES)
