"""The command line: `python -m tansywood VERB ...`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from tansywood.service import distributiontool, fleettool, leasetool
from tansywood.store import tool as store_tool


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="tansywood", description=__doc__)
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    store_tool.add_to(verbs)
    node = verbs.add_parser("node", help="one node that remembers its servers over a restart")
    node.add_argument("store", metavar="PATH", help="the store's folder, on a disk that lasts")
    node.set_defaults(run=run_node)
    serve = verbs.add_parser("serve", help="the hosted service, for many tenants")
    serve.add_argument("file", metavar="FILE", help="such as deploy/service.toml")
    serve.set_defaults(run=run_service)
    check = verbs.add_parser("check", help="every fault of a service's or a tenant's file")
    check.add_argument("file", metavar="FILE", help="service.toml, or a tenant's JSON document")
    check.set_defaults(run=run_check)
    fleettool.add_to(verbs)
    leasetool.add_to(verbs)
    distributiontool.add_to(verbs)
    options = parser.parse_args(arguments)
    return int(options.run(options))


def run_node(options: argparse.Namespace) -> int:
    from tansywood.service.node import main as node_main  # its signals are its own matter

    return node_main(options.store)


def run_service(options: argparse.Namespace) -> int:
    from tansywood.service.serve import main as serve_main

    return serve_main(options.file)


def run_check(options: argparse.Namespace) -> int:
    from tansywood.service.check import main as check_main

    return check_main(options.file)


if __name__ == "__main__":
    sys.exit(main())
