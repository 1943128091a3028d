"""Sealed datagrams, key files and message decoding: each invalid input is refused."""

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
    REPLAY_WINDOW_COUNT,
    KeyFileError,
    Seal,
    SealError,
    fleet_binding,
    read_keys,
)
from tests.fleet.worlds import world

A, B = b"a" * 32, b"b" * 32
BINDING = fleet_binding("dublin", ["10.0.0.1:1"])


def seal_of(life: int, *keys: bytes, binding: bytes = BINDING) -> Seal:
    return Seal(keys or (A,), binding, bytes([life]) * 16)


def refusal(receiver: Seal, data: bytes) -> str:
    with pytest.raises(SealError) as caught:
        receiver.open(data)
    return caught.value.reason


def test_sealed_datagram_opens_once_and_a_replay_is_refused() -> None:
    sender, receiver = seal_of(1), seal_of(2)
    data = sender.seal(b"hello")
    assert receiver.open(data) == (sender.life, b"hello")
    assert refusal(receiver, data) == "replay"
    behind = [sender.seal(b"x") for _ in range(3)]
    assert [receiver.open(d)[1] for d in reversed(behind)] == [b"x"] * 3  # reordered, each once
    old = sender.seal(b"old")
    for _ in range(REPLAY_WINDOW_COUNT):
        receiver.open(sender.seal(b"y"))
    assert refusal(receiver, old) == "replay"  # too far behind to be told from a replay


def test_changed_or_truncated_datagram_is_refused() -> None:
    sender, receiver = seal_of(1), seal_of(2)
    data = sender.seal(b"pay")
    for at in range(len(data)):
        bad = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        assert refusal(receiver, bad) in ("version", "stranger", "forged")
    for size in range(len(data)):
        assert refusal(receiver, data[:size]) in ("short", "forged")
    assert receiver.open(data)[1] == b"pay"


def test_unknown_key_and_another_fleets_datagrams_are_refused() -> None:
    receiver = seal_of(2)
    assert refusal(receiver, seal_of(1, B).seal(b"x")) == "stranger"
    assert (
        refusal(receiver, seal_of(1, A, binding=fleet_binding("cork", ["10.0.0.1:1"])).seal(b"x"))
        == "forged"
    )
    assert (
        refusal(receiver, seal_of(1, A, binding=fleet_binding("dublin", ["10.0.0.2:1"])).seal(b"x"))
        == "forged"
    )


def test_key_rotation_loses_no_datagram_and_keeps_replay_windows() -> None:
    sender, receiver = seal_of(1, A), seal_of(2, A)
    receiver.open(sender.seal(b"1"))
    sender.rekey([A, B])  # both sides have both keys
    receiver.rekey([A, B])
    old = sender.seal(b"2")
    assert receiver.open(old)[1] == b"2"
    sender.rekey([B, A])  # the sender then seals with the new key
    assert receiver.open(sender.seal(b"3"))[1] == b"3"
    assert refusal(receiver, old) == "replay"  # the replay window is kept across the rotation
    sender.rekey([B])
    assert refusal(sender, receiver.seal(b"4")) == "stranger"  # the old key is no longer accepted


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", "holds no key"),
        ("# none\n", "holds no key"),
        ("00" * 31, "line 1"),
        ("\n" + "zz" * 32, "line 2"),
        ("00" * 32 + "\n" + "00" * 32, "line 2: this key is listed twice"),
    ],
)
def test_invalid_key_file_is_refused_with_the_line_at_fault(text: str, fault: str) -> None:
    with pytest.raises(KeyFileError, match=fault):
        read_keys(text)


def test_truncated_or_out_of_range_message_is_refused() -> None:
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


def test_messages_of_older_and_newer_versions_are_decoded() -> None:
    old = ["b", "10.0.0.2:1", b"2" * 16, 5, 0, 0]  # without drains, version, zone, accuser
    new = [*old, True, "9", "east", "", "a field of the next version"]
    for row in (old, new):
        data = msgspec.msgpack.encode(["b", "10.0.0.2:1", b"1" * 16, ["s", [row], False]])
        (update,) = unpack(data).body.members  # type: ignore[union-attr]
        assert update.name == "b" and update.drains is (row is new)
    claim = msgspec.msgpack.encode(["b", "10.0.0.2:1", b"1" * 16, ["c", 7, [["x/rate", 1, 0]]]])
    assert unpack(claim).body == Claim(7, [ClaimEntry("x/rate", 1, 0)])


def test_claim_to_an_earlier_life_changes_no_allocation() -> None:
    simulation = world(["a", "b"], 2, watched=False)
    simulation.run(3.0)
    a, b = (simulation.hosts[n].instance for n in "ab")
    assert a is not None and b is not None and b.granting.allocators
    before = b.granting.allocators[b.index].outstanding(
        "cork/rate", simulation.clock(simulation.hosts["b"])
    )
    now = simulation.clock(simulation.hosts["b"])
    claim = Claim(10_000, [ClaimEntry("cork/rate", 150_000, 0)])
    b.messenger.outgoing.clear()
    b.receive(now, a.life, Envelope("a", a.address, b"\0" * 16, claim))
    # The answer names the present life and carries no grant.
    assert [e.body for _, e in b.messenger.outgoing] == [Welcome()]
    assert b.granting.allocators[b.index].outstanding("cork/rate", now) == before
