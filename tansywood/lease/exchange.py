"""Messages between lease clients: cut in fragments on their way out, put together on their way in,
and which messages of a voter are accepted. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from tansywood.lease.context import Context, name_of
from tansywood.lease.fragments import Fragment, Reassembly, split_message
from tansywood.lease.log import AppendEntries, InstallSnapshot, Message
from tansywood.lease.messages import AnyMessage, pack, unpack
from tansywood.lease.raft import MS
from tansywood.lease.voter import Voter

PAST_LIVES = 8  # of a voter's disk that are remembered
Deliver = Callable[[int, str, bytes, str, str, AnyMessage], None]


class Exchange:
    """Fragments to and from other instances. What is for this one is delivered at once."""

    def __init__(self, context: Context, deliver: Deliver) -> None:
        """`deliver(now, name, life, sender, to, message)` takes what is for this instance."""
        self.sends: list[tuple[str, Fragment]] = []  # to addresses
        self._context = context
        self._deliver = deliver
        self._reassembly = Reassembly()
        self._number = context.rng.getrandbits(48)  # of the last message

    def send(
        self, now: int, sender: str, to: str, message: AnyMessage, voter: Voter | None
    ) -> None:
        """To a voter's or a holder's id, or to whatever votes at an instance of that name. `voter`
        is the one here, of whose group and disk every fragment tells."""
        context = self._context
        if name_of(to) == context.name:
            self._deliver(now, context.name, context.life, sender, to, message)
            return
        address = context.address(to)
        if not address:
            return
        payloads = split_message(pack(message))
        self._number += 1
        for index, data in enumerate(payloads):
            fragment = Fragment(
                voter.group if voter is not None else "", sender, to,
                voter.kept.saves if voter is not None else 0,
                context.terms.duration_ns // MS, self._number, index, len(payloads), data,
            )  # fmt: skip
            self.sends.append((address, fragment))

    def read(self, now: int, name: str, life: bytes, fragment: Fragment) -> AnyMessage | None:
        """The message that this fragment of an instance makes whole, if it does. Instances that go
        by another length of leases are not heard, and nobody speaks in another's name."""
        counts = self._context.counts
        if fragment.length_ms != self._context.terms.duration_ns // MS:
            counts["length"] += 1
            return None
        if name_of(fragment.sender) != name:
            counts["stale"] += 1
            return None
        whole = self._reassembly.take(now, life, fragment)
        if whole is None:
            return None
        try:
            return unpack(whole)
        except msgspec.MsgspecError:
            counts["unread"] += 1
            return None


class Admission:
    """Which messages of voters are gone by: of honest disks, and of our own group."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._lives: dict[str, bytes] = {}  # of the processes that speak for voters' disks
        self._past: dict[str, deque[bytes]] = {}

    def check_disk(self, voter: Voter, life: bytes, fragment: Fragment) -> int:
        """0 where a voter's disk has all that it said before. One that has less was restored from
        a copy, or lost what it had synced: nothing of it counts, and the number of saves that it
        has told of is returned. -1 for a life that another has followed."""
        sender = fragment.sender
        known = self._lives.get(sender)
        past = self._past.setdefault(sender, deque(maxlen=PAST_LIVES))
        if life in past:
            self._context.counts["stale"] += 1
            return -1
        most = voter.known_saves.get(sender, 0)
        if known != life:
            if fragment.saves < most:
                self._context.counts["behind"] += 1
                return most
            if known is not None:
                past.append(known)
            self._lives[sender] = life
        voter.known_saves[sender] = max(most, fragment.saves)
        return 0

    def check_group(
        self, voter: Voter | None, fragment: Fragment, message: Message
    ) -> tuple[bool, str]:
        """Whether a message of the log is of our group and for this disk; and why our disk is to be
        put aside for a blank one, if it is."""
        counts = self._context.counts
        if voter is None or fragment.to != voter.id:
            counts["stale"] += 1
            return False, ""
        if fragment.group == voter.group:
            return True, ""
        aside = ""
        teaches = isinstance(message, AppendEntries | InstallSnapshot)
        if teaches and name_of(fragment.sender) in self._context.wanted_voters:
            if not voter.group:
                voter.group = fragment.group  # a blank disk is taken in by who teaches it first
                return True, ""
            if voter.id not in voter.raft.voters:
                # What it learned was of a group that did not come to take it in. As another disk
                # it may learn of this one; for the first it is lost, which it has to outlast.
                aside = f"it learned of group {voter.group}, {fragment.group} takes it in"
        counts["foreign"] += 1
        return False, aside
