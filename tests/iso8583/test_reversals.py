"""Reversals: every sum agrees in the end, whatever overtakes what and whenever it restarts."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from tansywood.iso8583.codec import Message
from tansywood.iso8583.reversals import (
    FIRST_MS,
    LONGEST_MS,
    Act,
    Debt,
    Fate,
    Reversals,
    original_of,
)


def table(*steps: tuple[str, Any]) -> Reversals:
    made = Reversals(10_000)
    assert made.came("k", 0)
    for what, value in steps:
        if what == "sent":
            made.sent("k", value, 1)
        else:
            made.ended("k", value, 2)
    return made


@pytest.mark.parametrize(
    ("steps", "act"),
    [
        ([], Act.GIVE_UP),
        ([("sent", "s-1")], Act.OWE),
        ([("sent", "s-1"), ("ended", Fate.APPROVED)], Act.OWE),
        ([("sent", "s-1"), ("ended", Fate.IN_DOUBT)], Act.OWE),
        ([("sent", "s-1"), ("ended", Fate.DECLINED)], Act.APPROVE),
        ([("sent", "s-1"), ("ended", Fate.NEVER_RAN)], Act.APPROVE),
        ([("ended", Fate.NEVER_RAN)], Act.APPROVE),
    ],
)
def test_what_a_reversal_means_hangs_on_what_became_of_its_original(
    steps: list[tuple[str, Any]], act: Act
) -> None:
    made = table(*steps)
    got, debt = made.arrives("k", "aa", 5)
    assert got == act and (debt is not None) == (act == Act.OWE)
    if debt is not None:
        assert debt.server == "s-1"
        assert made.arrives("k", "aa", 6) == (Act.OWE, debt) and made.owed == 1  # owed once


def test_a_reversal_that_overtakes_its_original_keeps_it_from_being_sent() -> None:
    made = Reversals(10_000)
    assert made.arrives("k", "aa", 0) == (Act.APPROVE, None)
    assert not made.came("k", 1)
    assert made.arrives("k", "aa", 2) == (Act.APPROVE, None)
    made.expired(10_000)
    assert made.came("k", 10_000)  # after the stated time it is another one


def test_what_was_reversed_while_out_is_settled_by_its_outcome() -> None:
    for fate, falls in ((Fate.DECLINED, True), (Fate.NEVER_RAN, True), (Fate.APPROVED, False)):
        made = table(("sent", "s-1"))
        assert made.arrives("k", "aa", 5)[0] == Act.OWE
        assert made.due(10**9) == []  # it must not overtake its original at the server
        made.ended("k", fate, 6)
        assert made.settled("k") is falls and made.owed == (not falls)
        assert bool(made.due(10**9)) is not falls


def test_a_debt_is_forwarded_again_and_again_until_it_is_answered() -> None:
    made = table(("sent", "s-1"), ("ended", Fate.IN_DOUBT))
    made.arrives("k", "aa", 0)
    now, gaps = 0, []
    for _ in range(12):
        assert len(made.due(now)) == 1
        again = now
        while not made.due(again):
            again += 100
        gaps.append(again - now)
        now = again + LONGEST_MS
    assert gaps[0] == FIRST_MS and max(gaps) <= LONGEST_MS
    assert [d.key for d in made.stuck(now, 1000)] == ["k"]
    assert made.answered("k") and not made.answered("k") and made.due(10**12) == []


def test_what_is_owed_outlasts_a_restart() -> None:
    made = table(("sent", "s-1"), ("ended", Fate.APPROVED))
    _, debt = made.arrives("k", "aa", 5)
    assert debt is not None
    after = Reversals(10_000)
    after.load([debt.record()])
    assert after.due(0) == [Debt("k", "s-1", "aa", 5)] and after.owed == 1
    assert after.arrives("k", "aa", 6)[0] == Act.OWE and after.owed == 1


def test_the_original_is_named_by_field_90_or_by_the_same_numbers() -> None:
    whole = "0200" + "000042" + "1201113000" + "00000123456" + "00000000000"
    assert original_of(Message("0400", {90: whole, 11: "000099"})) == (
        "020",
        "000042",
        "1201113000",
    )
    own = Message("0400", {11: "000042", 7: "1201113000"})
    assert original_of(own) == ("020", "000042", "1201113000")
    assert original_of(Message("0400", {90: "short"})) is None


def test_an_originals_fate_outlasts_a_restart_and_what_was_out_is_in_doubt() -> None:
    for fate, act in ((Fate.OUT, Act.OWE), (Fate.APPROVED, Act.OWE), (Fate.DECLINED, Act.APPROVE)):
        made = table(("sent", "s-1"))
        if fate != Fate.OUT:
            made.ended("k", fate, 3)
        row = made.record("k")
        assert row is not None
        after = Reversals(10_000)
        after.load([], [("k", row)])
        got, debt = after.arrives("k", "aa", 5)
        assert got == act and (debt is None or debt.server == "s-1")


@pytest.mark.parametrize("seed", range(40))
def test_every_sum_agrees_in_the_end(seed: int) -> None:
    """Servers that credit or not, answers that are lost, reversals at any moment, restarts at
    any other that find what was kept. In the end whatever was reversed is credited nowhere,
    and whatever was not is as its server has it."""
    rng = Random(seed)
    made = Reversals(10**9)
    debts: dict[str, dict[str, Any]] = {}  # the store
    fates: dict[str, dict[str, Any]] = {}
    credited: dict[str, bool] = {}  # at the servers
    state: dict[str, str] = {}  # of originals: waiting, out, done
    ran: dict[str, bool] = {}
    reversed_: set[str] = set()
    now = 0

    def keep(key: str) -> None:
        row = made.record(key)
        assert row is not None
        fates[key] = row

    def end(key: str) -> None:
        """The original's outcome, as the node learns it."""
        if ran[key]:
            fate = rng.choice((Fate.APPROVED, Fate.IN_DOUBT))
        else:
            fate = rng.choice((Fate.DECLINED, Fate.NEVER_RAN, Fate.IN_DOUBT))
        made.ended(key, fate, now)
        keep(key)
        state[key] = "done"
        if made.settled(key):
            debts.pop(key, None)

    for _ in range(600):
        now += rng.randrange(500)
        kind = rng.random()
        key = f"k{rng.randrange(40)}"
        if kind < 0.25 and key not in state:
            came = made.came(key, now)
            assert came or key in reversed_
            state[key] = "waiting" if came else "done"
        elif kind < 0.45 and state.get(key) == "waiting":
            made.sent(key, "s", now)
            keep(key)  # durably, and only then it leaves
            state[key] = "out"
            ran[key] = credited[key] = rng.random() < 0.7
        elif kind < 0.6 and state.get(key) == "out":
            end(key)
        elif kind < 0.8:
            act, debt = made.arrives(key, "aa", now)
            reversed_.add(key)
            keep(key)
            if act == Act.GIVE_UP:
                assert state[key] == "waiting"
                state[key] = "done"
            elif act == Act.OWE:
                assert debt is not None
                debts[key] = debt.record()
        elif kind < 0.95:
            for debt in made.due(now):
                assert state[debt.key] == "done", "it overtook its original at the server"
                if rng.random() < 0.5:  # the server has it
                    credited[debt.key] = False
                    if rng.random() < 0.7:  # and its answer is not lost
                        assert made.answered(debt.key)
                        debts.pop(debt.key)
        else:
            made = Reversals(10**9)
            made.load(
                [dict(row) for row in debts.values()], [(k, dict(f)) for k, f in fates.items()]
            )
            for known in list(state):
                if state[known] == "out":
                    state[known] = "done"  # in doubt; at its server it is as it was
                elif state[known] == "waiting":
                    del state[known]  # nothing was sent: its terminal asks again, or reverses
        assert set(debts) == {debt.key for debt in made._debts.values()}
    for key in [k for k, s in state.items() if s == "out"]:
        end(key)
    for _ in range(200):
        now += LONGEST_MS
        for debt in made.due(now):
            credited[debt.key] = False
            assert made.answered(debt.key)
            debts.pop(debt.key)
    assert made.owed == 0 and not debts
    for key, has in credited.items():
        assert has == (ran[key] and key not in reversed_), key
