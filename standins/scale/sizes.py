"""The size and seed of a run as arguments, which the driver hands on to its processes."""

from __future__ import annotations

import argparse

from standins.scale.places import REGION_DELAY_MS, ZONE_DELAY_MS
from standins.scale.plan import CHANGES_PER_S, Size

FLEET = "scale"


def add_size(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--nodes", type=int, default=3600)
    parser.add_argument("--distributors", type=int, default=15)
    parser.add_argument("--tenants", type=int, default=110_000)
    parser.add_argument("--seconds", type=float, default=60.0, help="of changes and faults; 60")
    parser.add_argument("--processes", type=int, default=8, help="of hollow nodes; 8")
    parser.add_argument(
        "--changes-per-s", type=float, default=CHANGES_PER_S, help="a hundred times the expected"
    )
    parser.add_argument(
        "--region-delay-ms", type=float, default=REGION_DELAY_MS, help="one way; 40"
    )
    parser.add_argument("--zone-delay-ms", type=float, default=ZONE_DELAY_MS, help="one way; 2")
    parser.add_argument("--seed", type=int, default=1)


def read_size(options: argparse.Namespace) -> Size:
    return Size(
        options.nodes,
        options.distributors,
        options.tenants,
        options.seconds,
        options.processes,
        options.changes_per_s,
        options.region_delay_ms,
        options.zone_delay_ms,
    )


def arguments(size: Size, seed: int) -> list[str]:
    """What `add_size` reads as the same size and seed."""
    return [
        *("--nodes", str(size.nodes)),
        *("--distributors", str(size.distributors)),
        *("--tenants", str(size.tenants)),
        *("--seconds", str(size.seconds)),
        *("--processes", str(size.processes)),
        *("--changes-per-s", str(size.changes_per_s)),
        *("--region-delay-ms", str(size.region_delay_ms)),
        *("--zone-delay-ms", str(size.zone_delay_ms)),
        *("--seed", str(seed)),
    ]
