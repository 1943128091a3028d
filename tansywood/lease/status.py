"""What a lease client tells people: its state, and why a lease has no holder. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tansywood.lease.raft import MS
from tansywood.lease.terms import SECOND
from tansywood.lease.voter import Voter

if TYPE_CHECKING:
    from tansywood.lease.client import LeaseClient


def explain_holder(client: LeaseClient, now: int, name: str) -> list[str]:
    """Who has a lease, or why nobody has, in sentences."""
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
    sentences = _about_leader(voter, now)
    row = voter.service.table.leases.get(name)
    if row is None:
        asked = ", ".join(client.waitlist.rows.get(name, {}))
        sentences.append(
            f"nobody holds {name}; "
            + (f"asked by {asked}" if asked else "nobody asked for it lately")
        )
        return sentences
    since = (now - voter.granted_at.get(name, now)) / SECOND
    sentences.append(f"{row.holder} holds {name} by token {row.token}, for {since:.1f} s here")
    if voter.leads:
        left = (voter.service.expiries.get(row.holder, now) - now) / SECOND
        sentences.append(f"it may be ended in {max(left, 0):.1f} s unless it renews")
    return sentences


def _about_leader(voter: Voter, now: int) -> list[str]:
    """That there is no leader, or that another leads; nothing where this voter does."""
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
    """Of JSON's types. Times in it are seconds, but for `length_ms`."""
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
                "for_s": round((now - client.holding.got.get(name, (0, now))[1]) / SECOND, 1),
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
        record["voter"] = _voter(client.voter, now)
    record["leases"] = [
        {
            "name": name,
            "holder": who,
            "token": token,
            "for_s": None if since is None else round(since, 1),
        }
        for name, who, token, since in _leases(client, now)
    ]
    return record


def _voter(voter: Voter, now: int) -> dict[str, Any]:
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


def _leases(client: LeaseClient, now: int) -> list[tuple[str, str, int, float | None]]:
    """Name, holder, token, and for how long in seconds where the voter here knows it."""
    voter = client.voter
    if voter is None:
        return [(name, holder, token, None) for name, holder, token in client.table]
    return [
        (name, lease.holder, lease.token, (now - voter.granted_at.get(name, now)) / SECOND)
        for name, lease in sorted(voter.service.table.leases.items())
    ]
