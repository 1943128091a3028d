"""The administration as the publisher: epochs over restarts, what is served, rollouts."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.disk import Disk
from tansywood.admin.core import Administration
from tansywood.admin.publisher import Publisher, begin_epoch, replica_of
from tansywood.distribution.messages import Kind, Position, Rollout, alias_of_key
from tansywood.distribution.parameters import Parameters
from tansywood.distribution.resources import decode
from tansywood.store import Store
from tansywood.store.aio import AsyncStore

from ..tenancy.documents import document
from .world import Clock, Desk, desk

KEY = bytes(range(32))


def keys() -> list[bytes]:
    return [KEY]


async def publishing(admin: Administration) -> Publisher:
    history = await begin_epoch(admin.store, admin.registry.seq, admin.clock_ms())
    replica = replica_of(admin.registry, history, Parameters().max_resumable_changes)
    admin.publisher = Publisher(replica, keys, "fleet")
    return admin.publisher


def story(folder: Path, play: Callable[[Desk, Publisher], Any]) -> None:
    async def main() -> None:
        async with desk(folder) as d:
            await play(d, await publishing(d.admin))

    asyncio.run(main())


def test_a_change_is_published_at_its_number_with_all_its_aliases(tmp_path: Path) -> None:
    async def play(d: Desk, publisher: Publisher) -> None:
        made = await d.call("POST", "/v1/tenants", document("cork"))
        assert made.status_code == 201
        uid = publisher.replica.owner("n:cork")
        key = (await d.call("POST", "/v1/tenants/cork/keys", {"role": "caller"})).json()
        assert publisher.replica.owner(alias_of_key(key["id"])) == uid
        resource = publisher.replica.resource(uid)
        assert resource.revision == d.admin.registry.seq == publisher.replica.revision
        assert decode(uid, resource.body) == d.admin.registry.view(uid)
        await d.call("DELETE", "/v1/tenants/cork", match="*")
        assert publisher.replica.resource(uid).kind is Kind.REMOVED
        assert publisher.replica.owner("n:cork") == ""

    story(tmp_path, play)


def test_an_operators_key_moves_the_revision_and_no_resource(tmp_path: Path) -> None:
    async def play(d: Desk, publisher: Publisher) -> None:
        before = publisher.replica.revision
        await d.call("POST", "/v1/operator-keys", {"label": "second"})
        assert publisher.replica.revision == before + 1
        assert not publisher.replica.entries

    story(tmp_path, play)


def test_a_start_begins_a_later_epoch_that_goes_on_where_the_store_stands(tmp_path: Path) -> None:
    async def play(d: Desk, publisher: Publisher) -> None:
        await d.call("POST", "/v1/tenants", document("cork"))
        stood = publisher.replica.position
        uid = publisher.replica.owner("n:cork")
        again = await publishing(d.admin)
        assert again.replica.epoch > stood.epoch
        assert again.replica.covers(stood)
        assert again.replica.changes_after(stood.revision - 1) == [(stood.revision, uid)]
        assert not again.replica.covers(Position(stood.epoch, stood.revision + 1))

    story(tmp_path, play)


def test_a_restored_disk_is_another_history_to_who_followed_further() -> None:
    async def main() -> None:
        disk = Disk()
        clock = Clock()
        async with AsyncStore(Store.open(files=disk)) as store:
            admin = Administration(store, "", ["public"], 1000.0, clock)
            await admin.first_key()
            publisher = await publishing(admin)
            copy = admin.registry.seq
            later = Position(publisher.replica.epoch, copy + 3)
        async with AsyncStore(Store.open(files=disk)) as store:
            admin = Administration(store, "", ["public"], 1000.0, clock)
            restored = await publishing(admin)
            assert not restored.replica.covers(later)
            assert restored.replica.epoch > later.epoch

    asyncio.run(main())


def test_a_lost_disk_is_a_later_epoch_that_covers_nobody() -> None:
    async def main() -> None:
        clock = Clock()
        async with AsyncStore(Store.open(files=Disk())) as store:
            first = await begin_epoch(store, 7, clock())
        clock.ms += 1
        async with AsyncStore(Store.open(files=Disk())) as store:
            second = await begin_epoch(store, 0, clock())
        assert second.epoch > first.epoch
        assert second.parent.epoch != first.epoch

    asyncio.run(main())


def test_the_api_tells_how_many_nodes_have_a_change_and_who_lags_or_refuses(tmp_path: Path) -> None:
    async def play(d: Desk, publisher: Publisher) -> None:
        await d.call("POST", "/v1/tenants", document("cork"))
        uid = publisher.replica.owner("n:cork")
        seq = publisher.replica.revision
        publisher.board.connected("d1")
        publisher.board.connected("d2")
        publisher.board.report(
            "d1", [Rollout(uid, seq, 2, 1, 1, ["n7"], [("n9", "can't be read")])], seq
        )
        told = (await d.call("GET", "/v1/tenants/cork/rollout")).json()
        assert told["nodes"] == {"have": 2, "waiting": 1, "refused": 1}
        assert told["lagging"] == ["n7"]
        assert told["refusing"] == [{"node": "n9", "why": "can't be read"}]
        assert told["distributors"] == {"have": 1, "waiting": ["d2"]}
        assert not told["complete"]
        assert (await d.call("GET", f"/v1/rollouts/{seq}")).json()["seq"] == seq
        publisher.board.report("d2", [], seq)
        publisher.board.report("d1", [Rollout(uid, seq, 4, 0)])
        assert (await d.call("GET", f"/v1/rollouts/{seq}")).json()["complete"]

    story(tmp_path, play)


def test_a_tenants_own_key_is_told_counts_and_no_names(tmp_path: Path) -> None:
    async def play(d: Desk, publisher: Publisher) -> None:
        await d.call("POST", "/v1/tenants", document("cork"))
        uid = publisher.replica.owner("n:cork")
        key = (await d.call("POST", "/v1/tenants/cork/keys", {"role": "viewer"})).json()
        reported = publisher.replica.revision
        publisher.board.report("d1", [Rollout(uid, reported, 0, 1, 0, ["n7"])], reported)
        told = await d.call("GET", "/v1/tenants/cork/rollout", token=key["token"])
        assert set(told.json()) == {"complete", "nodes", "version"}
        seq = publisher.replica.revision
        assert (await d.call("GET", f"/v1/rollouts/{seq}", token=key["token"])).status_code == 403

    story(tmp_path, play)


def test_an_administration_of_one_machine_has_no_rollouts(tmp_path: Path) -> None:
    async def main() -> None:
        async with desk(tmp_path) as d:
            await d.call("POST", "/v1/tenants", document("cork"))
            assert (await d.call("GET", "/v1/tenants/cork/rollout")).status_code == 404
            assert (await d.call("GET", "/v1/rollouts/2")).status_code == 404

    asyncio.run(main())


def test_a_change_is_in_force_once_every_distributor_and_its_nodes_have_it(tmp_path: Path) -> None:
    async def play(d: Desk, publisher: Publisher) -> None:
        await d.call("POST", "/v1/tenants", document("cork"))
        uid = publisher.replica.owner("n:cork")
        seq = publisher.replica.revision
        publisher.board.connected("d1")
        assert not await publisher.in_force(seq, 0.01)
        waiting = asyncio.create_task(publisher.in_force(seq, 10.0))
        await asyncio.sleep(0)
        publisher.board.report("d1", [Rollout(uid, seq, 3, 0)], seq)
        publisher._wake()
        assert await waiting

    story(tmp_path, play)


def test_the_publisher_is_loaded_only_where_it_publishes() -> None:
    words = "import sys, tansywood.admin.__main__; sys.exit('cryptography' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", words], check=False).returncode == 0
