"""Refusals of a stream at either end, without sockets, and with each check disabled.

Two streams in one process are joined by transports that buffer what is written. An attack makes the
bytes that the receiving end reads. The receiving end has to refuse them: it delivers no message,
closes the connection, counts one refusal under its reason, and reports the reason to its owner.
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
MESSAGE = Acknowledge(7)
PEER = ("10.1.2.3", 4567)


class BufferingTransport:
    """Buffers what is written, and reports its closing to the stream."""

    def __init__(self, stream: SealedStream) -> None:
        self.stream = stream
        self.written = bytearray()
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def take_written(self) -> bytes:
        data = bytes(self.written)
        self.written.clear()
        return data

    def get_extra_info(self, name: str) -> object:
        return PEER if name == "peername" else None

    def set_write_buffer_limits(self, high: int) -> None:
        """This transport has no limit."""

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.stream.connection_lost(None)

    close = abort


class StreamEnd:
    """One end of a connection, with the events that its stream reported."""

    def __init__(self, connector: bool, key: bytes = KEY, fleet: str = FLEET) -> None:
        self.received_messages: list[Message] = []
        self.close_reason = ""
        self.refused: Counter[str] = Counter()
        self.stream = stream_module.SealedStream(
            self, lambda: [key], fleet, connector, self.refused
        )
        self.transport = BufferingTransport(self.stream)
        self.stream.connection_made(cast(asyncio.Transport, self.transport))
        self.life = bytes(self.transport.written)

    def opened(self, stream: SealedStream) -> None:
        """The other end's life has arrived."""

    def received(self, stream: SealedStream, message: Message) -> None:
        self.received_messages.append(message)

    def writable(self, stream: SealedStream) -> None:
        """The stream is never paused."""

    def closed(self, stream: SealedStream, why: str) -> None:
        self.close_reason = why

    def receive(self, data: bytes) -> None:
        self.stream.data_received(data)


class Pair:
    """A receiving and a sending end that have exchanged their lives."""

    def __init__(self, connector: bool, key: bytes = KEY, fleet: str = FLEET) -> None:
        """`connector` applies to the receiving end, `key` and `fleet` to the sending end."""
        self.receiver = StreamEnd(connector)
        self.sender = StreamEnd(not connector, key, fleet)
        self.receiver.receive(self.sender.transport.take_written())
        self.sender.receive(self.receiver.transport.take_written())

    def make_frame(self) -> bytes:
        """Send one message. Returns the frame that the sender wrote."""
        self.sender.stream.send(MESSAGE)
        return self.sender.transport.take_written()


def frame(data: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(data)) + data


# ---- attacks: each returns the receiving end after it has read the attack's bytes --------------


def another_key(connector: bool) -> StreamEnd:
    pair = Pair(connector, key=OTHER_KEY)
    pair.receiver.receive(pair.make_frame())
    return pair.receiver


def another_fleet(connector: bool) -> StreamEnd:
    pair = Pair(connector, fleet=OTHER_FLEET)
    pair.receiver.receive(pair.make_frame())
    return pair.receiver


def altered(connector: bool) -> StreamEnd:
    pair = Pair(connector)
    data = bytearray(pair.make_frame())
    data[-1] ^= 1
    pair.receiver.receive(bytes(data))
    return pair.receiver


def truncated(connector: bool) -> StreamEnd:
    pair = Pair(connector)
    pair.receiver.receive(pair.make_frame()[:-1])
    pair.receiver.transport.abort()
    return pair.receiver


def unsealed(connector: bool) -> StreamEnd:
    pair = Pair(connector)
    pair.receiver.receive(frame(pack(MESSAGE).ljust(64, b"\0")))
    return pair.receiver


def oversize(connector: bool) -> StreamEnd:
    pair = Pair(connector)
    pair.receiver.receive(FRAME_LENGTH.pack(MAX_SEALED_BYTES + 1))
    return pair.receiver


def sent_twice(connector: bool) -> StreamEnd:
    pair = Pair(connector)
    data = pair.make_frame()
    pair.receiver.receive(data)
    assert pair.receiver.received_messages.pop() == MESSAGE
    pair.receiver.receive(data)
    return pair.receiver


def replayed_connection(connector: bool) -> StreamEnd:
    """Replay everything that one end sent on an earlier connection, including its life."""
    earlier = Pair(connector)
    played = earlier.sender.life + earlier.make_frame()
    receiver = StreamEnd(connector)
    receiver.receive(played)
    return receiver


ATTACKS: dict[str, tuple[Callable[[bool], StreamEnd], str]] = {
    "another key": (another_key, "stranger"),
    "another fleet": (another_fleet, "forged"),
    "altered": (altered, "forged"),
    "truncated": (truncated, "truncated"),
    "unsealed": (unsealed, "version"),
    "oversize": (oversize, "oversize"),
    "sent twice": (sent_twice, "replay"),
    "replayed connection": (replayed_connection, "forged"),
}


def is_refused(name: str, connector: bool) -> bool:
    """Whether an attack is refused, counted once, and ends the connection with its remedy."""
    attack, reason = ATTACKS[name]
    end = attack(connector)
    has_remedy = REMEDIES[reason] in end.close_reason and end.stream.refusal == reason
    return (
        not end.received_messages
        and end.transport.closed
        and has_remedy
        and end.refused == {reason: 1}
    )


@pytest.mark.parametrize("connector", [True, False], ids=["at a subscriber", "at a source"])
@pytest.mark.parametrize("name", ATTACKS)
def test_an_attack_is_refused_and_counted(name: str, connector: bool) -> None:
    assert is_refused(name, connector)


@pytest.mark.parametrize("connector", [True, False])
def test_sealed_messages_are_received(connector: bool) -> None:
    pair = Pair(connector)
    pair.receiver.receive(pair.make_frame() + pair.make_frame())
    assert pair.receiver.received_messages == [MESSAGE, MESSAGE]
    assert not pair.receiver.refused and not pair.receiver.transport.closed


@pytest.mark.parametrize("connector", [True, False])
def test_no_byte_of_a_frame_can_be_altered(connector: bool) -> None:
    length = len(Pair(connector).make_frame())
    for position in range(FRAME_LENGTH.size, length):
        pair = Pair(connector)
        data = bytearray(pair.make_frame())
        data[position] ^= 0x40
        pair.receiver.receive(bytes(data))
        assert not pair.receiver.received_messages and pair.receiver.transport.closed, position
        assert pair.receiver.refused.total() == 1, position


# ---- disabled checks -------------------------------------------------------------------------


class UnboundSeal(Seal):
    """A seal that does not cover the fleet's name and the two lives of the connection."""

    def __init__(self, keys: Sequence[bytes], bound: bytes, life: bytes) -> None:
        super().__init__(keys, b"", life)


class UnsealedStream(SealedStream):
    """Accepts messages without a valid seal."""

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
    """Closes the connection without counting the refusal."""

    def refuse(self, reason: str, what: str) -> None:
        self._buffer.clear()
        self.abort(what)


class KeepOpenStream(SealedStream):
    """Counts the refusal but keeps the connection open."""

    def refuse(self, reason: str, what: str) -> None:
        self._refused[reason] += 1


Patch = tuple[object, str, object]
DISABLED_CHECKS: dict[str, tuple[Patch, set[str]]] = {
    "the seal's bounds": (
        (stream_module, "Seal", UnboundSeal),
        {"another fleet", "replayed connection"},
    ),
    "counters": (
        (seal_module._Window, "fresh", lambda _self, _counter: True),
        {"sent twice"},
    ),
    "the length": ((stream_module, "MAX_SEALED_BYTES", 1 << 32), {"oversize"}),
    "seals": (
        (stream_module, "SealedStream", UnsealedStream),
        {
            "another key",
            "another fleet",
            "altered",
            "unsealed",
            "sent twice",
            "replayed connection",
        },
    ),
    "counting": (
        (stream_module, "SealedStream", UncountedStream),
        set(ATTACKS) - {"truncated"},
    ),
    "the end of the connection": (
        (stream_module, "SealedStream", KeepOpenStream),
        set(ATTACKS) - {"truncated"},
    ),
}


@pytest.mark.parametrize("check", DISABLED_CHECKS)
def test_the_attacks_detect_a_disabled_check(check: str, monkeypatch: pytest.MonkeyPatch) -> None:
    (where, name, replacement), found = DISABLED_CHECKS[check]
    monkeypatch.setattr(where, name, replacement)
    assert {attack for attack in ATTACKS if not is_refused(attack, True)} == found


def test_each_stream_has_a_life_of_its_own() -> None:
    lives = {StreamEnd(True).life for _ in range(100)}
    assert len(lives) == 100 and all(len(life) == LIFE_BYTES for life in lives)


def test_the_refusal_log_names_the_peer_and_the_remedy_at_a_limited_rate() -> None:
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
