"""The encoding of messages between lease clients, compared with recorded bytes. Instances of older
versions send and read exactly these bytes, so renamed fields must not change them."""

from __future__ import annotations

import msgspec
import pytest

from tansywood.lease.fragments import Fragment
from tansywood.lease.messages import (
    ClientMessage,
    DiskBehind,
    GrantNotice,
    LeaseReply,
    LeaseRequest,
    TableQuery,
    TableReply,
    VoterAnnouncement,
    pack,
    unpack,
)


@pytest.mark.parametrize(
    ("message", "data"),
    [
        (VoterAnnouncement(True), "92a468657265c3"),
        (DiskBehind(4), "92a6626568696e6404"),
        (GrantNotice(), "91a4706f6b65"),
        (TableQuery(), "91a171"),
        (TableReply((("t", "a/1", 5),)), "92a1729193a174a3612f3105"),
        (
            LeaseRequest("a/1", 2, ("t",), (("u", 3, "b/2"),), 1),
            "96a361736ba3612f310291a1749193a17503a3622f3201",
        ),
        (
            LeaseReply(2, True, (("t", 5),), "a/1", ("b/2",)),
            "96a4746f6c6402c39192a17405a3612f3191a3622f32",
        ),
    ],
    ids=lambda value: None if isinstance(value, str) else type(value).__name__,
)
def test_message_encoding_matches_the_recorded_bytes(message: ClientMessage, data: str) -> None:
    assert pack(message).hex() == data
    assert unpack(bytes.fromhex(data)) == message


def test_fragment_encoding_matches_the_recorded_bytes() -> None:
    fragment = Fragment("g", "a/1", "b/2", 3, 800, 7, 1, 2, b"x")
    data = "9aa16ca167a3612f31a3622f3203cd0320070102c40178"
    assert msgspec.msgpack.encode(fragment).hex() == data
    assert msgspec.msgpack.decode(bytes.fromhex(data), type=Fragment) == fragment
