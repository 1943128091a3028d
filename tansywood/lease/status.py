"""Reports of a lease client for operators: its state, and why a lease has no holder. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tansywood.lease.raft import MS
from tansywood.lease.terms import SECOND
from tansywood.lease.voter import Voter

if TYPE_CHECKING:
    from tansywood.lease.client import LeaseClient


def explain_holder(client: LeaseClient, now: int, name: str) -> list[str]:
    """Sentences that say who holds a lease, or why nobody does."""
    voter = client.voter
    if voter is None:
        if client.should_vote:
            return [f"no voter here: {client.voter_down_reason or 'its disk is being read'}"]
        return ["this instance does not vote: ask one of " + ", ".join(client.wanted_voters)]
    if not voter.group:
        return [
            "no group of voters was founded, or none has taken this disk in: "
            "`tansywood lease found FILE` at one instance, once"
        ]
    sentences = _describe_leader(voter, now)
    row = voter.service.table.leases.get(name)
    if row is None:
        asked = ", ".join(client.waitlist.rows.get(name, {}))
        sentences.append(
            f"nobody holds {name}; "
            + (f"asked by {asked}" if asked else "nobody asked for it lately")
        )
        return sentences
    held_s = (now - voter.granted_at.get(name, now)) / SECOND
    sentences.append(f"{row.holder} holds {name} by token {row.token}, for {held_s:.1f} s here")
    if voter.leads:
        remaining_s = (voter.service.expiries.get(row.holder, now) - now) / SECOND
        sentences.append(f"it may be ended in {max(remaining_s, 0):.1f} s unless it renews")
    return sentences


def _describe_leader(voter: Voter, now: int) -> list[str]:
    """A sentence that there is no leader or that another voter leads; none on the leader."""
    raft = voter.raft
    if not raft.leader:
        return [
            f"no leader since {(now - max(raft.leader_heard_at, 0)) / SECOND:.0f} s: a majority of "
            f"{', '.join(raft.voters)} has to reach one another; until then nobody gets a "
            "lease, and whoever holds one loses it when its time is over"
        ]
    if not voter.leads:
        return [f"{raft.leader} leads and knows more: as far as this voter has read"]
    return []


def status(client: LeaseClient, now: int) -> dict[str, Any]:
    """The state as a mapping of JSON types. Times are seconds, except for `length_ms`."""
    holder = client.holder
    record: dict[str, Any] = {
        "name": client.name,
        "holder": holder.name,
        "wanted_voters": list(client.wanted_voters),
        "length_ms": client.terms.duration_ns // MS,
        "down": client.voter_down_reason,
        "held": [
            {
                "name": name,
                "token": token,
                "for_s": round((now - client.holding.granted.get(name, (0, now))[1]) / SECOND, 1),
                "left_s": round((holder.valid_until - now) / SECOND, 2),
            }
            for name, token in sorted(holder.leases.items())
        ],
        "asks_for": sorted(holder.wanted_names - set(holder.leases)),
        "counts": dict(client.counts),
        "events": [
            {"ago_s": round((now - at) / SECOND, 1), "what": what} for at, what in client.events
        ],
    }
    if client.voter is not None:
        record["voter"] = _voter_status(client.voter, now)
    record["leases"] = [
        {
            "name": name,
            "holder": owner,
            "token": token,
            "for_s": None if held_s is None else round(held_s, 1),
        }
        for name, owner, token, held_s in _lease_rows(client, now)
    ]
    return record


def _voter_status(voter: Voter, now: int) -> dict[str, Any]:
    raft = voter.raft
    return {
        "id": voter.id,
        "group": voter.group,
        "role": raft.role,
        "term": raft.term,
        "leader": raft.leader,
        "voters": list(raft.voters),
        "commit": raft.commit_index,
        "last": raft.last_index,
        "saves": voter.kept.saves,
        "writing": voter.is_writing,
        "lately": voter.recently_heard_voters(now),
    }


def _lease_rows(client: LeaseClient, now: int) -> list[tuple[str, str, int, float | None]]:
    """Name, holder, token and age in seconds of each lease; no age without a voter here."""
    voter = client.voter
    if voter is None:
        return [(name, holder, token, None) for name, holder, token in client.table]
    return [
        (name, lease.holder, lease.token, (now - voter.granted_at.get(name, now)) / SECOND)
        for name, lease in sorted(voter.service.table.leases.items())
    ]
