"""The written rule between ISO 8583 and the node: classes, outcomes, response codes. Pure.

a message                      is of the class
-----------------------------  --------------------------------------------------------
MTI and processing code        of the first rule whose prefixes both fit

field 39 of a server's answer  is the outcome
-----------------------------  --------------------------------------------------------
one of `turned_away`           FULL: it never ran, another attempt is harmless
one of `in_doubt`              ERROR: it may have run
any other                      OK: an answer, a declined one too; it goes to the caller

the time that is left          is the class's deadline
-----------------------------  --------------------------------------------------------
`by_field_7` is not set        from the message's arrival on
`by_field_7` is set            from field 7 on (UTC, whole seconds: counted as the second's
                               end); over by then, it is refused: nobody waits any more

the node's end of a request    is field 39 for the caller, who does with it
-----------------------------  --------------------------------------------------------
served                         what the server answered
refused: it never ran          `refused` (91): may ask again later, under a new number; in
                               `retry_field`, where the dialect has one, after how many seconds
failed: it may have run        `failed` (68): in doubt; a credit has to be reversed
another content, same identity `conflict` (94)
no class                       `unknown` (12)
a reversal that is taken       `reversed` (00); see `reversals`
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from flinthatch import Outcome
from tansywood.iso8583.codec import Message


@dataclass(frozen=True, slots=True)
class Rule:
    """`mti` and `processing` are beginnings: "02" and "91" fit 0200 and 910000."""

    cls: str
    mti: str
    processing: str = ""


@dataclass(frozen=True, slots=True)
class Mapping:
    rules: tuple[Rule, ...]
    turned_away: frozenset[str] = frozenset({"91"})
    in_doubt: frozenset[str] = frozenset({"68", "96"})
    refused: str = "91"
    failed: str = "68"
    conflict: str = "94"
    unknown: str = "12"
    reversed: str = "00"
    by_field_7: bool = False
    retry_field: int = 0
    approved: frozenset[str] = frozenset({"00", "10", "11"})  # a credit that was booked

    def __post_init__(self) -> None:
        if self.turned_away & self.in_doubt:
            raise ValueError("a code can't be both turned_away and in_doubt")

    def class_of(self, message: Message) -> str | None:
        """None where no rule fits."""
        processing = message.fields.get(3, "")
        for rule in self.rules:
            if message.mti.startswith(rule.mti) and str(processing).startswith(rule.processing):
                return rule.cls
        return None

    def left_ms(self, message: Message, deadline_ms: int, now_ms: int) -> int:
        """What its caller has left, in milliseconds; `now_ms` is Unix time. 0 or less: nothing.

        A field 7 ahead of our clock, or that is no time, counts as now.
        """
        sent = message.fields.get(7)
        at = when(sent, now_ms) if self.by_field_7 and isinstance(sent, str) else None
        if at is None:
            return deadline_ms
        return deadline_ms - max(now_ms - (at + 999), 0)

    def outcome(self, message: Message) -> Outcome:
        code = message.fields.get(39)
        if not isinstance(code, str) or code in self.in_doubt:
            return Outcome.ERROR
        return Outcome.FULL if code in self.turned_away else Outcome.OK


def when(transmission: str, now_ms: int) -> int | None:
    """A field 7 (MMDDhhmmss, UTC) as Unix time in milliseconds; None where it is no time.

    It tells no year: the latest that is not a day ahead is meant.
    """
    now = datetime.fromtimestamp(now_ms / 1000, UTC)
    for year in (now.year + 1, now.year, now.year - 1):
        try:
            at = datetime.strptime(f"{year}{transmission}", "%Y%m%d%H%M%S").replace(tzinfo=UTC)
        except ValueError:
            continue
        if at <= now + timedelta(days=1):
            return int(at.timestamp()) * 1000
    return None


def of_many(written: Sequence[bool]) -> list[Outcome]:
    """What a break does to the messages that were outstanding on one connection, in the order
    they were sent; `written` tells of each whether its last byte may have left.

    One break is one piece of news of a server, however many it puts in doubt: told as many
    breaks, five outstanding credits would have had the server ejected. The first is told as
    what it is, the others as given up: they may have run, and say nothing of the server.
    """
    found: list[Outcome] = []
    told = False
    for left in written:
        if not left:
            found.append(Outcome.NOT_SENT)
        elif told:
            found.append(Outcome.CANCELLED)
        else:
            found.append(Outcome.RESET)
            told = True
    return found
