"""Membership: members are found, lost and rejoin, and old updates change nothing."""

from __future__ import annotations

from random import Random

import msgspec

from standins.fleet.simulated import World
from tansywood.fleet.members import Members, State, max_suspicion_ns, min_suspicion_ns
from tansywood.fleet.messages import MemberUpdate
from tansywood.fleet.terms import SECOND
from tests.fleet.worlds import world


def believed_states(simulation: World, name: str) -> dict[str, str]:
    """State of one member as each other running instance believes it."""
    found = {}
    for other, host in simulation.hosts.items():
        if host.instance is not None and other != name and not host.paused:
            m = host.instance.members.rows.get(name)
            found[other] = m.state.name if m is not None else "unknown"
    return found


def all_agree(simulation: World) -> bool:
    """Whether each running instance believes exactly the running instances to be live."""
    up = sorted(n for n, s in simulation.hosts.items() if s.instance is not None)
    lives = [s.instance.members.live() for s in simulation.hosts.values() if s.instance is not None]
    return all(live == up for live in lives)


def instance_names(count: int) -> list[str]:
    return [f"i{n:02}" for n in range(count)]


def test_every_instance_finds_all_members_through_the_seed_addresses() -> None:
    simulation = world(instance_names(20), watched=False)
    simulation.run(6.0)
    assert all_agree(simulation)


def test_dead_member_is_lost_within_the_suspicion_time_and_rejoins() -> None:
    simulation = world(instance_names(12), watched=False)
    simulation.run(6.0)
    simulation.kill("i07")
    simulation.run(12 * 0.5 + max_suspicion_ns(12) / SECOND + 2)
    assert set(believed_states(simulation, "i07").values()) == {"LOST"}
    simulation.start("i07")
    simulation.run(4.0)
    assert all_agree(simulation)


def test_ten_percent_datagram_loss_declares_no_member_lost() -> None:
    simulation = world(instance_names(12), watched=False)
    simulation.conditions.loss = 0.1
    simulation.run(60.0)
    lost = [
        e
        for s in simulation.hosts.values()
        if s.instance is not None
        for _, e in s.instance.events
        if e.what == "lost"
    ]
    assert lost == []
    assert all_agree(simulation)


def test_network_split_heals_each_time() -> None:
    simulation = world(instance_names(9), watched=False)
    simulation.run(5.0)
    for _ in range(2):
        simulation.split(instance_names(9)[:4])
        simulation.run(25.0)
        assert not all_agree(simulation)
        simulation.heal()
        simulation.run(25.0)
        assert all_agree(simulation)


def test_one_way_cut_between_two_members_loses_none() -> None:
    simulation = world(instance_names(6), watched=False)
    simulation.run(5.0)
    simulation.cut.add(
        ("i01", "i02")
    )  # i02 does not receive from i01; indirect probes still reach it
    simulation.run(30.0)
    assert all_agree(simulation)


def test_paused_process_accuses_no_member_after_it_resumes() -> None:
    simulation = world(instance_names(6), watched=False)
    simulation.run(5.0)
    simulation.pause("i03")
    simulation.run(60.0)
    simulation.go_on("i03")
    simulation.run(0.05)
    resumed = simulation.hosts["i03"].instance
    assert resumed is not None
    assert not [e for _, e in resumed.events if e.what in ("suspect", "lost")]
    simulation.run(20.0)
    assert all_agree(simulation)


def update(name: str, life: int, incarnation: int, state: State, born: int = 5) -> MemberUpdate:
    return MemberUpdate(name, f"10.0.0.9:{life}", bytes([life]) * 16, born, incarnation, state)


def single_member() -> Members:
    own = update("a", 1, 0, State.ALIVE)
    return Members(own, [], Random(1), 0, lambda _address, _body: None)


def test_older_update_after_a_newer_one_changes_nothing() -> None:
    m = single_member()
    m.apply_update(1, update("b", 2, 3, State.ALIVE), "c")
    m.apply_update(2, update("b", 2, 2, State.LOST), "c")
    assert m.rows["b"].state.name == "ALIVE"
    m.apply_update(3, update("b", 2, 3, State.LOST), "c")
    assert m.rows["b"].state.name == "LOST"
    m.apply_update(4, update("b", 2, 3, State.ALIVE), "c")  # older than the loss
    m.apply_update(5, update("b", 2, 3, State.SUSPECT), "c")
    assert m.rows["b"].state.name == "LOST"
    m.apply_update(6, update("b", 2, 4, State.ALIVE), "c")
    assert m.rows["b"].state.name == "ALIVE"


def test_restart_with_a_clock_a_day_behind_replaces_the_earlier_life() -> None:
    m = single_member()
    m.apply_update(1, MemberUpdate("a", m.own.address, b"\7" * 16, 86_400_000, 9, State.ALIVE), "c")
    assert m.own.born > 86_400_000
    assert not m.conflict


def test_earlier_process_with_the_same_name_is_reported_as_conflict() -> None:
    m = single_member()
    m.apply_update(1, update("a", 9, 0, State.ALIVE, born=3), "c")
    assert m.conflict == "10.0.0.9:9"
    assert [e.what for e in m.events] == ["conflict"]


def test_first_process_keeps_its_name_until_it_is_lost() -> None:
    m = single_member()
    first, second = update("b", 2, 0, State.ALIVE), update("b", 3, 0, State.ALIVE, born=9)
    m.apply_update(1, first, "c")
    m.apply_update(2, second, "c")
    assert m.rows["b"].update.address == first.address
    m.apply_update(3, update("b", 2, 0, State.LOST), "c")
    m.apply_update(4, second, "c")
    assert m.rows["b"].update.address == second.address


def test_suspicion_ends_sooner_with_more_accusers_and_ignores_relays() -> None:
    m = single_member()
    for n in range(20):
        m.apply_update(0, update(f"m{n:02}", 20 + n, 0, State.ALIVE), "c")
    ends = []
    for accuser in ("c", "d", "e", "f", "g"):
        suspicion = msgspec.structs.replace(update("m01", 21, 0, State.SUSPECT), accuser=accuser)
        for reporter in ("x", "y", "z"):  # relayed by others it is still one accusation
            m.apply_update(1, suspicion, reporter)
        ends.append(m.rows["m01"].suspicion_ends_at)
    assert ends[0] == 1 + max_suspicion_ns(21)
    assert ends == sorted(ends, reverse=True)
    assert ends[3] == 1 + min_suspicion_ns(21)
    m.tick(ends[3])  # the first tick after a pause extends the suspicion
    assert m.rows["m01"].state == State.SUSPECT


def test_member_reported_lost_refutes_with_the_next_incarnation() -> None:
    m = single_member()
    m.apply_update(1, MemberUpdate("a", m.own.address, m.own.life, 5, 0, State.LOST), "c")
    assert (m.own.incarnation, m.own.state) == (1, State.ALIVE)
    assert m.health == 1


def test_draining_member_stays_live_but_takes_no_work() -> None:
    simulation = world(instance_names(5), watched=False)
    simulation.run(4.0)
    drained = simulation.hosts["i02"].instance
    assert drained is not None
    drained.drain(simulation.clock(simulation.hosts["i02"]))
    simulation.run(5.0)
    for host in simulation.hosts.values():
        assert host.instance is not None
        assert "i02" not in host.instance.members.working()
        assert "i02" in host.instance.members.live()


def test_datagrams_of_all_members_are_spread_over_time() -> None:
    simulation = world(instance_names(16), watched=False)
    simulation.run(10.0)
    counts_per_100_ms = []
    for _ in range(50):
        before = sum(simulation.sent.values())
        simulation.run(0.1)
        counts_per_100_ms.append(sum(simulation.sent.values()) - before)
    mean = sum(counts_per_100_ms) / len(counts_per_100_ms)
    assert max(counts_per_100_ms) < 3 * mean  # in step, all would fall on one slot in two or five
