"""Conversations by their tables, and against whatever a peer may send."""

from __future__ import annotations

from random import Random

import pytest

from tansywood.iso8583 import machine
from tansywood.iso8583.codec import Message, Value
from tansywood.iso8583.machine import (
    Answer,
    Broken,
    Front,
    Link,
    Reply,
    Request,
    Stans,
    State,
    Stray,
    reply_to,
)


def credit(stan: str = "000042", time: str = "1201113000", **more: str) -> Message:
    fields: dict[int, Value] = {3: "910000", 4: "000000002500", 7: time, 11: stan, 41: "TERM0001"}
    return Message("0200", fields | {int(k[1:]): v for k, v in more.items()})


def managed(code: str, stan: str = "000001") -> Message:
    return Message("0800", {7: "1201113000", 11: stan, 70: code})


def approved(message: Message, code: str = "00") -> Message:
    return reply_to(message, code)


# ---- the front ----


def test_a_terminal_signs_on_echoes_asks_and_signs_off() -> None:
    front = Front(must_sign_on=True)
    early = front.received(credit())
    assert isinstance(early, Reply) and early.message.mti == "0210"
    assert early.message.fields[39] == "91" and early.message.fields[11] == "000042"
    for code in ("001", "301"):
        event = front.received(managed(code))
        assert isinstance(event, Reply) and event.message.mti == "0810"
        assert event.message.fields[39] == "00" and event.message.fields[70] == code
    assert front.received(credit()) == Request(credit())
    assert isinstance(front.received(managed("002")), Reply) and front.state == State.LEAVING
    assert isinstance(front.received(credit()), Reply)
    again = front.received(managed("001"))  # once it leaves it does not come back
    assert isinstance(again, Reply) and again.message.fields[39] == "12"


def test_a_terminal_that_need_not_sign_on_may_ask_at_once_and_never_answers() -> None:
    front = Front()
    assert isinstance(front.received(credit()), Request)
    assert isinstance(front.received(approved(credit())), Stray)
    odd = front.received(managed("777"))
    assert isinstance(odd, Reply) and odd.message.fields[39] == "12"


# ---- the link ----


def signed(most: int = 100, rest_ms: int = 1000) -> Link:
    link = Link(Stans(rest_ms), most)
    first = link.start(0, "1201113000")
    assert first is not None and not link.room()
    assert link.received(1, approved(first)) is None and link.state == State.SIGNED
    return link


def test_a_link_signs_on_before_anything_else() -> None:
    link = Link(Stans(1000), 10)
    first = link.start(0, "1201113000")
    assert first is not None and first.fields[70] == "001"
    assert link.send(0, "t", credit()) is None
    assert isinstance(link.received(1, approved(first, "05")), Broken)
    late = Link(Stans(1000), 10, patience_ms=50)
    late.start(0, "1201113000")
    assert late.tick(49, "1201113000") is None
    assert isinstance(late.tick(50, "1201113000"), Broken)
    assert Link(Stans(1000), 10, sign_on=False).start(0, "") is None


def test_our_trace_number_goes_out_and_the_callers_comes_back() -> None:
    link = signed()
    sent = link.send(5, "a", credit("000042"))
    other = link.send(5, "b", credit("000042"))  # two terminals with the same number
    assert sent is not None and other is not None
    assert sent.fields[11] != other.fields[11] != "000042"
    got = link.received(9, approved(other))
    assert isinstance(got, Answer) and got.token == "b" and got.message.fields[11] == "000042"
    got = link.received(9, approved(sent))
    assert isinstance(got, Answer) and got.token == "a"


@pytest.mark.parametrize("number", [7, 11, 41, 32])
def test_an_answer_with_another_key_serves_nobody(number: int) -> None:
    link = signed()
    sent = link.send(5, "a", credit(f32="123456"))
    assert sent is not None
    wrong = approved(sent)
    wrong.fields[number] = {7: "1201113001", 11: "777777", 41: "TERM0002", 32: "9"}[number]
    assert isinstance(link.received(6, wrong), Stray)
    del wrong.fields[number]
    assert isinstance(link.received(6, wrong), Stray)
    assert isinstance(link.received(7, approved(sent)), Answer)
    assert isinstance(link.received(8, approved(sent)), Stray)  # a second copy


def test_a_late_answer_to_a_number_of_before_serves_nothing_new() -> None:
    link = signed()
    old = link.send(5, "old", credit())
    assert old is not None and link.give_up(6, "old") and not link.give_up(6, "old")
    link.stans._next = int(str(old.fields[11]))  # as after a turn of all numbers
    new = link.send(7, "new", credit())
    assert new is not None and new.fields[11] != old.fields[11]
    assert isinstance(link.received(8, approved(old)), Stray)
    link.stans._next = int(str(old.fields[11]))
    later = link.send(6 + 1000, "later", credit())  # it has rested
    assert later is not None and later.fields[11] == old.fields[11]


def test_numbers_wrap_and_never_meet_one_that_is_out_or_rests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(machine, "STANS", 10)
    stans = Stans(100)
    taken = [stans.take(0) for _ in range(9)]
    assert taken == list(range(1, 10)) and stans.take(0) is None
    stans.give(4, 0)
    assert stans.take(99) is None and stans.take(100) == 4


def test_a_link_takes_no_more_than_its_server_does() -> None:
    link = signed(most=2)
    first = link.send(1, "a", credit())
    assert first is not None and link.send(1, "b", credit()) is not None
    assert not link.room() and link.send(1, "c", credit()) is None
    assert isinstance(link.received(2, approved(first)), Answer) and link.room()


def test_a_break_tells_each_that_was_outstanding_once() -> None:
    link = signed()
    sent = [link.send(1, n, credit()) for n in range(5)]
    assert sent[1] is not None
    link.received(2, approved(sent[1]))
    assert link.broke("reset") == Broken("reset", (0, 2, 3, 4))
    assert link.broke("again").outstanding == () and not link.room()
    assert isinstance(link.received(3, approved(sent[2] or credit())), Stray)


def test_an_echo_that_fails_with_credits_outstanding_breaks_the_link() -> None:
    link = signed()
    link.send(1, "a", credit())
    echo = link.tick(30_001, "1201113030")
    assert isinstance(echo, Message) and echo.fields[70] == "301"
    assert link.tick(30_002, "x") is None  # one at a time
    over = link.tick(35_001, "x")
    assert isinstance(over, Broken) and over.outstanding == ("a",)
    quiet = signed()
    echo = quiet.tick(30_001, "1201113030")
    assert isinstance(echo, Message)
    assert quiet.received(30_010, approved(echo)) is None
    assert quiet.tick(60_009, "x") is None and quiet.state == State.SIGNED


def test_a_server_may_echo_too_and_asks_nothing_else() -> None:
    link = signed()
    assert isinstance(link.received(2, managed("301")), Reply)
    assert isinstance(link.received(2, credit()), Stray)
    assert isinstance(link.received(2, Message("0810", {11: "999999", 39: "00"})), Stray)


@pytest.mark.parametrize("seed", range(30))
def test_whatever_a_server_sends_nobody_gets_anothers_answer_or_two(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Answers late, twice, out of order, mixed up, made up; numbers that wrap all the time."""
    monkeypatch.setattr(machine, "STANS", 60)
    rng = Random(seed)
    link = signed(most=15, rest_ms=200)
    sent: list[tuple[int, Message]] = []  # all there ever were
    open_: set[int] = set()
    served: set[int] = set()
    now = token = 0
    for _ in range(1500):
        now += rng.randrange(4)
        step = rng.random()
        if step < 0.4:
            token += 1
            terminal = f"TERM{rng.randrange(3):04d}"
            # The terminal's own time differs with each; the amount is the token, to tell by.
            message = credit(f"{rng.randrange(1, 9):06d}", f"{token:010d}", f41=terminal)
            message.fields[4] = f"{token:012d}"
            out = link.send(now, token, message)
            if out is not None:
                sent.append((token, out))
                open_.add(token)
        elif step < 0.5 and open_:
            gone = rng.choice(sorted(open_))
            assert link.give_up(now, gone)
            open_.discard(gone)
        elif sent:
            which, message = rng.choice(sent[-40:])
            answer = approved(message)
            if rng.random() < 0.3:
                answer.fields[rng.choice((7, 11, 41))] = rng.choice(
                    [m.fields[11] for _, m in sent[-20:]]
                )
            got = link.received(now, answer)
            if isinstance(got, Answer):
                assert got.token in open_ and got.token not in served
                # What it is served was made for it.
                assert int(str(got.message.fields[4])) == got.token == which
                served.add(which)
                open_.discard(which)
            else:
                assert isinstance(got, Stray)
        assert len(link.out) == len(open_) <= 15
    assert len(served) > 100
    assert set(link.broke("end").outstanding) == open_
