"""The command line: `python -m tansywood VERB ...`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from tansywood.store import tool as store_tool


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="tansywood", description=__doc__)
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    store_tool.add_to(verbs)
    options = parser.parse_args(arguments)
    return int(options.run(options))


if __name__ == "__main__":
    sys.exit(main())
