"""The codec by property, against an independent library, and against whatever comes."""

from __future__ import annotations

import contextlib
import json
from pathlib import Path
from random import Random
from typing import Any

import iso8583
import pytest

from tansywood.iso8583 import tlv
from tansywood.iso8583.codec import (
    SECRET,
    Codec,
    IsoError,
    Message,
    fields_shown,
    is_repeat,
    response_mti,
)
from tansywood.iso8583.dialect import Dialect, DialectError, load, parse

from .messages import a_dialect, a_message

BASIC = Path("tansywood/iso8583/dialects/basic1987.json")


@pytest.mark.parametrize("seed", range(60))
def test_every_message_of_every_dialect_comes_back_as_it_was(seed: int) -> None:
    rng = Random(seed)
    dialect = a_dialect(rng)
    codec = Codec(dialect)
    for _ in range(30):
        message = a_message(rng, dialect)
        raw = codec.encode(message)
        back = codec.decode(raw)
        assert (back.mti, back.fields) == (message.mti, message.fields)
        assert codec.encode(back) == raw


@pytest.mark.parametrize("seed", range(60))
def test_whatever_comes_is_a_message_or_an_error_of_the_codecs_own(seed: int) -> None:
    """Cuts, flipped bits, bytes put in and taken out, noise: and what is read is canonical."""
    rng = Random(seed)
    dialect = a_dialect(rng)
    codec = Codec(dialect)
    read = refused = 0
    for _ in range(150):
        raw = bytearray(codec.encode(a_message(rng, dialect)))
        for _ in range(rng.randrange(1, 4)):
            at = rng.randrange(len(raw))
            kind = rng.random()
            if kind < 0.3:
                del raw[at:]
                raw = raw or bytearray(b"0")
            elif kind < 0.6:
                raw[at] ^= 1 << rng.randrange(8)
            elif kind < 0.8:
                raw.insert(at, rng.randrange(256))
            else:
                raw[at : at + 3] = rng.randbytes(rng.randrange(8))
                raw = raw or bytearray(b"0")
        try:
            message = codec.decode(bytes(raw))
        except IsoError as err:
            refused += 1
            assert err.offset >= 0 and str(err)
        else:
            read += 1
            assert codec.decode(codec.encode(message)).fields == message.fields
    assert refused > 20


def theirs(dialect: Dialect) -> dict[str, Any]:
    """The same dialect as the other library writes it down."""
    spec: dict[str, Any] = {
        "h": {"data_enc": "ascii", "len_enc": "ascii", "len_type": 0, "max_len": 0, "desc": ""},
        "t": {
            "data_enc": "b" if dialect.mti == "bcd" else dialect.mti,
            "len_enc": "ascii",
            "len_type": 0,
            "max_len": 4,
            "desc": "",
        },
        "p": {
            "data_enc": "b" if dialect.bitmap == "binary" else "ascii",
            "len_enc": "ascii",
            "len_type": 0,
            "max_len": 8 if dialect.bitmap == "binary" else 16,
            "desc": "",
        },
    }
    if dialect.mti == "bcd":
        spec["t"]["max_len"] = 2
    spec["1"] = dict(spec["p"])
    for number in range(2, 129):
        field = dialect.fields.get(number)
        if field is None:
            spec[str(number)] = dict(spec["h"])
            continue
        binary = field.content == "b"
        spec[str(number)] = {
            "data_enc": "b" if binary or field.encoding == "bcd" else field.encoding,
            "len_enc": field.prefix,
            "len_type": field.digits,
            "max_len": field.length,
            "len_count": "bytes",
            "desc": "",
        }
    return spec


def shared(rng: Random) -> Dialect:
    """A dialect that both can say: no tertiary, lengths of BCD digits even."""
    text = rng.choice(("ascii", "cp037", "cp500"))
    fields: dict[str, Any] = {}
    for number in rng.sample([n for n in range(2, 129) if n != 65], 25):
        content = rng.choice(("n", "an", "ans", "b"))
        row: dict[str, Any] = {"content": content}
        length = 2 * rng.randrange(1, 20)
        if rng.random() < 0.5:
            form = rng.choice(("LL", "LLL"))
            row |= {"form": form, "max": length, "prefix": rng.choice((text, "ascii"))}
        else:
            row["length"] = length
        fields[str(number)] = row
    return parse(
        {
            "name": "shared",
            "version": 1987,
            "text": text,
            "bitmap": rng.choice(("binary", "hex")),
            "fields": fields,
        }
    )


@pytest.mark.parametrize("seed", range(40))
def test_both_ways_agree_with_an_independent_library(seed: int) -> None:
    rng = Random(seed)
    dialect = shared(rng)
    codec, spec = Codec(dialect), theirs(dialect)
    for _ in range(20):
        message = a_message(rng, dialect)
        message.fields = {n: v for n, v in message.fields.items() if v or dialect.fields[n].digits}
        raw = codec.encode(message)
        doc = {
            str(n): v.hex().upper() if isinstance(v, bytes) else v
            for n, v in message.fields.items()
        }
        other, _ = iso8583.encode({"t": message.mti, **doc}, spec)
        assert bytes(other) == raw
        decoded, _ = iso8583.decode(raw, spec)
        assert {k: v for k, v in decoded.items() if k.isdigit() and k != "1"} == doc


def test_a_message_written_by_hand_reads_as_it_was_meant() -> None:
    codec = Codec(load(BASIC))
    raw = (
        b"0200"
        + bytes.fromhex("7220000100C00000")  # 2 3 4 7 11 32 41 42
        + b"164111111111111111"
        + b"910000"
        + b"000000002500"
        + b"1201113000"
        + b"000042"
        + b"06123456"
        + b"TERM0001"
        + b"SHOP-OF-CORK-01"
    )
    message = codec.decode(raw)
    assert message.mti == "0200" and message.fields == {
        2: "4111111111111111",
        3: "910000",
        4: "000000002500",
        7: "1201113000",
        11: "000042",
        32: "123456",
        41: "TERM0001",
        42: "SHOP-OF-CORK-01",
    }
    assert codec.encode(message) == raw
    assert "4111" not in repr(message) and "4111" not in str(fields_shown(message.fields))


@pytest.mark.parametrize(
    ("raw", "why", "number"),
    [
        (b"", "ends within", 0),
        (b"02x0", "content n", 0),
        (b"1200" + bytes(8), "version 1987", 0),
        (b"0200" + bytes(7), "ends within", 1),
        (b"0200" + bytes.fromhex("4000000000000000") + b"17" + b"1" * 16, "ends within", 2),
        (b"0200" + bytes.fromhex("4000000000000000") + b"20" + b"1" * 20, "over 19", 2),
        (b"0200" + bytes.fromhex("4000000000000000") + b"x0", "no number", 2),
        (b"0200" + bytes.fromhex("4000000000000000") + b"1", "ends within its length", 2),
        (b"0200" + bytes.fromhex("2000000000000000") + b"91000a", "content n", 3),
        (b"0200" + bytes.fromhex("0800000000000000"), "none of this dialect", 5),
        (b"0200" + bytes.fromhex("2000000000000000") + b"910000!", "1 bytes follow", None),
        (b"0200" + bytes.fromhex("8000000000000000") + bytes(5), "ends within", 1),
    ],
)
def test_what_is_wrong_is_told_with_its_field_and_place(
    raw: bytes, why: str, number: int | None
) -> None:
    with pytest.raises(IsoError, match=why) as caught:
        Codec(load(BASIC)).decode(raw)
    assert caught.value.field == number


def test_no_error_shows_what_was_in_a_field() -> None:
    codec = Codec(load(BASIC))
    marks: dict[int, str | bytes] = {
        2: "4929000011112222",
        35: "4929000011112222=99",
        52: b"\xde\xad\xbe\xef" * 2,
    }
    raw = codec.encode(Message("0200", dict(marks)))
    said = []
    for cut in range(len(raw)):
        for bad in (raw[:cut], raw[:cut] + b"\xff" + raw[cut + 1 :]):
            try:
                codec.decode(bad)
            except IsoError as err:
                said.append(str(err))
    for number, value in marks.items():
        assert number in SECRET
        wrongs: tuple[str | bytes, ...] = (value * 30, "é" if isinstance(value, str) else "text")
        for wrong in wrongs:
            with pytest.raises(IsoError) as caught:
                codec.encode(Message("0200", {number: wrong}))
            said.append(str(caught.value))
    assert said and not any(mark in text for text in said for mark in ("4929", "dead", "1111"))


def test_answers_and_repeats_by_their_mti() -> None:
    answers = {"0200": "0210", "0201": "0210", "0400": "0410", "0401": "0410", "0420": "0430"}
    assert {mti: response_mti(mti) for mti in answers} == answers
    assert response_mti("1804") == "1814" and response_mti("2200") == "2210"
    assert is_repeat("0201") and is_repeat("0401") and not is_repeat("0200")


def test_a_dialect_that_is_wrong_in_many_places_is_told_all_of_them(tmp_path: Path) -> None:
    bad = {
        "version": 1900,
        "text": "utf-8",
        "odd": 1,
        "fields": {
            "1": {"content": "n", "length": 3},
            "x": {},
            "2": {"content": "n", "form": "LL", "max": 100},
            "3": {"content": "q", "length": 3},
            "4": {"content": "n", "length": 0},
            "5": {"content": "a", "length": 4, "encoding": "bcd"},
            "6": {"content": "n", "length": 4, "pad": "9", "colour": 1},
            "7": [],
            "8": {"content": "b", "form": "LLLLL", "max": 5},
            "9": {"content": "b", "form": "LL", "max": 300, "prefix": "binary"},
        },
    }
    path = tmp_path / "d.json"
    path.write_text(json.dumps(bad))
    with pytest.raises(DialectError) as caught:
        load(path)
    places = [fault.partition(":")[0] for fault in caught.value.faults]
    assert places == [
        "/odd", "/version", "/text", "/name", "/fields/1", "/fields/x", "/fields/2/max",
        "/fields/3/content", "/fields/4/length", "/fields/5/encoding", "/fields/6/colour",
        "/fields/6/pad", "/fields/7", "/fields/8/form", "/fields/9/max",
    ]  # fmt: skip
    path.write_text("{")
    with pytest.raises(DialectError):
        load(path)
    with pytest.raises(DialectError):
        parse([])


# ---- nested TLV ----


def rows(rng: Random, depth: int = 0) -> tuple[tlv.Tlv, ...]:
    made = []
    for _ in range(rng.randrange(0, 4)):
        if depth < 3 and rng.random() < 0.3:
            made.append(tlv.Tlv(rng.choice(("E1", "BF0C", "70")), rows(rng, depth + 1)))
        else:
            size = rng.choice((0, 1, 6, 127, 128, 300))
            tag = rng.choice(("9F26", "82", "9F37", "95", "DF8101"))
            made.append(tlv.Tlv(tag, rng.randbytes(size)))
    return tuple(made)


@pytest.mark.parametrize("seed", range(40))
def test_nested_rows_come_back_and_noise_is_an_error_of_its_own(seed: int) -> None:
    rng = Random(seed)
    made = rows(rng)
    raw = tlv.encode(made)
    assert tlv.decode(raw) == made
    for _ in range(100):
        bad = bytearray(raw or b"\x9f")
        bad[rng.randrange(len(bad))] ^= 1 << rng.randrange(8)
        with contextlib.suppress(IsoError):
            tlv.decode(bytes(bad[: rng.randrange(len(bad) + 1)]))


def test_rows_nested_without_end_are_refused() -> None:
    raw = b""
    for _ in range(20):
        raw = tlv.encode([tlv.Tlv("E1", raw)]) if not raw else b"\xe1" + bytes([len(raw)]) + raw
    with pytest.raises(IsoError, match="deeper"):
        tlv.decode(raw)


def test_chip_data_as_a_terminal_sends_it() -> None:
    raw = bytes.fromhex(
        "9F2608C2C12B098F3DA6E382025800950580000080009F3602002A9F100706011203A00000"
    )
    found = {row.tag: row.value for row in tlv.decode(raw)}
    assert found["9F36"] == bytes.fromhex("002A") and found["82"] == bytes.fromhex("5800")
    assert tlv.encode(tlv.decode(raw)) == raw
