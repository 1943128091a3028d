"""How a follower handles a leader's entries and snapshots. Pure."""

from __future__ import annotations

from tansywood.lease.log import AppendEntries, AppendEntriesReply, Entries, InstallSnapshot
from tansywood.lease.raft_state import RaftState


class Follower(RaftState):
    """The receiving end of replication (Ongaro, 3.5 and 5)."""

    def _accept_leader(
        self, now: int, sender: str, message: AppendEntries | InstallSnapshot
    ) -> bool:
        """Follows the sender if its term is current and returns True. A sender of an older term
        gets a refusal with the newer term, from which it learns that it no longer leads."""
        if message.term < self.term:
            self._acknowledge(sender, False, 0, message.round)
            return False
        self._become_follower(now, self.term, sender)
        self.leader_heard_at = now
        return True

    def _acknowledge(self, sender: str, ok: bool, match_index: int, round_: int) -> None:
        self._send(sender, AppendEntriesReply(self.term, ok, match_index, round_))

    def _handle_append_entries(self, now: int, sender: str, message: AppendEntries) -> None:
        """Stores a leader's entries if this log holds the entry that precedes them. Otherwise the
        reply says from which index the leader may retry."""
        if not self._accept_leader(now, sender, message):
            return
        prev_index, entries = message.prev_index, message.entries
        if prev_index < self.snapshot.index:
            # The first entries are in this voter's snapshot. A snapshot holds committed entries
            # only, so those entries are equal and can be skipped.
            skip = min(self.snapshot.index - prev_index, len(entries))
            prev_index, entries = prev_index + skip, entries[skip:]
            if prev_index < self.snapshot.index:
                self._acknowledge(sender, True, self.snapshot.index, message.round)
                return
        elif self.term_at(prev_index) != message.prev_term:
            hint = min(prev_index - 1, self.last_index) if prev_index else 0
            self._acknowledge(sender, False, max(hint, self.commit_index), message.round)
            return
        self._store_entries(prev_index, entries)
        match_index = prev_index + len(entries)
        self.commit_index = max(self.commit_index, min(message.commit_index, match_index))
        self._acknowledge(sender, True, match_index, message.round)

    def _store_entries(self, prev_index: int, entries: Entries) -> None:
        """Stores entries after `prev_index`. The first entry that differs from the log replaces
        the rest of the log; entries that are equal already leave the log as it is."""
        for offset, entry in enumerate(entries):
            index = prev_index + 1 + offset
            if index <= self.last_index and self.term_at(index) == entry.term:
                continue
            del self.entries[self._list_position(index) :]
            self.entries.extend(entries[offset:])
            self._log_changed()
            return

    def _handle_install_snapshot(self, now: int, sender: str, message: InstallSnapshot) -> None:
        """Installs a leader's snapshot if it is ahead of this voter's commit index. Entries after
        the snapshot stay where the log agrees with the snapshot's last entry."""
        if not self._accept_leader(now, sender, message):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            if self.term_at(snapshot.index) == snapshot.term:
                del self.entries[: snapshot.index - self.snapshot.index]
            else:
                self.entries.clear()
            self._replace_snapshot(snapshot)
            self._out.installed = snapshot
        match_index = min(max(self.commit_index, snapshot.index), self.last_index)
        self._acknowledge(sender, True, match_index, message.round)
