"""Messages in a stream, however it is split."""

from __future__ import annotations

import itertools
from random import Random

import pytest

from tansywood.iso8583.framing import TPDU, Framer, Framing, FramingError, answering, frame

FRAMINGS = [
    Framing(length, own, tpdu)
    for length in ("binary2", "binary4", "ascii4")
    for own in (False, True)
    for tpdu in (False, True)
]


def corpus(framing: Framing) -> tuple[bytes, list[tuple[bytes, bytes]]]:
    rng = Random(5)
    sent = [
        (rng.randbytes(TPDU) if framing.tpdu else b"", rng.randbytes(size))
        for size in (1, 30, 2, 7)
    ]
    return b"".join(frame(framing, body, tpdu) for tpdu, body in sent), sent


@pytest.mark.parametrize("framing", FRAMINGS, ids=str)
def test_every_split_of_a_stream_into_three_gives_the_same_messages(framing: Framing) -> None:
    stream, sent = corpus(framing)
    for one, two in itertools.combinations_with_replacement(range(len(stream) + 1), 2):
        framer = Framer(framing)
        got = framer.feed(stream[:one]) + framer.feed(stream[one:two]) + framer.feed(stream[two:])
        assert [tuple(f) for f in got] == sent and not framer.within


@pytest.mark.parametrize("framing", FRAMINGS, ids=str)
def test_one_byte_at_a_time_and_all_at_once(framing: Framing) -> None:
    stream, sent = corpus(framing)
    framer = Framer(framing)
    got = [f for byte in stream for f in framer.feed(bytes([byte]))]
    assert [tuple(f) for f in got] == sent
    assert [tuple(f) for f in Framer(framing).feed(stream * 50)] == sent * 50
    assert framer.feed(stream[:1]) == [] and framer.within


@pytest.mark.parametrize(
    ("framing", "data"),
    [
        (Framing("binary2", most=100), b"\xff\xff"),
        (Framing("binary2", own=True), b"\x00\x00"),
        (Framing("binary2", own=True), b"\x00\x01"),
        (Framing("ascii4"), b"00x1"),
        (Framing("ascii4"), b" 100"),
        (Framing("ascii4"), "²000".encode("latin-1")),
        (Framing("binary4", most=100), b"\x00\x00\x00\x65"),
        (Framing("binary2", tpdu=True), b"\x00\x05" + b"x" * 5),
    ],
)
def test_a_length_that_can_not_be_ends_the_stream_before_anything_is_held(
    framing: Framing, data: bytes
) -> None:
    with pytest.raises(FramingError):
        Framer(framing).feed(data)


def test_an_empty_message_is_a_sign_of_life() -> None:
    framing = Framing("binary2")
    assert Framer(framing).feed(b"\0\0" + frame(framing, b"x") + b"\0\0") == [(b"", b"x")]
    own = Framing("ascii4", own=True)
    assert Framer(own).feed(b"0004" + frame(own, b"x")) == [(b"", b"x")]


@pytest.mark.parametrize("seed", range(30))
def test_noise_is_messages_or_an_error_and_holds_no_more_than_one(seed: int) -> None:
    rng = Random(seed)
    framing = rng.choice(FRAMINGS)
    framer = Framer(framing)
    try:
        for _ in range(300):
            framer.feed(rng.randbytes(rng.randrange(1, 50)))
            assert len(framer._buffer) <= framing.most + 4
    except FramingError:
        pass


def test_what_can_not_be_framed_is_refused_and_an_answer_goes_back_where_it_came_from() -> None:
    for body, tpdu in ((b"", b""), (b"x" * 20_000, b""), (b"x", b"12345")):
        with pytest.raises(ValueError):
            frame(Framing(), body, tpdu)
    with pytest.raises(ValueError):
        Framing("binary3")
    with pytest.raises(ValueError):
        Framing("ascii4", most=10_000)
    assert answering(bytes.fromhex("6000010203")) == bytes.fromhex("6002030001")
