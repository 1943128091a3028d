"""The simulated publisher, whose disk may be lost or replaced by an older copy."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tansywood.distribution.messages import (
    Epoch,
    Hello,
    Kind,
    Message,
    Position,
    Resource,
    Rollouts,
)
from tansywood.distribution.rollout import RolloutTracker
from tansywood.distribution.source import Session
from tests.distribution.model.network import Server
from tests.distribution.model.parts import PUBLISHER, TENANTS

if TYPE_CHECKING:
    from tests.distribution.model.world import World


@dataclass(frozen=True, slots=True)
class Content:
    """The state of one tenant at the publisher."""

    revision: int
    body: bytes
    aliases: tuple[str, ...]


@dataclass(slots=True)
class Disk:
    """The publisher's disk; a copy of it may be restored."""

    epoch: Epoch
    revision: int = 0
    parent: Position = field(default_factory=Position)
    contents: dict[str, Content] = field(default_factory=dict)
    changes: list[tuple[int, str]] = field(default_factory=list)

    def copy(self) -> Disk:
        return Disk(self.epoch, self.revision, self.parent, dict(self.contents), list(self.changes))


class Publisher(Server):
    """The source of everything; its disk is a plain table."""

    def __init__(self, world: World) -> None:
        super().__init__(world, PUBLISHER)
        self.disk = Disk(Epoch(1, b"1"))
        self.board = RolloutTracker()
        self.copies: list[Disk] = []
        self.reset()

    def reset(self) -> None:
        """Start, or restart, with the contents of the disk."""
        disk, random = self.disk, self.world.random
        self.replica = self.world.parts.replica(
            self.world.parameters.max_resumable_changes, disk.epoch, disk.revision
        )
        self.replica.load(self._resource(uid, c) for uid, c in disk.contents.items())
        forgotten = max(
            len(disk.changes) - random.randrange(self.world.parameters.max_resumable_changes + 1), 0
        )
        self.replica.set_resumable_from(forgotten)  # a revision is the number of changes up to it
        for revision, uid in disk.changes[forgotten:]:
            self.replica.record_change(revision, uid)
        self.replica.begin_epoch(disk.epoch, disk.parent)
        self.source = self.world.parts.source(
            self.replica, self.world.parameters, self.now, is_publisher=True
        )
        self.board = RolloutTracker()
        self.connections = {}

    def _resource(self, uid: str, content: Content) -> Resource:
        aliases = list(content.aliases)
        return Resource(uid, content.revision, Kind.CONTENT, content.body, aliases)

    def commit(self, uid: str, body: bytes | None, aliases: Iterable[str]) -> None:
        """Change, create or remove (`body` None) a tenant."""
        disk = self.disk
        disk.revision += 1
        disk.changes.append((disk.revision, uid))
        if body is None:
            del disk.contents[uid]
            resource = Resource(uid, disk.revision, Kind.REMOVED)
        else:
            disk.contents[uid] = Content(disk.revision, body, tuple(aliases))
            resource = self._resource(uid, disk.contents[uid])
        self.world.oracle.record_state(uid, body)
        self.note_coalescing(uid)
        self.replica.commit(resource)
        self.source.changed(uid, disk.revision, self.now)

    def restart(self, disk: Disk, parent: Position) -> None:
        """Restart with this disk in a new epoch, which begins at `parent`."""
        for connection in list(self.connections.values()):
            self.world.cut(connection)
        self.world.epochs += 1
        self.disk = disk
        disk.epoch = Epoch(self.world.epochs, str(self.world.epochs).encode())
        disk.parent = parent
        for uid in TENANTS:
            content = disk.contents.get(uid)
            self.world.oracle.record_state(uid, content.body if content is not None else None)
        self.reset()

    def on_message(self, session: Session, message: Message) -> None:
        if isinstance(message, Rollouts):
            self.board.report(session.name, message.rows, message.revision)
            for distributor, names in self.board.instances_joined(
                session.name, message.joined
            ).items():
                self.source.send_moved(distributor, names)
        elif isinstance(message, Hello) and session.welcomed:
            self.board.connected(session.name)

    def session_ended(self, session: Session) -> None:
        if session.name:
            self.board.disconnected(session.name)
