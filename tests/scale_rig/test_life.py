"""One start of a hollow node: what it holds as tenants come, go, and come again under a name."""

from __future__ import annotations

import asyncio
import io
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import uvloop

from standins.scale.life import Life, World
from standins.scale.links import NodeLinks
from standins.scale.places import Delays
from standins.scale.plan import NodePlan, host_of, uid_of
from standins.scale.records import ABSENT, Applied, generation_of, read_applied
from standins.scale.sizes import FLEET
from tansywood.distribution.messages import Epoch
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.resources import encode
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from windrelay.config import Address

PARAMETERS = Parameters(silence_timeout_ns=60 * SECOND, unknown_alias_ttl_ns=50 * MS)
THERE, COMES = 1, 2  # tenants: from the start, and created in the run
LIMIT_S = 10.0  # a hang, not a measure


def keys() -> list[bytes]:
    return [bytes(32)]


def view(uid: str, tenant: int) -> dict[str, object]:
    document = {
        "name": uid_of(tenant),
        "callers": {"hosts": [host_of(tenant)], "key_required": False},
        "classes": [],
        "servers": [],
    }
    return {"uid": uid, "document": document, "keys": []}


class Story:
    """A publisher and one node that serves two tenants."""

    def __init__(self, folder: Path) -> None:
        self.published = Replica(1, Epoch(1, b"a"))  # whoever misses two changes has to compare
        self.source: Source
        self.server: SourceServer
        self.address = Address("127.0.0.1", 0)
        self.folder = folder
        self.applied = io.BytesIO()
        self.life: Life

    async def start(self) -> None:
        await self.serve()
        self.publish(1, uid_of(THERE), THERE)
        addresses = (f"{self.address.host}:{self.address.port}",)
        world = World(addresses, keys, PARAMETERS, Delays(), Random(1), self.applied)
        self.life = Life(NodePlan(0, 0, 0, (THERE, COMES)), NodeLinks(), world)
        self.life.client.start()

    async def serve(self) -> None:
        """Begin to serve, or again after `server.stop()`."""
        self.source = Source(self.published, PARAMETERS, time.monotonic_ns(), is_publisher=True)
        self.server = SourceServer(self.source, keys, FLEET)
        self.address = await self.server.start(self.address)

    def stop(self) -> None:
        self.life.stop()
        self.server.stop()

    def publish(self, revision: int, uid: str, tenant: int | None) -> None:
        resource = encode(uid, revision, view(uid, tenant) if tenant is not None else None)
        self.published.commit(resource)
        self.source.changed(uid, revision, time.monotonic_ns())
        self.server.flush()

    async def holds(self, *uids: str) -> None:
        await until(lambda: self.life.replica.entries.keys() == set(uids))

    def rows(self, tenant: int) -> list[Applied]:
        path = self.folder / "applied"
        path.write_bytes(self.applied.getvalue())
        return [row for row in read_applied(path) if row.tenant == tenant]


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def test_a_tenant_that_is_created_is_found_by_asking_again(tmp_path: Path) -> None:
    async def story() -> None:
        machines = Story(tmp_path)
        await machines.start()
        await machines.holds(uid_of(THERE))
        await until(lambda: machines.life.complete(0))
        assert {row.revision for row in machines.rows(COMES)} == {ABSENT}
        machines.publish(2, "made-in-run1", COMES)
        await machines.holds(uid_of(THERE), "made-in-run1")
        assert machines.life.tenant_of_uid("made-in-run1") == COMES
        last = machines.rows(COMES)[-1]
        assert (last.generation, last.revision) == (generation_of("made-in-run1"), 2)
        machines.stop()

    uvloop.run(story())


def test_one_that_is_deleted_and_created_again_is_another(tmp_path: Path) -> None:
    async def story() -> None:
        machines = Story(tmp_path)
        await machines.start()
        await machines.holds(uid_of(THERE))
        machines.publish(2, uid_of(THERE), None)
        await machines.holds()
        await until(lambda: machines.rows(THERE)[-1].revision == ABSENT)
        machines.publish(3, "made-in-run2", THERE)
        await machines.holds("made-in-run2")
        states = [(r.generation, r.revision) for r in machines.rows(THERE) if r.revision != ABSENT]
        first, second = generation_of(uid_of(THERE)), generation_of("made-in-run2")
        assert states == [(first, 1), (first, 2), (second, 3)]
        machines.publish(4, "made-in-run2", None)
        await machines.holds()
        machines.stop()

    uvloop.run(story())


def test_a_state_that_is_found_unchanged_is_in_force_at_its_later_revision(tmp_path: Path) -> None:
    async def story() -> None:
        machines = Story(tmp_path)
        await machines.start()
        await machines.holds(uid_of(THERE))
        machines.server.stop()
        machines.publish(2, uid_of(THERE), None)
        machines.publish(3, uid_of(THERE), THERE)
        machines.publish(4, "another", 3)
        await machines.serve()
        await until(lambda: machines.rows(THERE)[-1].revision == 3)
        assert [row.revision for row in machines.rows(THERE)] == [1, 3]
        machines.stop()

    uvloop.run(story())


def test_it_is_complete_once_what_is_nobodys_was_asked_for_since(tmp_path: Path) -> None:
    async def story() -> None:
        machines = Story(tmp_path)
        await machines.start()
        assert not machines.life.complete(0)
        await until(lambda: machines.life.complete(0))
        since = time.monotonic_ns()
        assert not machines.life.complete(since)
        await until(lambda: machines.life.complete(since))
        machines.publish(2, uid_of(THERE), None)
        await machines.holds()
        assert not machines.life.complete(time.monotonic_ns())
        machines.stop()

    uvloop.run(story())
