"""A small size of the rig, whole: processes, faults, verdict. No bound on times is asserted."""

from __future__ import annotations

from standins.scale.__main__ import run
from standins.scale.plan import Size, draw

SMALL = Size(nodes=60, distributors=3, tenants=600, seconds=10, processes=2)


def test_nothing_is_lost_out_of_order_or_different_whatever_fails() -> None:
    found = run(draw(SMALL, 3))
    assert found.problems == []
    assert (found.lost, found.out_of_order, found.differing, found.unasked) == (0, 0, 0, 0)
    assert found.changes > 25
    assert len(found.outside.arrivals) + len(found.from_cut.arrivals) >= found.changes
