"""Dialects and messages drawn from a seed."""

from __future__ import annotations

from random import Random
from typing import Any

from tansywood.iso8583.codec import Message, Value
from tansywood.iso8583.dialect import Dialect, FieldSpec, parse

TEXTS = ("ascii", "cp037", "cp500")
CHARS = {
    "n": "0123456789",
    "a": "ABCxyz ",
    "an": "AZaz09 ",
    "ans": "".join(map(chr, range(0x20, 0x7F))),
    "z": "0123456789=",
}


def a_dialect(rng: Random) -> Dialect:
    """Any there may be: every encoding, content and form, and tertiary bitmaps."""
    text = rng.choice(TEXTS)
    tertiary = rng.choice(("none", "contiguous", "field-65"))
    top = 192 if tertiary != "none" else 128
    numbers = rng.sample([n for n in range(2, top + 1) if n != 65], 30)
    fields: dict[str, Any] = {}
    for number in numbers:
        content = rng.choice(("n", "a", "an", "ans", "z", "x+n", "b"))
        row: dict[str, Any] = {"content": content}
        length = rng.randrange(2, 40)
        if rng.random() < 0.5 and content != "x+n":
            form = rng.choice(("LL", "LLL"))
            prefix = rng.choice((*TEXTS, "bcd", "binary"))
            row |= {"form": form, "max": length, "prefix": prefix}
        else:
            row["length"] = length
        if content in ("n", "z") and rng.random() < 0.5:
            row["encoding"] = "bcd"
            row |= {"pad_left": rng.random() < 0.5, "pad": rng.choice("0f")}
        fields[str(number)] = row
    return parse(
        {
            "name": "drawn",
            "version": rng.choice((1987, 1993, 2003)),
            "text": text,
            "mti": rng.choice((text, "bcd")),
            "bitmap": rng.choice(("binary", "hex", "hex-cp037", "hex-cp500")),
            "tertiary": tertiary,
            "fields": fields,
        }
    )


def a_value(rng: Random, spec: FieldSpec) -> Value:
    size = rng.randrange(0, spec.length + 1) if spec.digits else spec.length
    if spec.content == "b":
        return rng.randbytes(size)
    if spec.content == "x+n":
        return rng.choice("CD") + "".join(rng.choices("0123456789", k=size - 1))
    return "".join(rng.choices(CHARS[spec.content], k=size))


def a_message(rng: Random, dialect: Dialect) -> Message:
    digit = {1987: "0", 1993: "1", 2003: "2"}[dialect.version]
    mti = digit + rng.choice(("200", "201", "210", "400", "420", "800"))
    count = rng.randrange(0, len(dialect.fields) + 1)
    numbers = rng.sample(sorted(dialect.fields), count)
    return Message(mti, {n: a_value(rng, dialect.fields[n]) for n in numbers})
