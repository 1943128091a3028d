"""The order in which a tenant is given up, and all that calls it off; what an agent collects."""

from __future__ import annotations

from typing import Any

import pytest

from tansywood.service.releases import ANSWER, Releases
from tansywood.service.restore import Restore

ALL = {"door", "worker-0", "worker-1", "fleet"}


class World:
    """Releases whose messages and ends are kept."""

    def __init__(self) -> None:
        self.told: list[tuple[str, dict[str, Any]]] = []
        self.done: list[str] = []
        self.called_off: list[str] = []
        self.releases = Releases(
            lambda name, message: self.told.append((name, message)),
            self.done.append,
            self.called_off.append,
        )

    def asked(self) -> set[str]:
        """Who was asked since the last look."""
        told, self.told = self.told, []
        return {name for name, _ in told}

    def answer(self, name: str, released: bool = True, number: int = 1) -> None:
        self.releases.answered(name, {"release": "t", "number": number, "released": released})


def test_the_door_lets_go_first_then_the_workers_then_the_rest() -> None:
    w = World()
    w.releases.begin("t", ALL, 0)
    assert w.asked() == {"door"}
    w.answer("door")
    assert w.asked() == {"worker-0", "worker-1"}
    w.answer("worker-1")
    assert w.asked() == set()
    w.answer("worker-0")
    assert w.asked() == {"fleet"} and "t" in w.releases
    w.answer("fleet")
    assert w.done == ["t"] and not w.called_off and "t" not in w.releases


def test_followers_that_are_not_there_are_not_waited_for_but_a_door_has_to_be() -> None:
    w = World()
    w.releases.begin("t", {"door"}, 0)
    w.answer("door")
    assert w.done == ["t"]
    w.releases.begin("u", {"worker-0"}, 0)
    assert w.called_off == ["u"] and "u" not in w.releases


@pytest.mark.parametrize("answered", [[], ["door"], ["door", "worker-0", "worker-1"]])
@pytest.mark.parametrize("why", ["busy", "late", "left", "asked for"])
def test_it_is_called_off_at_any_stage_and_later_answers_change_nothing(
    answered: list[str], why: str
) -> None:
    w = World()
    w.releases.begin("t", ALL, 0)
    for name in answered:
        w.answer(name)
    waits = w.asked()
    if why == "busy":
        w.answer(next(iter(waits)), released=False)
    elif why == "late":
        w.releases.tick(ANSWER - 1)
        assert not w.called_off
        w.releases.tick(ANSWER)
    elif why == "left":
        w.releases.call_off_all()
    else:
        w.releases.call_off("t")
    assert w.called_off == ["t"]
    # Another one has begun when the first one's answers come.
    w.releases.begin("t", ALL, 0)
    for name in ALL:
        w.answer(name)
    assert not w.done and "t" in w.releases
    for name in ("door", "worker-0", "worker-1", "fleet"):
        w.answer(name, number=2)
    assert w.done == ["t"] and w.called_off == ["t"]


def test_a_deleted_tenant_is_neither_given_up_nor_kept() -> None:
    w = World()
    w.releases.begin("t", ALL, 0)
    w.releases.drop("t")
    w.answer("door")
    w.releases.tick(ANSWER)
    assert not w.done and not w.called_off


def test_the_state_of_the_follower_that_was_told_most_is_collected() -> None:
    one = Restore()
    one.joined("worker-0", 7)
    one.joined("door", 9)
    one.joined("worker-1", 8)
    for name in ("worker-0", "door", "worker-1"):
        one.given(name, "t", {"from": name})
    one.given("worker-0", "u", {"from": "worker-0"})
    assert one.collected() == {"t": {"from": "door"}, "u": {"from": "worker-0"}}
    one.given("worker-2", "v", {"from": "worker-2"})
    assert not one.collecting and one.late() == {"v": {"from": "worker-2"}}
    one.settled("v")
    assert not one.late()
