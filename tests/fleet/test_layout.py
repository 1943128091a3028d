"""The encoded bytes of every message. Instances of older versions read and send exactly these, so a
rename in the program must not change them."""

from __future__ import annotations

import pytest

from tansywood.fleet.messages import (
    Ack,
    Body,
    Carried,
    Claim,
    ClaimEntry,
    Envelope,
    Grant,
    GrantEntry,
    Hello,
    MemberUpdate,
    Nack,
    Observation,
    Ping,
    PingFor,
    Return,
    Sync,
    Welcome,
    pack,
    unpack,
)

UPDATE = MemberUpdate("a", "10.0.0.1:1", b"l" * 16, 7, 1, 1, True, "1", "z", "b")
CLAIM = Claim(2, [ClaimEntry("t/rate", 5, 3)], [Observation("t/s", 1, 9)], 1)
GRANT = Grant(2, [GrantEntry("t/rate", 4)], ["t/s"], ["t/q"], 1)
HEADER_HEX = "94a161aa31302e302e302e313a31c410" + "74" * 16
UPDATE_HEX = "9aa161aa31302e302e302e313a31c410" + "6c" * 16 + "070101c3a131a17aa162"


@pytest.mark.parametrize(
    ("body", "data"),
    [
        (Hello(), "91a168"),
        (Welcome(), "91a177"),
        (Ping(1, "b", [UPDATE]), "94a17001a16291" + UPDATE_HEX),
        (PingFor(1, "b", [UPDATE]), "94a17101a16291" + UPDATE_HEX),
        (Ack(1, [UPDATE]), "93a1610191" + UPDATE_HEX),
        (Nack(1), "92a16e01"),
        (Sync([UPDATE], True), "93a17391" + UPDATE_HEX + "c3"),
        (CLAIM, "95a163029193a6742f7261746505039193a3742f73010901"),
        (GRANT, "96a167029192a6742f726174650491a3742f7391a3742f7101"),
        (Return(3, 2), "93a1720302"),
        (Carried(b"x"), "92a178c40178"),
    ],
    ids=lambda value: None if isinstance(value, str) else type(value).__name__,
)
def test_a_message_keeps_its_encoding(body: Body, data: str) -> None:
    envelope = Envelope("a", "10.0.0.1:1", b"t" * 16, body)
    assert pack(envelope).hex() == HEADER_HEX + data
    assert unpack(bytes.fromhex(HEADER_HEX + data)) == envelope
