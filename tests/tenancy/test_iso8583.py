"""A tenant's iso8583 section: every fault with its place, and nothing sound that can't be built."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tansywood.iso8583.codec import Codec
from tansywood.iso8583.dialect import BUILT_IN, built_in
from tansywood.iso8583.framing import Framing
from tansywood.service.isoshape import dialect_of, mapping_of
from tansywood.tenancy.checks import faults
from tansywood.tenancy.settings import read

from .documents import document, spoilt

DIALECTS = Path("tansywood/iso8583/dialects")
WHOLE = json.loads((DIALECTS / "basic1987.json").read_text())
SECTION: dict[str, Any] = {
    "dialect": "basic1987",
    "rules": [
        {"class": "balance", "mti": "02", "processing": "31"},
        {"class": "credit", "mti": "02"},
    ],
}
CALLERS = {"listeners": ["tills"], "key_required": False}
LISTENERS = frozenset({"public", "tills"})
ISO = frozenset({"tills"})


def rules(*rows: list[str]) -> dict[str, Any]:
    return {"iso8583": SECTION | {"rules": [{"class": c, "mti": mti} for c, mti in rows]}}


def without(number: str) -> dict[str, Any]:
    """A whole dialect that lacks a field."""
    fields = {n: row for n, row in WHOLE["fields"].items() if n != number}
    return {"iso8583": SECTION | {"dialect": WHOLE | {"fields": fields}}}


def made(**over: Any) -> dict[str, Any]:
    return document(**({"callers": CALLERS, "iso8583": SECTION} | over))


def places(found: list[Any]) -> list[str]:
    return [fault.path for fault in found]


def test_a_sound_section_has_no_fault_by_name_or_whole() -> None:
    assert faults(made(), LISTENERS, ISO) == []
    assert faults(made(iso8583=SECTION | {"dialect": WHOLE}), LISTENERS, ISO) == []


def test_the_dialects_that_are_told_of_are_those_that_come_with_the_program() -> None:
    assert sorted(BUILT_IN) == sorted(p.stem for p in DIALECTS.glob("*.json"))
    assert all(built_in(name).fields for name in BUILT_IN)


@pytest.mark.parametrize(
    ("over", "place"),
    [
        ({"iso8583": SECTION | {"dialect": "nosuch"}}, "/iso8583/dialect"),
        ({"iso8583": SECTION | {"dialect": WHOLE | {"bitmap": "x"}}}, "/iso8583/dialect/bitmap"),
        (without("39"), "/iso8583/dialect/fields"),
        (without("70"), "/iso8583/dialect/fields"),
        ({"iso8583": SECTION | {"retry_field": 52}}, "/iso8583/retry_field"),
        ({"iso8583": SECTION | {"retry_field": 100}}, "/iso8583/retry_field"),
        ({"iso8583": SECTION | {"length": "ascii5"}}, "/iso8583/length"),
        ({"iso8583": SECTION | {"rules": []}}, "/iso8583/rules"),
        (rules(["x", "02"]), "/iso8583/rules/0/class"),
        (rules(["credit", "Z"]), "/iso8583/rules/0/mti"),
        ({"iso8583": SECTION | {"codes": {"in_doubt": ["91"]}}}, "/iso8583/codes"),
        ({"callers": {"key_required": False}}, "/callers/listeners"),
        ({"callers": {"listeners": ["tills"]}}, "/callers/key_required"),
        ({"callers": CALLERS | {"hosts": ["a.example.org"]}}, "/callers/hosts"),
        ({"callers": CALLERS | {"listeners": ["public"]}}, "/callers/listeners/0"),
    ],
)  # fmt: skip
def test_each_fault_has_its_place(over: dict[str, Any], place: str) -> None:
    assert place in places(faults(made(**over), LISTENERS, ISO))


def test_an_http_tenant_can_not_have_a_listener_of_iso_8583() -> None:
    found = faults(document(callers={"listeners": ["tills"]}), LISTENERS, ISO)
    assert places(found) == ["/callers/listeners/0"]


@pytest.mark.parametrize("seed", range(4))
def test_whatever_is_found_sound_can_be_built(seed: int) -> None:
    """And nothing raises, whatever the document is."""
    rng = Random(seed)
    whole = made(iso8583=SECTION | {"dialect": WHOLE})
    built = 0
    for _ in range(400):
        one = spoilt(rng, copy.deepcopy(whole), part=rng.choice((0.002, 0.01, 0.08)))
        if faults(one) or not isinstance(one.get("iso8583"), dict):
            continue
        iso = read(one).iso8583
        assert iso is not None
        Codec(dialect_of(iso))
        Framing(iso.length, iso.own_length, iso.tpdu)
        mapping_of(iso)
        built += 1
    assert built > 10
