"""Which views an agent puts into force: those that door and workers can take over, no others."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from tansywood.distribution.resources import ViewError, aliases_of
from tansywood.service import shape
from tansywood.service.readable import read_view
from tansywood.service.worker import keys_of, known_of
from tansywood.tenancy.identity import Key
from tansywood.tenancy.settings import ACTIVE, read

from ..tenancy.documents import ODD, document, spoilt


def view(**over: Any) -> dict[str, Any]:
    made = {
        "uid": "t",
        "status": ACTIVE,
        "version": 3,
        "document": document(),
        "since": {},
        "keys": [Key("k" * 12, "digest", "caller", "t").record()],
    }
    return made | over


def encoded(value: object) -> bytes:
    return msgspec.json.encode(value)


def test_what_the_publisher_sends_is_read_as_it_was() -> None:
    assert read_view("t", encoded(view())) == view()


@pytest.mark.parametrize(
    ("over", "why"),
    [
        ({"uid": "other"}, "other"),
        ({"status": "hibernating"}, "hibernating"),
        ({"status": ["active"]}, "active"),
        ({"keys": [{"id": "x"}]}, "digest"),
        ({"keys": ["x"]}, "mapping"),
        ({"document": document(classes=[])}, "put into force"),
        ({"document": document(servers=[])}, "can't be read"),
        ({"document": document(iso8583={"dialect": "unheard-of", "rules": []})}, "unheard-of"),
    ],
)
def test_what_cant_be_put_into_force_is_refused_with_the_reason(
    over: dict[str, Any], why: str
) -> None:
    with pytest.raises(ViewError, match=why) as caught:
        read_view("t", encoded(view(**over)))
    assert str(caught.value).startswith("tenant t: ")


def test_what_nests_without_end_is_refused() -> None:
    with pytest.raises(ViewError):
        read_view("t", b'{"uid":"t","document":' + b"[" * 100_000)


@pytest.mark.parametrize("seed", range(20))
def test_whatever_is_spoilt_it_is_refused_or_can_be_taken_over(seed: int) -> None:
    rng = Random(seed)
    taken = 0
    for _ in range(200):
        made = view(document=spoilt(rng, document(), 0.03))
        if rng.random() < 0.1:
            made[rng.choice(("keys", "since", "status", "version"))] = rng.choice(ODD)
        try:
            body = encoded(made)
        except OverflowError:
            continue  # a number that JSON of this encoder does not hold
        try:
            got = read_view("t", body)
        except ViewError:
            continue
        taken += 1
        assert known_of(got).uid == "t" and list(aliases_of(got))
        keys_of(got)
        settings = read(got["document"])
        shape.config("t", settings)
        shape.members(settings, got["since"], 1)
    assert taken > 20
