"""`python -m tansywood distribution`: how a distributor or a node stands, what its callers got.

python -m tansywood distribution status FILE
python -m tansywood distribution report FILE TENANT
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping
from typing import Any

from tansywood.distribution.settings import Role
from tansywood.service.fleettool import ask
from tansywood.service.report import with_percentiles
from tansywood.service.settings import SettingsError, load

STATUS, REPORT = "status", "report"
SOCKETS = {Role.NODE: "agent.sock", Role.DISTRIBUTOR: "distributor.sock"}
NODES_COUNT = "each node counts its own requests: ask with the node's file"


class NothingToAsk(Exception):
    """There is no distributor and no agent by this file; the text is for people."""


def add_to(verbs: Any) -> None:
    """The verb and its own."""
    verb = verbs.add_parser("distribution", help="where a machine has its configuration from")
    verb.add_argument("what", choices=(STATUS, REPORT), metavar="WHAT", help="status or report")
    verb.add_argument("file", metavar="FILE", help="the service's, with a [distribution] section")
    verb.add_argument("tenant", metavar="TENANT", nargs="?", help="of a report: name or uid")
    verb.add_argument("--json", action="store_true", help="for programs")
    verb.set_defaults(run=main)


def socket_of(file: str, what: str = STATUS) -> str:
    """Where the process that can say this answers. NothingToAsk says why there is none."""
    try:
        settings = load(file)
    except SettingsError as err:
        raise NothingToAsk("\n".join(f"{file}: {fault}" for fault in err.faults)) from None
    if settings.role is None:
        raise NothingToAsk(f"{file}: has no [distribution] section: its own API tells it")
    if settings.role is Role.PUBLISHER:
        where = NODES_COUNT if what == REPORT else "ask its API, GET /v1/status"
        raise NothingToAsk(f"{file}: is a publisher's: {where}")
    if settings.role is Role.DISTRIBUTOR and what == REPORT:
        raise NothingToAsk(f"{file}: is a distributor's: {NODES_COUNT}")
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
    if (options.what == REPORT) != (options.tenant is not None):
        print("tansywood distribution: status FILE, or report FILE TENANT", file=sys.stderr)
        return 2
    try:
        path = socket_of(options.file, options.what)
    except NothingToAsk as err:
        print(err, file=sys.stderr)
        return 2
    words = {"tenant": options.tenant} if options.what == REPORT else {}
    try:
        told = ask(path, options.what, **words)
    except (OSError, ValueError) as err:
        print(f"tansywood distribution: {path}: {err}: is the service running?", file=sys.stderr)
        return 2
    if "error" in told:
        print(f"tansywood distribution: {told['error']}", file=sys.stderr)
        return 2
    if options.what == REPORT:
        told = {"uid": told["uid"], **with_percentiles(told["report"])}
    print(json.dumps(told, indent=2) if options.json else "\n".join(lines_of(told)))
    return 0
