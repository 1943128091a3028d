"""The property once all is quiet: what is held and counted is what the publisher has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tansywood.distribution.messages import Position
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Link
from tests.distribution.model.distributor import Distributor
from tests.distribution.model.instance import Node
from tests.distribution.model.network import Wire
from tests.distribution.model.parts import PropertyError
from tests.distribution.model.publisher import Content

if TYPE_CHECKING:
    from tests.distribution.model.world import World


def judge(world: World) -> None:
    """PropertyError where somebody holds too little, too much, or another state."""
    for distributor in world.distributors.values():
        _judge_distributor(world, distributor)
    for node in world.nodes:
        _judge_node(world, node)
        world.counts["stale sources left"] += node.subscriber.left_stale
    for uid, content in world.publisher.disk.contents.items():
        _judge_rollout(world, uid, content)


def judge_counts(world: World) -> None:
    """At any time: the latest state that a source counts as in force at an instance is. An
    acknowledged revision says nothing of states that were superseded. PropertyError otherwise."""
    for node in world.nodes:
        wire = node.wire
        if wire is not None and not wire.cut and node.subscriber.link is Link.UP:
            _judge_counts(world, node, wire)


def _judge_counts(world: World, node: Node, wire: Wire) -> None:
    source = wire.server.source
    session = source.sessions[wire.number]
    if session.comparing or not session.welcomed or session.closing:
        return
    for uid in session.subscriptions & node.subscriber.subscriptions:
        entry = source.replica.entries.get(uid)
        if entry is None or _knows_newer(node, uid, entry.revision):
            continue
        if not _is_latest(world, source, uid, entry.revision):
            continue
        if session.has_applied(uid, entry.revision):
            in_force = node.in_force.get(uid)
            what = f"{wire.server.name} counts {uid} at {entry.revision} as in force"
            holds = in_force == entry.body or uid in node.refused
            _require(world, holds, f"{what} at {node.name}: {in_force!r}")


def _is_latest(world: World, source: Source, uid: str, revision: int) -> bool:
    disk = world.publisher.disk
    latest = disk.contents.get(uid)
    same_history = source.replica.epoch == disk.epoch
    return same_history and latest is not None and latest.revision == revision


def _knows_newer(node: Node, uid: str, revision: int) -> bool:
    """Whether the source is behind what the instance has, or had and gave up: it takes nothing
    of what the source has of it."""
    held = node.replica.entries.get(uid)
    if held is not None:
        return held.revision > revision
    return node.replica._absent_revisions.get(uid, -1) >= revision


def _require(world: World, holds: bool, what: str) -> None:
    if not holds:
        raise PropertyError(f"{world}: {what}")


def _judge_distributor(world: World, distributor: Distributor) -> None:
    disk, replica, name = world.publisher.disk, distributor.replica, distributor.name
    position = Position(disk.epoch, disk.revision)
    _require(world, distributor.source.serving, f"{name} does not serve")
    _require(
        world, replica.position == position, f"{name} is at {replica.position}, not {position}"
    )
    held = {uid: e.body for uid, e in replica.entries.items()}
    _require(world, held == {uid: c.body for uid, c in disk.contents.items()}, f"{name}: {held}")
    aliases = {a: uid for uid, c in disk.contents.items() for a in c.aliases}
    _require(world, replica.aliases == aliases, f"{name}: aliases {replica.aliases}")
    for session in distributor.source.sessions.values():
        quiet = not session.pending and not session.control and not session.comparing
        _require(world, quiet, f"{name}: something waits for {session.name}")


def _judge_node(world: World, node: Node) -> None:
    contents = world.publisher.disk.contents
    _require(world, node.subscriber.link is Link.UP, f"{node.name} is not connected")
    held = {uid: entry.body for uid, entry in node.replica.entries.items()}
    current = {uid: contents[uid].body for uid in held if uid in contents}
    _require(world, held == current, f"{node.name} holds {held}, current is {current}")
    missing = node.wanted & contents.keys() - held.keys()
    _require(world, not missing, f"{node.name} lacks {missing}")
    surplus = {uid for uid in held if not node.may_want(uid)}
    _require(world, not surplus, f"{node.name} holds {surplus}, which it does not want")
    good = {uid: body for uid, body in held.items() if uid not in node.refused}
    in_force = {uid: body for uid, body in node.in_force.items() if uid not in node.refused}
    _require(world, good == in_force, f"{node.name}: in force {in_force}, held {good}")
    source = world.distributors[node.subscriber.address].source
    sessions = [s for s in source.sessions.values() if s.name == node.name]
    _require(world, len(sessions) == 1, f"{node.name} has {len(sessions)} sessions")
    told = sessions[0].subscriptions
    _require(world, told == held.keys(), f"{node.name} holds {set(held)}, its source has {told}")


def _judge_rollout(world: World, uid: str, content: Content) -> None:
    """What sources count of a change is what instances have in force."""
    having = [n for n in world.nodes if n.in_force.get(uid) == content.body]
    refusing = [n for n in world.nodes if uid in n.refused]
    rows = [d.source.rollout(uid, content.revision) for d in world.distributors.values()]
    told = (
        sum(r.have for r in rows),
        sum(r.waiting for r in rows),
        sum(r.refused for r in rows),
    )
    true = (len(having), 0, len(refusing))
    _require(world, told == true, f"rollout of {uid} at {content.revision}: {told}, true {true}")
    summary = world.publisher.board.summary(uid, content.revision)
    above = (summary.waiting, summary.distributors_waiting)
    _require(world, above == (0, ()), f"summary of {uid} at {content.revision}: {summary}")
    more = summary.have > len(having) or summary.refused > len(refusing)
    _require(world, not more, f"summary of {uid}: {summary}, true {true}")
