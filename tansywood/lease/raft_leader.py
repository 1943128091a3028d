"""A leader's behaviour: replication, the commit index, rounds, membership changes. Pure."""

from __future__ import annotations

from tansywood.lease.log import (
    COMMAND,
    NOOP,
    VOTERS,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    encode_voters,
)
from tansywood.lease.raft_state import FOLLOWER, LEADER, RaftState


class Leader(RaftState):
    """The sending end of replication (Ongaro, 3.5, 3.6, 4.1 and 6.4)."""

    def _become_leader(self, now: int) -> None:
        """Becomes the leader after a won election and appends the first entry of the term."""
        self.role = LEADER
        self.leader = self.name
        self.elected_at = now
        self.learners = ()
        self.match_index = dict.fromkeys(self.voters, 0)
        self.next_index = dict.fromkeys(self.voters, self.last_index + 1)
        self.acknowledged_round = {}
        self.last_heard_at = dict.fromkeys(self.voters, now)
        # Entries of earlier terms are committed only together with an entry of the current term
        # (Ongaro, 3.6.2), so the leader appends an empty entry at once.
        self._append(Entry(self.term, NOOP))
        self.first_own_index = self.last_index
        self.send_heartbeats(now)

    @property
    def is_ready_leader(self) -> bool:
        """Whether this voter leads and an entry of its own term is committed."""
        return self.role == LEADER and self.commit_index >= self.first_own_index

    # ---- entries -----------------------------------------------------------------------------

    def propose(self, data: bytes) -> int:
        """Appends a command and returns its index; 0 where this voter does not lead. The index is
        final only if the command is committed. The entry is sent with the next heartbeat or round,
        so a caller with several commands proposes all of them before it starts a round."""
        if self.role != LEADER:
            return 0
        self._append(Entry(self.term, COMMAND, data))
        return self.last_index

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == VOTERS:
            self._voters = None
        self._has_unsaved_state = True
        self.match_index[self.name] = self.last_index
        self._advance_commit_index()

    def _advance_commit_index(self) -> None:
        """Advances the commit index to the highest index that a majority has stored. Only entries
        of the current term are committed by counting (Ongaro, 3.6.2)."""
        if self.role != LEADER:
            return
        voters = self.voters
        if not voters:
            return
        # The highest index that a majority has stored is the (n // 2 + 1)-th largest match index
        # of n voters.
        index = sorted((self.match_index.get(v, 0) for v in voters), reverse=True)[len(voters) // 2]
        if index > self.commit_index and self.term_at(index) == self.term:
            self.commit_index = index
            if self.name not in voters and not self._is_membership_changing():
                # The leader's own removal from the voters is committed: it steps down.
                self.role = FOLLOWER
                self.leader = ""

    # ---- heartbeats and rounds ---------------------------------------------------------------

    def send_heartbeats(self, now: int) -> None:
        """Starts a round: sends each voter and learner the entries it lacks, or a heartbeat."""
        self.round += 1
        self.due = now + self.timing.heartbeat_interval_ns
        for voter in (*self.voters, *self.learners):
            if voter != self.name:
                self._replicate_to(voter)

    def begin_round(self, now: int) -> int:
        """Starts a round of heartbeats and returns its number. `is_round_confirmed` says when a
        majority has acknowledged the round."""
        self.send_heartbeats(now)
        return self.round

    def is_round_confirmed(self, round_: int) -> bool:
        """Whether this voter certainly led at some time after the round was started."""
        confirming = {v for v, latest in self.acknowledged_round.items() if latest >= round_} | {
            self.name
        }
        return self.is_ready_leader and self.majority(confirming)

    def _replicate_to(self, voter: str) -> None:
        """Sends one voter its next entries, or the snapshot where those entries were compacted."""
        first_index = self.next_index.setdefault(voter, self.last_index + 1)
        prev_index = first_index - 1
        if prev_index < self.snapshot.index:
            self._send(voter, InstallSnapshot(self.term, self.snapshot, self.round))
            return
        position = prev_index - self.snapshot.index
        entries = tuple(self.entries[position : position + self.timing.max_batch_entries])
        self._send(
            voter,
            AppendEntries(
                self.term,
                prev_index,
                self.term_at(prev_index),
                entries,
                self.commit_index,
                self.round,
            ),
        )
        # The leader assumes that the message arrives. Where it was lost, the follower refuses the
        # next message, and the refusal moves the next index back.
        self.next_index[voter] = prev_index + len(entries) + 1

    def _handle_append_reply(self, now: int, sender: str, message: AppendEntriesReply) -> None:
        """Handles an acknowledgement or a refusal of the current term."""
        self.last_heard_at[sender] = now
        self.acknowledged_round[sender] = max(self.acknowledged_round.get(sender, 0), message.round)
        if not message.ok:
            # The follower gets the missing entries with the next heartbeat. Late messages cause
            # many refusals, and sending at once for each would repeat the same entries.
            self.next_index[sender] = max(
                min(message.match_index + 1, self.next_index.get(sender, 1)), 1
            )
            return
        if message.match_index > self.match_index.get(sender, 0):
            self.match_index[sender] = message.match_index
            self._advance_commit_index()
        self.next_index[sender] = max(self.next_index.get(sender, 1), self.match_index[sender] + 1)
        if self.next_index[sender] <= self.last_index:
            self._replicate_to(sender)

    # ---- voters ------------------------------------------------------------------------------

    def _is_membership_changing(self) -> bool:
        """Whether a membership change is not committed yet. Only one may be under way."""
        return any(
            e.kind == VOTERS
            for e in self.entries[max(self.commit_index - self.snapshot.index, 0) :]
        )

    def change_voters(self, now: int, voters: tuple[str, ...]) -> str:
        """Adds or removes one voter. Returns the reason of a refusal, or an empty string.

        A change is refused while another change is not committed, and before an entry of this
        leader's own term is committed. Without this, two leaders that each change one voter could
        have majorities without a common voter.
        """
        if self.role != LEADER:
            return "not the leader"
        if not self.is_ready_leader:
            return "nothing of this term is committed yet"
        if self._is_membership_changing():
            return "another membership change is under way"
        if len(set(voters) ^ set(self.voters)) != 1:
            return "voters change one at a time"
        if not voters:
            return "the last voter can't be removed"
        for voter in voters:
            self.next_index.setdefault(voter, self.last_index + 1)
            self.match_index.setdefault(voter, 0)
            self.last_heard_at.setdefault(voter, now)
        self._append(encode_voters(self.term, voters))
        self.learners = tuple(v for v in self.learners if v not in voters)
        self.send_heartbeats(now)
        return ""

    def add_learner(self, now: int, learner: str) -> None:
        """Replicates the log to a future voter, so that it is up to date before it votes."""
        if self.role == LEADER and learner not in (*self.voters, *self.learners):
            self.learners = (*self.learners, learner)
            self.next_index[learner] = self.last_index + 1
            self.match_index[learner] = 0
            self.last_heard_at[learner] = now
            self.send_heartbeats(now)

    def is_caught_up(self, learner: str) -> bool:
        """Whether the learner has stored all committed entries."""
        return self.role == LEADER and self.match_index.get(learner, 0) >= self.commit_index
