"""`python -m tansywood fleet ...`: what an instance knows of its fleet, and what it holds."""

from __future__ import annotations

import argparse
import json
import socket
import sys
from typing import Any

from tansywood.service.settings import SettingsError, load
from tansywood.service.wire import LENGTH, MAX_FRAME, frame

WAIT_S = 5.0
ASKED = ("status", "members", "shares", "events", "drain", "resume")


class NoFleet(Exception):
    """There is no fleet to ask by this file."""


def add_to(verbs: Any) -> None:
    """The verb and its own."""
    fleet = verbs.add_parser("fleet", help="members, shares and events of this instance's fleet")
    fleet.add_argument("what", choices=ASKED, metavar="WHAT", help=", ".join(ASKED))
    fleet.add_argument("file", metavar="FILE", help="the service's, with a [fleet] section")
    fleet.add_argument("--json", action="store_true", help="all of it, for programs")
    fleet.set_defaults(run=main)


def ask(path: str, what: str, limit_s: float = WAIT_S, **words: str) -> dict[str, Any]:
    """One question to the fleet's process. OSError, ValueError where it gives no answer."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(limit_s)
        sock.connect(path)
        sock.sendall(frame({"ask": what, **words}))
        return read_one(sock)


def read_one(sock: socket.socket) -> dict[str, Any]:
    """The next frame of a blocking socket. OSError at the end, ValueError on what is none."""
    (length,) = LENGTH.unpack(_exactly(sock, LENGTH.size))
    if length > MAX_FRAME:
        raise ValueError(f"a frame of {length} bytes")
    told: dict[str, Any] = json.loads(_exactly(sock, length))
    return told


def _exactly(sock: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        more = sock.recv(size - len(data))
        if not more:
            raise OSError("it ended before it had answered")
        data += more
    return data


def table(head: list[str], rows: list[list[str]]) -> str:
    """Columns of equal width, the first to the left."""
    all_rows = [head, *rows]
    widths = [max(len(row[i]) for row in all_rows) for i in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) if i == 0 else cell.rjust(w)
            for i, (cell, w) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in all_rows
    )


def members(told: dict[str, Any]) -> str:
    rows = [
        [
            m["name"] + (" *" if m["ours"] else ""),
            m["state"],
            f"{m['for_s']:.0f}",
            m["address"],
            "home" if m["home"] else "",
            m["zone"],
            m["version"],
        ]
        for m in told["members"]
    ]
    return table(["member", "state", "for s", "address", "", "zone", "version"], rows)


def shares(told: dict[str, Any]) -> str:
    rows = []
    for tenant, s in told["shares"].items():
        places = s.get("places")
        rows.append(
            [
                tenant,
                f"{s['rate_per_s']:g}",
                f"{s['of_rate_per_s']:g}",
                f"{s['asked_per_s']:.0f}",
                f"{s['floor_rate_per_s']:g}",
                f"{s['open']}/{s['of_open']}",
                f"{sum(places.values())}/{s['of_places'] * len(places)}" if places else "-",
                ",".join(s["doubted"]) or "-",
            ]
        )
    head = ["tenant", "a second", "of", "asked", "floor", "open", "places", "doubted"]
    return table(head, rows)


def events(told: dict[str, Any]) -> str:
    rows = [[f"{e['ago_s']:.1f} s ago", e["name"], e["what"], e["why"]] for e in told["events"]]
    return "\n".join("  ".join(row) for row in rows) or "nothing has happened"


def socket_of(file: str) -> str:
    """Where the fleet's process of a service answers. NoFleet with the text for people."""
    try:
        settings = load(file)
    except SettingsError as err:
        raise NoFleet("\n".join(f"{file}: {fault}" for fault in err.faults)) from None
    if settings.fleet is None:
        raise NoFleet(f"{file}: has no [fleet] section: one instance alone")
    return f"{settings.run}/fleet.sock"


def main(options: argparse.Namespace) -> int:
    """2 where there is no fleet, or nobody answers."""
    try:
        path = socket_of(options.file)
    except NoFleet as err:
        print(err, file=sys.stderr)
        return 2
    try:
        told = ask(path, options.what if options.what in ("drain", "resume") else "status")
    except (OSError, ValueError) as err:
        print(f"tansywood fleet: {path}: {err}: is the service running?", file=sys.stderr)
        return 2
    if options.json:
        print(json.dumps(told, indent=2))
        return 0
    if told["conflict"]:
        print(f"another instance at {told['conflict']} has the name {told['name']}: rename one")
    parts = {"members": [members], "shares": [shares], "events": [events]}
    blocks = [make(told) for make in parts.get(options.what, [members, shares])]
    print("\n\n".join(blocks))
    return 0
