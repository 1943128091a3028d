"""Messages that are asked again: one credit, one answer, whatever is repeated and restarted."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from typing import Any

import pytest

from tansywood.iso8583.codec import Message
from tansywood.iso8583.repeats import Repeats, Verdict, content, identity

SECRET = b"secret"


def message(mti: str = "0200", stan: str = "000001", amount: str = "000000002500") -> Message:
    return Message(
        mti,
        {2: "4111111111111111", 3: "910000", 4: amount, 7: "1201113000", 11: stan, 41: "TERM0001"},
    )


def test_a_repeat_has_the_identity_of_its_first_and_another_amount_another_content() -> None:
    first, again = message("0200"), message("0201")
    assert identity(first, SECRET) == identity(again, SECRET)
    assert content(first, SECRET) == content(again, SECRET)
    assert content(message(amount="000000009999"), SECRET) != content(first, SECRET)
    assert identity(message("0400"), SECRET) != identity(first, SECRET)
    assert identity(message(stan="000002"), SECRET) != identity(first, SECRET)
    assert identity(first, b"other") != identity(first, SECRET)
    assert "4111" not in identity(first, SECRET) + content(first, SECRET)


def test_a_repeat_joins_then_gets_the_same_answer_then_is_forgotten() -> None:
    table = Repeats(1000)
    assert table.arrives("k", "c", "first", 0) == (Verdict.NEW, "")
    assert table.arrives("k", "c", "second", 1) == (Verdict.JOIN, "")
    assert table.arrives("k", "other", "third", 1) == (Verdict.CONFLICT, "")
    assert table.arrives("k", "c", "fourth", 5000) == (Verdict.JOIN, "")  # open, however long
    assert table.expired(10_000) == []
    assert table.answered("k", "aa", 10_000) == ["second", "fourth"]
    assert table.arrives("k", "c", "fifth", 10_999) == (Verdict.AGAIN, "aa")
    assert table.arrives("k", "other", "x", 10_999) == (Verdict.CONFLICT, "")
    assert table.expired(11_000) == ["k"] and len(table) == 0
    assert table.arrives("k", "c", "sixth", 11_000) == (Verdict.NEW, "")


def test_what_never_ran_may_be_tried_anew() -> None:
    table = Repeats(1000)
    table.arrives("k", "c", "first", 0)
    table.arrives("k", "c", "second", 0)
    assert table.never_ran("k") == ["second"]
    assert table.arrives("k", "c", "third", 1) == (Verdict.NEW, "")


def test_after_a_restart_what_was_open_is_in_doubt_and_what_was_answered_is_known() -> None:
    before = Repeats(1000)
    before.arrives("open", "c", "x", 0)
    before.arrives("done", "c", "x", 0)
    before.answered("done", "aa", 10)
    rows = [(k, row) for k in ("open", "done") if (row := before.record(k)) is not None]
    after = Repeats(1000)
    after.load(rows)
    assert after.arrives("open", "c", "y", 20) == (Verdict.LOST, "")
    assert after.arrives("done", "c", "y", 20) == (Verdict.AGAIN, "aa")
    assert sorted(after.expired(2000)) == ["done", "open"]


def test_the_table_has_a_bound_and_what_is_open_stays() -> None:
    table = Repeats(10**9, most=10)
    table.arrives("open", "c", "x", 0)
    for n in range(50):
        table.arrives(f"k{n}", "c", "x", n)
        table.answered(f"k{n}", "aa", n)
        table.expired(n)
    assert len(table) == 10
    assert table.arrives("open", "c", "x", 100) == (Verdict.JOIN, "")


@pytest.mark.parametrize("seed", range(30))
def test_any_sequence_of_repeats_answers_and_restarts_sends_a_credit_once(seed: int) -> None:
    """The store has what was kept before a send; a restart loses everything else."""
    rng = Random(seed)
    table = Repeats(500)
    kept: dict[str, dict[str, Any]] = {}
    now = 0
    ran: dict[str, list[int]] = {}  # when a credit was sent
    answers: dict[str, set[str]] = {}
    open_: set[str] = set()

    def keep(key: str) -> None:
        row = table.record(key)
        if row is None:
            kept.pop(key, None)
        else:
            kept[key] = row

    for step in range(800):
        now += rng.randrange(20)
        key = f"k{rng.randrange(8)}"
        kind = rng.random()
        if kind < 0.6:
            verdict, answer = table.arrives(key, "c", step, now)
            if verdict == Verdict.NEW:
                keep(key)
                ran.setdefault(key, []).append(now)
                answers[key] = set()
                open_.add(key)
            elif verdict == Verdict.AGAIN:
                assert answers[key] == {answer}  # the same as ever
            elif verdict == Verdict.JOIN:
                assert key in open_
        elif kind < 0.8 and open_:
            done = rng.choice(sorted(open_))
            open_.discard(done)
            answers[done].add(f"a{step}")
            table.answered(done, f"a{step}", now)
            keep(done)
        elif kind < 0.9:
            for gone in table.expired(now):
                kept.pop(gone, None)
        elif kind < 0.93:
            table = Repeats(500)
            table.load([(k, dict(row)) for k, row in kept.items()])
            open_.clear()
        for times in ran.values():
            # Within the stated time of its last news a credit is never sent again.
            assert all(b - a >= 500 for a, b in pairwise(times))
