"""Strangers, replays, other fleets, keys in rotation: each has its answer."""

from __future__ import annotations

import msgspec
import pytest

from tansywood.fleet.messages import (
    Claim,
    ClaimEntry,
    Envelope,
    Hello,
    MessageError,
    Ping,
    Welcome,
    pack,
    unpack,
)
from tansywood.fleet.seal import (
    HEADER,
    WINDOW,
    KeyFileError,
    Seal,
    SealError,
    fleet_binding,
    read_keys,
)
from tests.fleet.worlds import world

A, B = b"a" * 32, b"b" * 32
BOUND = fleet_binding("dublin", ["10.0.0.1:1"])


def seal(life: int, *keys: bytes, bound: bytes = BOUND) -> Seal:
    return Seal(keys or (A,), bound, bytes([life]) * 16)


def why(at: Seal, data: bytes) -> str:
    with pytest.raises(SealError) as caught:
        at.open(data)
    return caught.value.reason


def test_what_one_seals_another_opens_once() -> None:
    one, other = seal(1), seal(2)
    data = one.seal(b"hello")
    assert other.open(data) == (one.life, b"hello")
    assert why(other, data) == "replay"
    behind = [one.seal(b"x") for _ in range(3)]
    assert [other.open(d)[1] for d in reversed(behind)] == [b"x"] * 3  # reordered, each once
    old = one.seal(b"old")
    for _ in range(WINDOW):
        other.open(one.seal(b"y"))
    assert why(other, old) == "replay"  # too far behind to be told from one


def test_every_changed_byte_is_found_out() -> None:
    one, other = seal(1), seal(2)
    data = one.seal(b"pay")
    for at in range(len(data)):
        bad = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        assert why(other, bad) in ("version", "stranger", "forged")
    for size in range(len(data)):
        assert why(other, data[:size]) in ("short", "forged")
    assert other.open(data)[1] == b"pay"


def test_a_stranger_and_another_fleet_are_not_read() -> None:
    other = seal(2)
    assert why(other, seal(1, B).seal(b"x")) == "stranger"
    assert (
        why(other, seal(1, A, bound=fleet_binding("cork", ["10.0.0.1:1"])).seal(b"x")) == "forged"
    )
    assert (
        why(other, seal(1, A, bound=fleet_binding("dublin", ["10.0.0.2:1"])).seal(b"x")) == "forged"
    )


def test_a_key_is_changed_without_a_gap() -> None:
    one, other = seal(1, A), seal(2, A)
    other.open(one.seal(b"1"))
    one.rekey([A, B])  # both know both ...
    other.rekey([A, B])
    old = one.seal(b"2")
    assert other.open(old)[1] == b"2"
    one.rekey([B, A])  # ... then one seals with the new
    assert other.open(one.seal(b"3"))[1] == b"3"
    assert why(other, old) == "replay"  # its window outlived the change
    one.rekey([B])
    assert why(one, other.seal(b"4")) == "stranger"  # the old one is over


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("", "holds no key"),
        ("# none\n", "holds no key"),
        ("00" * 31, "line 1"),
        ("\n" + "zz" * 32, "line 2"),
        ("00" * 32 + "\n" + "00" * 32, "line 2: this key is there twice"),
    ],
)
def test_a_key_file_that_is_none_is_told_by_its_line(text: str, told: str) -> None:
    with pytest.raises(KeyFileError, match=told):
        read_keys(text)


def test_what_is_no_message_is_turned_away() -> None:
    good = pack(Envelope("a", "10.0.0.1:1", b"", Ping(1, "b")))
    assert unpack(good).body == Ping(1, "b")
    for size in range(len(good)):
        with pytest.raises(MessageError):
            unpack(good[:size])
    too_long = Envelope("a" * 64, "10.0.0.1:1", b"", Hello())
    negative = Envelope("a", "10.0.0.1:1", b"", Claim(1, [ClaimEntry("x/rate", -1, 0)]))
    for bad in (too_long, negative):
        with pytest.raises(MessageError):
            unpack(pack(bad))
    assert HEADER.size == 29


def test_an_older_and_a_newer_version_read_one_another() -> None:
    old = ["b", "10.0.0.2:1", b"2" * 16, 5, 0, 0]  # before drains, version, zone, accuser
    new = [*old, True, "9", "east", "", "a field of the next version"]
    for row in (old, new):
        data = msgspec.msgpack.encode(["b", "10.0.0.2:1", b"1" * 16, ["s", [row], False]])
        (update,) = unpack(data).body.members  # type: ignore[union-attr]
        assert update.name == "b" and update.drains is (row is new)
    claim = msgspec.msgpack.encode(["b", "10.0.0.2:1", b"1" * 16, ["c", 7, [["x/rate", 1, 0]]]])
    assert unpack(claim).body == Claim(7, [ClaimEntry("x/rate", 1, 0)])


def test_what_was_said_to_an_earlier_life_changes_nothing() -> None:
    made = world(["a", "b"], 2, watched=False)
    made.run(3.0)
    a, b = (made.hosts[n].instance for n in "ab")
    assert a is not None and b is not None and b.granting.allocators
    before = b.granting.allocators[b.index].outstanding("cork/rate", made.clock(made.hosts["b"]))
    now = made.clock(made.hosts["b"])
    claim = Claim(10_000, [ClaimEntry("cork/rate", 150_000, 0)])
    b.messenger.outgoing.clear()
    b.receive(now, a.life, Envelope("a", a.address, b"\0" * 16, claim))
    assert [e.body for _, e in b.messenger.outgoing] == [Welcome()]  # who is here now, and no more
    assert b.granting.allocators[b.index].outstanding("cork/rate", now) == before
