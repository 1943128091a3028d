"""Who is there: found, lost, back, never by old news."""

from __future__ import annotations

from random import Random

import msgspec

from standins.fleet.simulated import World
from tansywood.fleet.members import Members, State, longest, shortest
from tansywood.fleet.messages import MemberUpdate
from tansywood.fleet.terms import SECOND
from tests.fleet.worlds import world


def states(made: World, name: str) -> dict[str, str]:
    """What everybody that lives believes of one."""
    found = {}
    for other, host in made.hosts.items():
        if host.instance is not None and other != name and not host.paused:
            m = host.instance.members.rows.get(name)
            found[other] = m.state.name if m is not None else "unknown"
    return found


def everybody(made: World) -> bool:
    up = sorted(n for n, s in made.hosts.items() if s.instance is not None)
    lives = [s.instance.members.live() for s in made.hosts.values() if s.instance is not None]
    return all(live == up for live in lives)


def names(count: int) -> list[str]:
    return [f"i{n:02}" for n in range(count)]


def test_all_find_all_from_the_first_addresses() -> None:
    made = world(names(20), watched=False)
    made.run(6.0)
    assert everybody(made)


def test_one_that_dies_is_lost_within_the_stated_time_and_comes_back() -> None:
    made = world(names(12), watched=False)
    made.run(6.0)
    made.kill("i07")
    made.run(12 * 0.5 + longest(12) / SECOND + 2)
    assert set(states(made, "i07").values()) == {"LOST"}
    made.start("i07")
    made.run(4.0)
    assert everybody(made)


def test_lost_datagrams_take_nobody_for_lost() -> None:
    made = world(names(12), watched=False)
    made.conditions.loss = 0.1
    made.run(60.0)
    lost = [
        e
        for s in made.hosts.values()
        if s.instance is not None
        for _, e in s.instance.events
        if e.what == "lost"
    ]
    assert lost == []
    assert everybody(made)


def test_a_split_heals_twice() -> None:
    made = world(names(9), watched=False)
    made.run(5.0)
    for _ in range(2):
        made.split(names(9)[:4])
        made.run(25.0)
        assert not everybody(made)
        made.heal()
        made.run(25.0)
        assert everybody(made)


def test_one_way_cut_loses_nobody_that_others_hear() -> None:
    made = world(names(6), watched=False)
    made.run(5.0)
    made.cut.add(("i01", "i02"))  # i02 does not hear i01; others stand in
    made.run(30.0)
    assert everybody(made)


def test_one_that_was_stopped_accuses_nobody_when_it_wakes() -> None:
    made = world(names(6), watched=False)
    made.run(5.0)
    made.pause("i03")
    made.run(60.0)
    made.go_on("i03")
    made.run(0.05)
    woken = made.hosts["i03"].instance
    assert woken is not None
    assert not [e for _, e in woken.events if e.what in ("suspect", "lost")]
    made.run(20.0)
    assert everybody(made)


def update(name: str, life: int, incarnation: int, state: State, born: int = 5) -> MemberUpdate:
    return MemberUpdate(name, f"10.0.0.9:{life}", bytes([life]) * 16, born, incarnation, state)


def alone() -> Members:
    own = update("a", 1, 0, State.ALIVE)
    return Members(own, [], Random(1), 0, lambda _address, _body: None)


def test_old_news_after_newer_changes_nothing() -> None:
    m = alone()
    m.apply_update(1, update("b", 2, 3, State.ALIVE), "c")
    m.apply_update(2, update("b", 2, 2, State.LOST), "c")
    assert m.rows["b"].state.name == "ALIVE"
    m.apply_update(3, update("b", 2, 3, State.LOST), "c")
    assert m.rows["b"].state.name == "LOST"
    m.apply_update(4, update("b", 2, 3, State.ALIVE), "c")  # what it was before
    m.apply_update(5, update("b", 2, 3, State.SUSPECT), "c")
    assert m.rows["b"].state.name == "LOST"
    m.apply_update(6, update("b", 2, 4, State.ALIVE), "c")
    assert m.rows["b"].state.name == "ALIVE"


def test_a_start_by_a_clock_a_day_behind_goes_before_the_life_it_was() -> None:
    m = alone()
    m.apply_update(1, MemberUpdate("a", m.own.address, b"\7" * 16, 86_400_000, 9, State.ALIVE), "c")
    assert m.own.born > 86_400_000
    assert not m.conflict


def test_a_second_of_our_name_is_told_and_kept_out() -> None:
    m = alone()
    m.apply_update(1, update("a", 9, 0, State.ALIVE, born=3), "c")
    assert m.conflict == "10.0.0.9:9"
    assert [e.what for e in m.events] == ["conflict"]


def test_who_was_first_keeps_a_name_until_it_is_lost() -> None:
    m = alone()
    first, second = update("b", 2, 0, State.ALIVE), update("b", 3, 0, State.ALIVE, born=9)
    m.apply_update(1, first, "c")
    m.apply_update(2, second, "c")
    assert m.rows["b"].update.address == first.address
    m.apply_update(3, update("b", 2, 0, State.LOST), "c")
    m.apply_update(4, second, "c")
    assert m.rows["b"].update.address == second.address


def test_the_more_accuse_the_sooner_it_is_lost() -> None:
    m = alone()
    for n in range(20):
        m.apply_update(0, update(f"m{n:02}", 20 + n, 0, State.ALIVE), "c")
    ends = []
    for accuser in ("c", "d", "e", "f", "g"):
        one = msgspec.structs.replace(update("m01", 21, 0, State.SUSPECT), accuser=accuser)
        for teller in ("x", "y", "z"):  # told on by others it is still one accusation
            m.apply_update(1, one, teller)
        ends.append(m.rows["m01"].ends)
    assert ends[0] == 1 + longest(21)
    assert ends == sorted(ends, reverse=True)
    assert ends[3] == 1 + shortest(21)
    m.tick(ends[3])  # woken after a pause: the suspicion goes on, it is not over
    assert m.rows["m01"].state == State.SUSPECT


def test_who_is_taken_for_lost_says_otherwise() -> None:
    m = alone()
    m.apply_update(1, MemberUpdate("a", m.own.address, m.own.life, 5, 0, State.LOST), "c")
    assert (m.own.incarnation, m.own.state) == (1, State.ALIVE)
    assert m.health == 1


def test_a_drain_is_heard_of_and_takes_its_turns_away() -> None:
    made = world(names(5), watched=False)
    made.run(4.0)
    drained = made.hosts["i02"].instance
    assert drained is not None
    drained.drain(made.clock(made.hosts["i02"]))
    made.run(5.0)
    for host in made.hosts.values():
        assert host.instance is not None
        assert "i02" not in host.instance.members.working()
        assert "i02" in host.instance.members.live()


def test_the_sum_of_all_datagrams_is_flat() -> None:
    made = world(names(16), watched=False)
    made.run(10.0)
    tenths = []
    for _ in range(50):
        before = sum(made.sent.values())
        made.run(0.1)
        tenths.append(sum(made.sent.values()) - before)
    mean = sum(tenths) / len(tenths)
    assert max(tenths) < 3 * mean  # on one tick all would fall on one tenth in two or five
