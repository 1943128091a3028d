"""`python -m tansywood distribution status FILE`: how a distributor or a node stands."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping
from typing import Any

from tansywood.distribution.settings import Role
from tansywood.service.fleettool import ask
from tansywood.service.settings import SettingsError, load

SOCKETS = {Role.NODE: "agent.sock", Role.DISTRIBUTOR: "distributor.sock"}


class NothingToAsk(Exception):
    """There is no distributor and no agent by this file; the text is for people."""


def add_to(verbs: Any) -> None:
    """The verb and its own."""
    verb = verbs.add_parser("distribution", help="where a machine has its configuration from")
    verb.add_argument("what", choices=("status",), metavar="WHAT", help="status")
    verb.add_argument("file", metavar="FILE", help="the service's, with a [distribution] section")
    verb.add_argument("--json", action="store_true", help="for programs")
    verb.set_defaults(run=main)


def socket_of(file: str) -> str:
    """Where the process that distribution is made of answers. NothingToAsk says why not."""
    try:
        settings = load(file)
    except SettingsError as err:
        raise NothingToAsk("\n".join(f"{file}: {fault}" for fault in err.faults)) from None
    if settings.role is None:
        raise NothingToAsk(f"{file}: has no [distribution] section: its own API tells it")
    if settings.role is Role.PUBLISHER:
        raise NothingToAsk(f"{file}: is a publisher's: ask its API, GET /v1/status")
    return f"{settings.run}/{SOCKETS[settings.role]}"


def lines_of(told: Mapping[str, Any], indent: str = "") -> list[str]:
    """One line for each value, groups of values further in."""
    lines = []
    for name, value in told.items():
        label = indent + name.replace("_", " ")
        if isinstance(value, dict):
            lines.append(label)
            lines += lines_of(value, indent + "  ")
        else:
            shown = "-" if value is None else value
            lines.append(f"{label:<28} {shown}")
    return lines


def main(options: argparse.Namespace) -> int:
    """2 where there is nothing to ask, or nobody answers."""
    try:
        path = socket_of(options.file)
    except NothingToAsk as err:
        print(err, file=sys.stderr)
        return 2
    try:
        told = ask(path, options.what)
    except (OSError, ValueError) as err:
        print(f"tansywood distribution: {path}: {err}: is the service running?", file=sys.stderr)
        return 2
    print(json.dumps(told, indent=2) if options.json else "\n".join(lines_of(told)))
    return 0
