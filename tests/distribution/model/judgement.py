"""Checks the property after all faults: what is held and counted is what the publisher has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tansywood.distribution.messages import Position
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Link
from tests.distribution.model.distributor import Distributor
from tests.distribution.model.instance import Node
from tests.distribution.model.network import Connection
from tests.distribution.model.parts import PropertyError
from tests.distribution.model.publisher import Content

if TYPE_CHECKING:
    from tests.distribution.model.world import World


def check_property(world: World) -> None:
    """Raise PropertyError if a process lacks a resource, or holds a wrong or superfluous one."""
    for distributor in world.distributors.values():
        _check_distributor(world, distributor)
    for node in world.nodes:
        _check_node(world, node)
        world.counts["stale sources left"] += node.subscriber.left_stale
    for uid, content in world.publisher.disk.contents.items():
        _check_rollout(world, uid, content)


def check_counts(world: World) -> None:
    """Raise PropertyError if a source counts the latest state as applied by an instance that has
    not applied it. This is checked at any time. An acknowledged revision says nothing about states
    that were superseded."""
    for node in world.nodes:
        connection = node.connection
        if connection is not None and not connection.cut and node.subscriber.link is Link.UP:
            _check_instance_counts(world, node, connection)


def _check_instance_counts(world: World, node: Node, connection: Connection) -> None:
    source = connection.server.source
    session = source.sessions[connection.number]
    if session.comparing or not session.welcomed or session.closing:
        return
    for uid in session.subscriptions & node.subscriber.subscriptions:
        entry = source.replica.entries.get(uid)
        if entry is None or _has_newer_state(node, uid, entry.revision):
            continue
        if not _is_latest(world, source, uid, entry.revision):
            continue
        if session.has_applied(uid, entry.revision):
            in_force = node.in_force.get(uid)
            claim = f"{connection.server.name} counts {uid} at {entry.revision} as in force"
            holds = in_force == entry.body or uid in node.refused
            _require(world, holds, f"{claim} at {node.name}: {in_force!r}")


def _is_latest(world: World, source: Source, uid: str, revision: int) -> bool:
    disk = world.publisher.disk
    latest = disk.contents.get(uid)
    same_history = source.replica.epoch == disk.epoch
    return same_history and latest is not None and latest.revision == revision


def _has_newer_state(node: Node, uid: str, revision: int) -> bool:
    """Whether the instance holds, or has unsubscribed from, a newer state than the source has, so
    that it rejects the state of the source."""
    held = node.replica.entries.get(uid)
    if held is not None:
        return held.revision > revision
    return node.replica._absent_revisions.get(uid, -1) >= revision


def _require(world: World, holds: bool, problem: str) -> None:
    if not holds:
        raise PropertyError(f"{world}: {problem}")


def _check_distributor(world: World, distributor: Distributor) -> None:
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
        _require(world, quiet, f"{name}: messages are still queued for {session.name}")


def _check_node(world: World, node: Node) -> None:
    contents = world.publisher.disk.contents
    _require(world, node.subscriber.link is Link.UP, f"{node.name} is not connected")
    held = {uid: entry.body for uid, entry in node.replica.entries.items()}
    current = {uid: contents[uid].body for uid in held if uid in contents}
    _require(world, held == current, f"{node.name} holds {held}, current is {current}")
    missing = node.subscribed & contents.keys() - held.keys()
    _require(world, not missing, f"{node.name} lacks {missing}")
    surplus = {uid for uid in held if not node.may_subscribe_to(uid)}
    _require(world, not surplus, f"{node.name} holds {surplus}, which it does not subscribe to")
    good = {uid: body for uid, body in held.items() if uid not in node.refused}
    in_force = {uid: body for uid, body in node.in_force.items() if uid not in node.refused}
    _require(world, good == in_force, f"{node.name}: in force {in_force}, held {good}")
    source = world.distributors[node.subscriber.address].source
    sessions = [s for s in source.sessions.values() if s.name == node.name]
    _require(world, len(sessions) == 1, f"{node.name} has {len(sessions)} sessions")
    counted = sessions[0].subscriptions
    _require(
        world, counted == held.keys(), f"{node.name} holds {set(held)}, its source has {counted}"
    )


def _check_rollout(world: World, uid: str, content: Content) -> None:
    """Check that the sources' counts of a change equal the counts of the instances."""
    having = [n for n in world.nodes if n.in_force.get(uid) == content.body]
    refusing = [n for n in world.nodes if uid in n.refused]
    rows = [d.source.rollout(uid, content.revision) for d in world.distributors.values()]
    counted = (
        sum(r.have for r in rows),
        sum(r.waiting for r in rows),
        sum(r.refused for r in rows),
    )
    expected = (len(having), 0, len(refusing))
    _require(
        world,
        counted == expected,
        f"rollout of {uid} at {content.revision}: {counted}, expected {expected}",
    )
    summary = world.publisher.board.summary(uid, content.revision)
    reported = (summary.waiting, summary.distributors_waiting)
    _require(world, reported == (0, ()), f"summary of {uid} at {content.revision}: {summary}")
    overcounted = summary.have > len(having) or summary.refused > len(refusing)
    _require(world, not overcounted, f"summary of {uid}: {summary}, expected {expected}")
