"""What a follower does with a leader's entries and snapshots. Pure."""

from __future__ import annotations

from tansywood.lease.log import AppendEntries, AppendEntriesReply, Entries, InstallSnapshot
from tansywood.lease.raft_state import RaftState


class Follower(RaftState):
    """The receiving end of replication (Ongaro, 3.5 and 5)."""

    def _heed(self, now: int, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether this is of a leader of our term or a later one; it is followed then, and
        otherwise told that it leads no more."""
        if message.term < self.term:
            self._acknowledge(sender, False, 0, message.round)
            return False
        self._follow(now, self.term, sender)
        self.leader_heard_at = now
        return True

    def _acknowledge(self, sender: str, ok: bool, match: int, round_: int) -> None:
        self._post(sender, AppendEntriesReply(self.term, ok, match, round_))

    def _appending(self, now: int, sender: str, message: AppendEntries) -> None:
        """Take a leader's entries, if they fit to what is here."""
        if not self._heed(now, sender, message):
            return
        prev, entries = message.prev_index, message.entries
        if prev < self.snapshot.index:
            # The beginning is in our snapshot, and what is in it was committed: it is the same.
            skip = min(self.snapshot.index - prev, len(entries))
            prev, entries = prev + skip, entries[skip:]
            if prev < self.snapshot.index:
                self._acknowledge(sender, True, self.snapshot.index, message.round)
                return
        elif self.term_at(prev) != message.prev_term:
            hint = min(prev - 1, self.last_index) if prev else 0
            self._acknowledge(sender, False, max(hint, self.commit_index), message.round)
            return
        self._take_over(prev, entries)
        match = prev + len(entries)
        self.commit_index = max(self.commit_index, min(message.commit_index, match))
        self._acknowledge(sender, True, match, message.round)

    def _take_over(self, prev: int, entries: Entries) -> None:
        """Put entries behind `prev`; from the first that differs on what was there goes."""
        for at, entry in enumerate(entries):
            index = prev + 1 + at
            if index <= self.last_index and self.term_at(index) == entry.term:
                continue
            del self.entries[self._position(index) :]
            self.entries.extend(entries[at:])
            self._log_changed()
            return

    def _installing(self, now: int, sender: str, message: InstallSnapshot) -> None:
        """Take a leader's snapshot, if it is ahead of what is committed here."""
        if not self._heed(now, sender, message):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            if self.term_at(snapshot.index) == snapshot.term:
                del self.entries[: snapshot.index - self.snapshot.index]
            else:
                self.entries.clear()
            self._replace_snapshot(snapshot)
            self._out.installed = snapshot
        match = min(max(self.commit_index, snapshot.index), self.last_index)
        self._acknowledge(sender, True, match, message.round)
