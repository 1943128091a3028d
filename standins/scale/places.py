"""Where nodes and distributors stand, and how long a message takes between two places. Pure."""

from __future__ import annotations

from dataclasses import dataclass

REGIONS = 4
ZONES = 11
PUBLISHER_REGION = 0
PUBLISHER_ZONE = 0
REGION_DELAY_MS = 40.0
ZONE_DELAY_MS = 2.0


def region_of_zone(zone: int) -> int:
    return zone % REGIONS


def region_of_distributor(number: int) -> int:
    return number % REGIONS


def zone_of_distributor(number: int) -> int:
    """Those of a region stand in its zones in turn."""
    zones = range(region_of_distributor(number), ZONES, REGIONS)
    return zones[number // REGIONS % len(zones)]


def zone_of_relay(region: int) -> int:
    """Where the distributors of a region are taken to stand as seen from the publisher: its own
    region's are in another zone than it."""
    return region if region != PUBLISHER_REGION else PUBLISHER_ZONE + REGIONS


@dataclass(frozen=True, slots=True)
class Delays:
    """How long a message takes one way, in seconds; no time within a zone."""

    region_s: float = 0.0
    zone_s: float = 0.0

    def one_way_s(self, zone: int, other: int) -> float:
        """From one zone to another."""
        if zone == other:
            return 0.0
        return self.zone_s if region_of_zone(zone) == region_of_zone(other) else self.region_s
