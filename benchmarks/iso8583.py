"""Encoding and decoding a credit's message, beside an independent library in the same run.

    python -m benchmarks.iso8583 [--rounds N]

Both read and write the same bytes by the same dialect. Each round times both in turn; the
table gives medians with the range of the rounds, and the ratio of each round by itself.
"""

from __future__ import annotations

import argparse
import copy
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

import iso8583
from iso8583.specs import default

from tansywood.iso8583.codec import Codec, Message
from tansywood.iso8583.dialect import parse

COUNT = 5000
FIELDS: dict[int, str | bytes] = {
    2: "4111111111111111",
    3: "910000",
    4: "000000002500",
    7: "1201113000",
    11: "000042",
    12: "113000",
    13: "1201",
    18: "5999",
    22: "901",
    32: "123456",
    37: "501113000042",
    41: "TERM0001",
    42: "SHOP-OF-CORK-01",
    49: "978",
    55: bytes.fromhex("9F2608C2C12B098F3DA6E382025800950580000080009F3602002A"),
}


def ours() -> Codec:
    """The fields of the message as the rival's `default` has them, in ASCII."""
    fields: dict[str, Any] = {}
    for number, value in FIELDS.items():
        form = {2: ("LL", 19), 32: ("LL", 11), 55: ("LLL", 255)}.get(number)
        content = "b" if isinstance(value, bytes) else "n" if value.isdigit() else "ans"
        row: dict[str, Any] = {"content": content}
        if form is not None:
            row |= {"form": form[0], "max": form[1]}
        else:
            row["length"] = len(value)
        fields[str(number)] = row
    return Codec(parse({"name": "bench", "version": 1987, "fields": fields}))


def theirs() -> dict[str, Any]:
    spec: dict[str, Any] = copy.deepcopy(default)
    spec["h"]["max_len"] = 0
    spec["t"] |= {"data_enc": "ascii", "max_len": 4}
    for key in ("p", "1"):
        spec[key] |= {"data_enc": "b", "max_len": 8}
    for number, value in FIELDS.items():
        binary = isinstance(value, bytes)
        spec[str(number)] |= {"data_enc": "b" if binary else "ascii", "len_enc": "ascii"}
        if spec[str(number)]["len_type"] == 0:
            spec[str(number)]["max_len"] = len(value)
    return spec


def timed(call: Callable[[], object]) -> float:
    """Microseconds for each call."""
    begin = time.perf_counter()
    for _ in range(COUNT):
        call()
    return (time.perf_counter() - begin) * 1e6 / COUNT


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rounds", type=int, default=9)
    rounds = parser.parse_args().rounds
    codec, spec = ours(), theirs()
    message = Message("0200", dict(FIELDS))
    doc = {"t": "0200"} | {
        str(n): v.hex().upper() if isinstance(v, bytes) else v for n, v in FIELDS.items()
    }
    raw = codec.encode(message)
    other, _ = iso8583.encode(dict(doc), spec)
    if bytes(other) != raw:
        print("the two do not write the same bytes", file=sys.stderr)
        return 1
    calls: dict[str, tuple[Callable[[], object], Callable[[], object]]] = {
        "decode": (lambda: codec.decode(raw), lambda: iso8583.decode(raw, spec)),
        "encode": (lambda: codec.encode(message), lambda: iso8583.encode(dict(doc), spec)),
    }
    print(f"a message of {len(raw)} bytes, {len(FIELDS)} fields; microseconds, {rounds} rounds")
    print(f"{'':>8} {'ours':>24} {'pyiso8583':>24} {'theirs to ours':>28}")
    for name, (mine, rival) in calls.items():
        pairs = [(timed(mine), timed(rival)) for _ in range(rounds)]
        cells = []
        for values in ([a for a, _ in pairs], [b for _, b in pairs], [b / a for a, b in pairs]):
            cells.append(
                f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"
            )
        print(f"{name:>8} {cells[0]:>24} {cells[1]:>24} {cells[2]:>28}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
