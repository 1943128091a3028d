"""Reversals (0400, 0420 and their repeats): what each means for its original. Pure.

A terminal that has no answer to a credit, or can't give the customer what was bought, takes it
back. What that means hangs on what became of the original, and on nothing the reversal says:

    the original                          the reversal
    ------------------------------------  -----------------------------------------------------
    never came                            approved, and the original is refused should it come:
                                          a reversal may overtake what it reverses
    waits for a server, never sent        the original is given up, approved
    never ran: refused, turned away       approved
    declined by its server                approved: nothing was credited
    out at a server                       owed, once the original's outcome is known
    approved by its server                owed
    in doubt: may have run                owed
    so long ago that it may be forgotten  not taken: nobody here knows where it belongs

What is owed goes to the original's server until that one answers it, however long that takes
and over restarts: it is a record in a store before the terminal is told that it is approved.
Nothing waits for it but the record: no request's place, no caller. Each is due again after a
time that doubles; a server that has left for good is told of by `stuck`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tansywood.iso8583.codec import Message
from tansywood.iso8583.mapping import when

FIRST_MS = 1_000  # before the second try ...
LONGEST_MS = 60_000  # ... and at most before a later one


class Fate(Enum):
    """What is known of an original."""

    WAITING = "waiting"  # taken, not sent to any server
    OUT = "out"  # sent, without an outcome
    APPROVED = "approved"
    DECLINED = "declined"
    NEVER_RAN = "never ran"
    IN_DOUBT = "in doubt"
    REVERSED = "reversed"  # before it came


class Act(Enum):
    """What is to be done with a reversal."""

    APPROVE = "approve"
    GIVE_UP = "give up"  # the original, which was never sent; then approve
    OWE = "owe"  # keep the debt, then approve, then forward


@dataclass(frozen=True, slots=True)
class Debt:
    """One reversal that a server has still to answer. `message` is its encoding in hexadecimal,
    which a store keeps under the same care as the server's own records: it holds an account."""

    key: str
    server: str
    message: str
    since_ms: int
    tries: int = 0
    due_ms: int = 0

    def record(self) -> dict[str, Any]:
        return {name: getattr(self, name) for name in self.__slots__}


def original_of(message: Message) -> tuple[str, str, str] | None:
    """MTI class, trace number and transmission time of the original, of field 90 (ISO 8583:1987
    4.4.30), or of the reversal's own fields where it has none; None where neither tells."""
    elements = message.fields.get(90)
    if isinstance(elements, str) and len(elements) == 42:
        return elements[:3], elements[4:10], elements[10:20]
    stan, time = message.fields.get(11), message.fields.get(7)
    if isinstance(stan, str) and isinstance(time, str):
        return "020", stan, time
    return None


def older(transmission: str, now_ms: int, than_ms: int) -> bool:
    """Whether a field 7 lies longer ago than this; false where it is no time."""
    at = when(transmission, now_ms)
    return at is not None and now_ms - at > than_ms


def forwarded(message: Message, stan: str) -> Message:
    """The reversal as the original's server gets it: that one knows the original under our own
    trace number, which stands in field 90 in place of the terminal's."""
    elements = message.fields.get(90)
    if not isinstance(elements, str) or len(elements) != 42:
        return message
    return Message(message.mti, message.fields | {90: elements[:4] + stan + elements[10:]})


class Reversals:
    """Originals' fates and what is owed. Keys are identities: see `repeats.identity`.

    `keep_ms` is how long an original's fate is known after its last change.
    """

    def __init__(self, keep_ms: int) -> None:
        self.keep_ms = keep_ms
        self._fates: OrderedDict[str, tuple[Fate, str, int]] = OrderedDict()
        self._debts: dict[str, Debt] = {}
        self._early: set[str] = set()  # reversals of what is out: owed with its outcome

    def load(
        self,
        debts: list[dict[str, Any]],
        fates: Sequence[tuple[str, dict[str, Any]]] = (),
    ) -> None:
        """What a store kept. All that is owed is due at once; what was out is in doubt."""
        for key, row in sorted(fates, key=lambda entry: entry[1]["until_ms"]):
            fate = Fate(row["fate"])
            known = Fate.IN_DOUBT if fate in (Fate.OUT, Fate.WAITING) else fate
            self._fates[key] = (known, row["server"], row["until_ms"])
        for record in debts:
            debt = Debt(**record)
            self._debts[debt.key] = Debt(**(debt.record() | {"due_ms": 0}))

    # ---- originals -------------------------------------------------------------------------

    def came(self, key: str, now_ms: int) -> bool:
        """An original. False where it must not be sent: it was reversed, or it may have run and
        its repeat comes later than an answer is kept. `fate` tells which."""
        if self.fate(key) not in (None, Fate.NEVER_RAN, Fate.DECLINED):
            return False
        self._set(key, Fate.WAITING, "", now_ms)
        return True

    def sent(self, key: str, server: str, now_ms: int) -> bool:
        """An attempt of it goes out, to this server. False where it must not: it was reversed
        while it waited for a connection."""
        known = self._fates.get(key)
        if known is not None and known[0] == Fate.REVERSED:
            return False
        if known is not None:
            self._set(key, Fate.OUT, server, now_ms)
        return True

    def fate(self, key: str) -> Fate | None:
        known = self._fates.get(key)
        return known[0] if known is not None else None

    def ended(self, key: str, fate: Fate, now_ms: int) -> Fate:
        """Its outcome. Returns it, for whoever has to settle an early reversal by it."""
        known = self._fates.get(key)
        if known is not None:
            self._set(key, fate, known[1], now_ms)
        return fate

    def record(self, key: str) -> dict[str, Any] | None:
        """What a store is to keep of an original, durably, before it is sent and when it has
        ended; None where nothing is known. Forgotten over a restart, a credit's reversal would
        be approved as that of one that never came."""
        known = self._fates.get(key)
        if known is None:
            return None
        return {"fate": known[0].value, "server": known[1], "until_ms": known[2]}

    def _set(self, key: str, fate: Fate, server: str, now_ms: int) -> None:
        self._fates[key] = (fate, server, now_ms + self.keep_ms)
        self._fates.move_to_end(key)

    # ---- reversals ---------------------------------------------------------------------------

    def arrives(self, key: str, message: str, now_ms: int) -> tuple[Act, Debt | None]:
        """A reversal of this original, or its repeat. With OWE comes what has to be kept
        before the terminal is answered."""
        owed = self._debts.get(key)
        if owed is not None:
            return Act.OWE, owed  # told again, owed once
        fate, server, _ = self._fates.get(key, (None, "", 0))
        if fate is None or fate in (Fate.NEVER_RAN, Fate.DECLINED, Fate.REVERSED):
            if fate is None:
                self._set(key, Fate.REVERSED, "", now_ms)
            return Act.APPROVE, None
        if fate == Fate.WAITING:
            self._set(key, Fate.REVERSED, "", now_ms)
            return Act.GIVE_UP, None
        debt = Debt(key, server, message, now_ms)
        self._debts[key] = debt
        if fate == Fate.OUT:
            self._early.add(key)
        return Act.OWE, debt

    def settled(self, key: str) -> bool:
        """The original has its outcome: whether the debt that came before it falls away, since
        nothing was credited. Else it is due."""
        if key not in self._early:
            return False
        self._early.discard(key)
        fate = self._fates[key][0] if key in self._fates else Fate.IN_DOUBT
        if fate in (Fate.NEVER_RAN, Fate.DECLINED):
            del self._debts[key]
            return True
        return False

    # ---- what is owed ------------------------------------------------------------------------

    def due(self, now_ms: int, most: int = 16) -> list[Debt]:
        """Debts to forward now, the oldest first. Each is due again later, unless answered."""
        found = [
            debt
            for debt in self._debts.values()
            if debt.due_ms <= now_ms and debt.key not in self._early
        ]
        found = sorted(found, key=lambda debt: debt.since_ms)[:most]
        for debt in found:
            wait = min(FIRST_MS << min(debt.tries, 16), LONGEST_MS)
            self._debts[debt.key] = Debt(
                debt.key, debt.server, debt.message, debt.since_ms, debt.tries + 1, now_ms + wait
            )
        return found

    def answered(self, key: str) -> bool:
        """Its server has taken it, or it could not be kept: the record may go. False where
        nothing was owed any more, as for a second answer."""
        self._early.discard(key)
        return self._debts.pop(key, None) is not None

    def owes(self, key: str) -> bool:
        return key in self._debts

    def stuck(self, now_ms: int, after_ms: int) -> list[Debt]:
        """What is owed for so long that somebody has to look."""
        return [debt for debt in self._debts.values() if now_ms - debt.since_ms >= after_ms]

    def expired(self, now_ms: int) -> list[str]:
        """Forget fates whose time is over; what is out, waits or is owed stays. The store may
        drop those that are returned."""
        gone: list[str] = []
        while self._fates:
            key, (fate, server, until) = next(iter(self._fates.items()))
            if until > now_ms:
                break
            del self._fates[key]
            if fate in (Fate.OUT, Fate.WAITING) or key in self._debts:
                self._set(key, fate, server, now_ms)
            else:
                gone.append(key)
        return gone

    @property
    def owed(self) -> int:
        return len(self._debts)
