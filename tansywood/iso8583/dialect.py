"""A dialect: what a member network's messages look like on the wire, as data with checks.

ISO 8583:1987, :1993 and :2003 leave encodings to the parties; the differences between networks
are mostly here. A dialect is a JSON file; `load` names every fault in it with its place.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

VERSIONS = {1987: "0", 1993: "1", 2003: "2"}  # the first digit of the MTI
TEXTS = ("ascii", "cp037", "cp500")  # the last two are EBCDIC
CONTENTS = ("n", "a", "an", "ans", "z", "x+n", "b")
FORMS = {"L": 1, "LL": 2, "LLL": 3, "LLLL": 4}
MAX_FIELD = 9999
BUILT_IN = ("basic1987",)  # by their files in dialects/
BITMAPS = ("binary", "hex", "hex-cp037", "hex-cp500")
TERTIARY = ("none", "contiguous", "field-65")


class DialectError(ValueError):
    """The file can't be used; `faults` are its places and what is wrong there."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class FieldSpec:
    """One field. `length` is the fixed length or the longest; in digits, characters or bytes,
    whichever its content counts. `digits` is how many a length prefix has, 0 where it is fixed."""

    number: int
    name: str
    content: str
    encoding: str  # a text encoding, bcd, or binary
    length: int
    digits: int = 0
    prefix: str = "ascii"  # a text encoding, bcd, or binary
    pad_left: bool = True  # of an odd number of BCD digits
    pad: str = "0"


@dataclass(frozen=True, slots=True)
class Dialect:
    name: str
    version: int
    mti: str  # a text encoding or bcd
    bitmap: str
    tertiary: str
    fields: Mapping[int, FieldSpec]


def load(path: str | Path) -> Dialect:
    """Read and check a dialect; DialectError, or OSError where there is no such file."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except (ValueError, RecursionError) as err:
        raise DialectError([f"it is no JSON: {err}"]) from None
    return parse(raw)


@cache
def built_in(name: str) -> Dialect:
    """One that comes with the program; OSError for any other name."""
    return load(Path(__file__).parent / "dialects" / f"{name}.json")


def parse(raw: Any) -> Dialect:
    """Check a dialect's JSON; DialectError names every fault."""
    faults: list[str] = []
    if not isinstance(raw, dict):
        raise DialectError(["it is no JSON object"])
    known = {"name", "version", "mti", "bitmap", "tertiary", "fields", "text", "prefix"}
    faults += [f"/{key}: is not known" for key in raw if key not in known]

    def choice(key: str, allowed: tuple[Any, ...], otherwise: Any) -> Any:
        value = raw.get(key, otherwise)
        if value not in allowed:
            faults.append(f"/{key}: {value!r:.40} is none of {', '.join(map(str, allowed))}")
            return allowed[0]
        return value

    version = choice("version", tuple(VERSIONS), 1987)
    text = choice("text", TEXTS, "ascii")
    mti = choice("mti", (*TEXTS, "bcd"), text)
    bitmap = choice("bitmap", BITMAPS, "binary")
    tertiary = choice("tertiary", TERTIARY, "none")
    prefix = choice("prefix", (*TEXTS, "bcd", "binary"), text)
    name = raw.get("name")
    if not isinstance(name, str) or not name:
        faults.append("/name: is missing")
    rows = raw.get("fields")
    if not isinstance(rows, dict) or not rows:
        faults.append("/fields: is missing")
        rows = {}
    fields: dict[int, FieldSpec] = {}
    top = 192 if tertiary != "none" else 128
    for key, row in rows.items():
        where = f"/fields/{key}"
        if not (key.isascii() and key.isdigit()) or not 2 <= int(key) <= top:
            faults.append(f"{where}: is no field's number, 2 to {top}")
            continue
        number = int(key)
        if number == 65 and tertiary != "none":
            faults.append(f"{where}: is the tertiary bitmap")
            continue
        spec = _field(number, row, where, text, prefix, faults)
        if spec is not None:
            fields[number] = spec
    if faults:
        raise DialectError(faults)
    return Dialect(str(name), version, mti, bitmap, tertiary, fields)


def _field(
    number: int, row: Any, where: str, text: str, prefix: str, faults: list[str]
) -> FieldSpec | None:
    """One field's row: {"name", "content", "length" or "form" and "max", "encoding", ...}."""
    before = len(faults)
    if not isinstance(row, dict):
        faults.append(f"{where}: is no object")
        return None
    known = ("name", "content", "length", "form", "max", "encoding", "prefix", "pad_left", "pad")
    faults += [f"{where}/{key}: is not known" for key in row if key not in known]
    content = row.get("content")
    if content not in CONTENTS:
        faults.append(f"{where}/content: is none of {', '.join(CONTENTS)}")
        return None
    form = row.get("form")
    key = "length" if form is None else "max"
    length = row.get(key)
    if type(length) is not int or not 0 < length <= MAX_FIELD:
        faults.append(f"{where}/{key}: is no whole number from 1 to {MAX_FIELD}")
        return None
    if form is not None and (not isinstance(form, str) or form not in FORMS):
        faults.append(f"{where}/form: is none of {', '.join(FORMS)}")
        return None
    digits = FORMS[form] if form is not None else 0
    encoding = row.get("encoding", "binary" if content == "b" else text)
    allowed: tuple[str, ...] = ("binary",) if content == "b" else TEXTS
    if content in ("n", "z"):
        allowed = (*allowed, "bcd")
    if encoding not in allowed:
        faults.append(f"{where}/encoding: is none of {', '.join(allowed)} for {content}")
    own = row.get("prefix", prefix)
    if own not in (*TEXTS, "bcd", "binary"):
        faults.append(f"{where}/prefix: is no encoding of a length")
    if digits and own != "binary" and length >= 10**digits:
        faults.append(f"{where}/max: {length} does not go into {digits} digits")
    if digits and own == "binary" and length >= 256 ** ((digits + 1) // 2):
        faults.append(f"{where}/max: {length} does not go into {(digits + 1) // 2} bytes")
    pad = row.get("pad", "0")
    if pad not in ("0", "f"):
        faults.append(f"{where}/pad: is neither 0 nor f")
    pad_left = row.get("pad_left", True)
    if not isinstance(pad_left, bool):
        faults.append(f"{where}/pad_left: is neither true nor false")
    if len(faults) > before:
        return None
    name = str(row.get("name", f"field {number}"))
    return FieldSpec(number, name, content, encoding, length, digits, own, pad_left, pad)
