"""Sends and receives messages between lease clients in fragments, and decides which messages of
voters are accepted. Pure."""

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

MAX_PAST_LIVES = 8  # earlier processes that are remembered for each voter's disk
Deliver = Callable[[int, str, bytes, str, str, AnyMessage], None]


class Exchange:
    """Fragments to and from other instances. A message to this instance itself is delivered at
    once, without fragments."""

    def __init__(self, context: Context, deliver: Deliver) -> None:
        """`deliver(now, name, life, sender, to, message)` handles a message to this instance."""
        self.sends: list[tuple[str, Fragment]] = []  # address and fragment
        self._context = context
        self._deliver = deliver
        self._reassembly = Reassembly()
        self._number = context.rng.getrandbits(48)  # number of the last message

    def send(
        self, now: int, sender: str, to: str, message: AnyMessage, voter: Voter | None
    ) -> None:
        """Sends a message to a voter's or a holder's id, or to the voter of the instance that `to`
        names. Every fragment carries the group and the saves of `voter`, the voter of this
        instance. A message to an instance without a known address is dropped."""
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
        """Adds a fragment that the instance `name` sent; returns its message once it is complete.

        A fragment is dropped and counted where the sender uses another lease duration, where its
        sender id names another instance, or where the message can't be decoded.
        """
        counts = self._context.counts
        if fragment.length_ms != self._context.terms.duration_ns // MS:
            counts["length"] += 1
            return None
        if name_of(fragment.sender) != name:
            counts["stale"] += 1
            return None
        encoded = self._reassembly.take(now, life, fragment)
        if encoded is None:
            return None
        try:
            return unpack(encoded)
        except msgspec.MsgspecError:
            counts["unread"] += 1
            return None


class Admission:
    """Decides which messages of voters are accepted: only those of disks that have lost no saves,
    and only those of this voter's group."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._current_lives: dict[str, bytes] = {}  # by disk: the process that uses it
        self._past_lives: dict[str, deque[bytes]] = {}  # by disk: processes that used it before

    def check_disk(self, voter: Voter, life: bytes, fragment: Fragment) -> int:
        """Checks that the sending voter's disk still holds all saves that it reported before.

        Returns 0 where it does. A disk with fewer saves was restored from a copy or lost data that
        it had synced: its messages are not accepted, and the number of saves that it reported
        before is returned. Returns -1 for a process that a later process of the disk replaced.
        """
        sender = fragment.sender
        current_life = self._current_lives.get(sender)
        past_lives = self._past_lives.setdefault(sender, deque(maxlen=MAX_PAST_LIVES))
        if life in past_lives:
            self._context.counts["stale"] += 1
            return -1
        max_saves = voter.known_saves.get(sender, 0)
        if current_life != life:
            if fragment.saves < max_saves:
                self._context.counts["behind"] += 1
                return max_saves
            if current_life is not None:
                past_lives.append(current_life)
            self._current_lives[sender] = life
        voter.known_saves[sender] = max(max_saves, fragment.saves)
        return 0

    def check_group(
        self, voter: Voter | None, fragment: Fragment, message: Message
    ) -> tuple[bool, str]:
        """Whether to accept a Raft message: it has to be addressed to this voter's disk and to come
        from its group. The second value is the reason to put this voter's disk aside for a blank
        one, or an empty string."""
        counts = self._context.counts
        if voter is None or fragment.to != voter.id:
            counts["stale"] += 1
            return False, ""
        if fragment.group == voter.group:
            return True, ""
        aside_reason = ""
        is_replication = isinstance(message, AppendEntries | InstallSnapshot)
        if is_replication and name_of(fragment.sender) in self._context.wanted_voters:
            if not voter.group:
                # A blank disk joins the first group that replicates its log to it.
                voter.group = fragment.group
                return True, ""
            if voter.id not in voter.raft.voters:
                # This disk holds the log of a group that never made it a voter. A blank disk can
                # join the new group. The first group loses this learner, which it has to tolerate.
                aside_reason = f"it learned of group {voter.group}, {fragment.group} takes it in"
        counts["foreign"] += 1
        return False, aside_reason
