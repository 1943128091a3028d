"""A node that holds what it serves: agent, door and workers as processes, control in the test."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from standins.iso8583 import IsoTopup
from standins.ledger import End, Ledger
from standins.platform import request
from standins.service import document
from tansywood.distribution.messages import alias_of_host
from tansywood.iso8583.machine import APPROVED
from tansywood.service.follow import Follower
from tansywood.service.tenant import FULL, UNKNOWN

from ..iso8583.world import CODEC, FRAMING, Terminal
from .agent_world import OPERATOR, Node, comes, node
from .test_iso import ISO
from .world import PATIENT, WIDE, Side


def served(side: Side) -> int:
    return sum(n for (_, end), n in side.ledger.counts().items() if end == End.SERVED)


def stranger(host: str) -> bytes:
    return request(Host=host, X_Tenant_Id="")


async def crowd(n: Node, side: Side, count: int, asks: int) -> None:
    """So many callers at once, each with so many requests in turn."""
    at = len(side.ledger.entries)

    async def go(i: int) -> None:
        caller = side.caller(n.port, f"{side.name}.{at}.{i}")
        for _ in range(asks):
            await caller.ask()
        caller.drop()

    await asyncio.gather(*(go(i) for i in range(count)))


def test_a_tenant_is_held_from_its_first_request_on_and_its_changes_come_in_force(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork, other = await n.tenant("cork"), await n.tenant("other")
            assert (await n.until(lambda s: s["link"] == "up"))["tenants"] == 0
            await crowd(n, cork, 10, 5)
            assert served(cork) == 50 and not cork.ledger.problems(breaks=False)
            asked = Counter(n.control.lookups)
            assert asked[alias_of_host("cork.example.org")] == 1
            status = await n.ask("status")
            assert status["tenants"] == 1 and not other.ledger.entries
            revision = n.control.change("cork", classes=[{**CLASS, "name": "new"}])
            uid = n.control.uid("cork")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            # Once it is acknowledged all of the node goes by it.
            assert await cork.caller(n.port, "a").ask("new") == End.SERVED
            assert await cork.caller(n.port, "b").ask("credit") == End.FAILED
            while sum(row["served"] for row in await classes(n, "cork")) < 51:
                await asyncio.sleep(0.02)
            assert "error" in await n.ask("report", tenant="other")

    asyncio.run(main())


def test_terminals_of_iso_8583_reach_their_tenant_and_stay_over_an_agents_end(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        options = ["--idle-s=0.05"]
        async with node(tmp_path, iso=("pos",), options=options) as n:
            server = IsoTopup("s-0", Ledger(), Random(1), CODEC, FRAMING)
            await server.start()
            settings = {
                "callers": {"listeners": ["pos"], "key_required": False},
                "classes": PATIENT,
                "limits": WIDE,
                "iso8583": ISO,
            }
            made = document("bank", [("s-0", server.port)], **settings)
            made["servers"][0]["started_ms"] = 1
            n.control.do(n.control.registry.create(OPERATOR, made, "uid-bank"))
            try:
                # Its listener was nobody's a moment ago: the agent asks again by itself.
                await n.until(lambda s: s["tenants"] == 1)
                first = Terminal(n.ports["pos"], "TERM0001")
                await first.connect()
                assert (await first.ask(first.message())).fields[39] == APPROVED
                n.parts["agent"].kill()
                await n.begin("agent")
                second = Terminal(n.ports["pos"], "TERM0002")
                await second.connect()
                for terminal in (first, second):
                    assert (await terminal.ask(terminal.message())).fields[39] == APPROVED
                    await terminal.close()
                assert "given up" not in (await n.ask("status"))["counts"]
            finally:
                server.kill()

    asyncio.run(main())


async def classes(n: Node, tenant: str) -> list[dict[str, Any]]:
    """A tenant's counters, as its workers have told them."""
    return list((await n.ask("report", tenant=tenant))["report"]["classes"].values())


CLASS = {"aim_ms": 25_000, "deadline_ms": 30_000, "repeat": "safe"}


def test_what_is_nobodys_gets_the_same_bytes_and_is_asked_for_once(tmp_path: Path) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork = await n.tenant("cork")
            await n.until(lambda s: s["link"] == "up")
            got = await asyncio.gather(*(n.raw(stranger("none.example.org")) for _ in range(20)))
            assert set(got) == {UNKNOWN}
            assert n.control.lookups.count(alias_of_host("none.example.org")) == 1
            # Known at control and not shown a key; a key of nobody's; what can't be a host.
            assert await n.raw(stranger("cork.example.org")) == UNKNOWN
            wrong = {"Host": "cork.example.org", "X_Tenant_Id": "", "X_Tenant_Key": "x" * 60}
            assert await n.raw(request(more=wrong)) == UNKNOWN
            assert await n.raw(stranger("a" * 400)) == UNKNOWN
            assert await n.raw(stranger("no_host")) == UNKNOWN
            # One tenant's key with a host of another that is not held is nobody's request.
            other = await n.tenant("other")
            mixed = cork.headers() | {"Host": "other.example.org"}
            assert await n.raw(request(more=mixed)) == UNKNOWN
            # And a host that is nobody's says nothing beside a key.
            free = cork.headers() | {"Host": "10.0.0.1"}
            assert await cork.caller(n.port, "k", headers=free).ask() == End.SERVED
            assert not other.ledger.entries

    asyncio.run(main())


def test_while_control_is_away_what_is_held_is_served_and_what_is_new_is_told_to_come_back(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork, new = await n.tenant("cork"), await n.tenant("new")
            await crowd(n, cork, 2, 2)
            n.control.stop()
            await n.until(lambda s: s["link"] != "up")
            await crowd(n, cork, 5, 5)
            free = cork.headers() | {"Host": "10.0.0.1"}
            assert await cork.caller(n.port, "k", headers=free).ask() == End.SERVED
            assert await n.raw(request(more=new.headers())) == FULL
            assert await new.caller(n.port, "n").ask() == End.REFUSED
            status = await n.ask("status")
            assert status["tenants"] == 1 and status["age_ms"] >= 0 and status["losses"] >= 1
            # The door and a worker come back with what the agent holds.
            for name in ("door", "worker-0", "worker-1"):
                n.parts[name].kill()
                await n.begin(name)
            await crowd(n, cork, 5, 5)
            assert served(cork) == 55 and not cork.ledger.problems(breaks=False)
            await n.control.start()
            await n.until(lambda s: s["link"] == "up")
            assert await new.caller(n.port, "m").ask() == End.SERVED

    asyncio.run(main())


def test_a_node_that_starts_while_control_is_away_comes_up_and_holds_what_it_is_told_later(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork = await n.tenant("cork")
            n.parts["agent"].kill()
            n.control.stop()
            await n.begin("agent")
            status = await n.ask("status")
            assert status["age_ms"] is None and status["tenants"] == 0
            assert await n.raw(request(more=cork.headers())) == FULL
            await n.control.start()
            await n.until(lambda s: s["link"] == "up")
            assert await cork.caller(n.port, "a").ask() == End.SERVED

    asyncio.run(main())


def test_a_flood_of_invented_hosts_takes_nothing_from_a_tenant_that_is_held(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork = await n.tenant("cork")
            await crowd(n, cork, 1, 1)

            async def flood(worker: int) -> set[bytes]:
                return {await n.raw(stranger(f"x{worker}-{i}.example.org")) for i in range(100)}

            strangers = asyncio.gather(*(flood(worker) for worker in range(20)))
            await crowd(n, cork, 10, 30)
            got: set[bytes] = set().union(*await strangers)
            assert got <= {UNKNOWN, FULL} and UNKNOWN in got
            assert served(cork) == 301 and not cork.ledger.problems(breaks=False)
            status = await n.until(lambda s: not s["lookups_open"])
            assert status["counts"]["lookups"] < 2_000 and status["counts"]["unavailable"] > 0
            assert status["unknown_cached"] <= status["counts"]["lookups"]

    asyncio.run(main())


def test_a_state_that_cant_be_read_is_refused_and_the_last_good_one_stays_in_force(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork, other = await n.tenant("cork"), await n.tenant("other")
            await crowd(n, cork, 2, 2)
            uid = n.control.uid("cork")
            revision = n.control.spoil(uid)
            await comes(lambda: n.control.source.rollout(uid, revision).refused == 1)
            rollout = n.control.source.rollout(uid, revision)
            assert rollout.refusing[0][0] == "node-1" and uid in rollout.refusing[0][1]
            assert uid in (await n.ask("status"))["refused_views"]
            # So it is over a restart of those who follow.
            for name in ("door", "worker-0", "worker-1"):
                n.parts[name].kill()
                await n.begin(name)
            await crowd(n, cork, 2, 2)
            # One that is spoilt before it is held for the first time can't be served.
            n.control.spoil(n.control.uid("other"))
            assert await other.caller(n.port, "a").ask() == End.REFUSED
            revision = n.control.change("cork", title="good again")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            n.control.change("other", title="good again")
            await n.until(lambda s: not s["refused_views"])
            assert await other.caller(n.port, "b").ask() == End.SERVED
            await crowd(n, cork, 2, 2)
            assert served(cork) == 12 and not cork.ledger.problems(breaks=False)

    asyncio.run(main())


def test_a_state_that_a_worker_cant_take_over_is_refused_upwards_and_the_last_good_stays(
    tmp_path: Path,
) -> None:
    """It can be read, so the agent's trial passes it; a worker has terminals of the protocol that
    the tenant has no more."""

    async def main() -> None:
        async with node(tmp_path, iso=("pos",)) as n:
            server = IsoTopup("s-0", Ledger(), Random(1), CODEC, FRAMING)
            await server.start()
            callers = {"listeners": ["pos"], "key_required": False}
            good = document(
                "bank",
                [("s-0", server.port)],
                callers=callers,
                classes=PATIENT,
                limits=WIDE,
                iso8583=ISO,
            )
            good["servers"][0]["started_ms"] = 1
            control, uid = n.control, "uid-bank"
            control.do(control.registry.create(OPERATOR, good, uid))
            try:
                await n.until(lambda s: s["tenants"] == 1)
                terminal = Terminal(n.ports["pos"], "TERM0001")
                await terminal.connect()
                assert (await terminal.ask(terminal.message())).fields[39] == APPROVED
                other = document("bank", [("s-0", server.port)], callers={"hosts": ["a.example"]})
                revision = control.publish_over(uid, other)
                await comes(lambda: control.source.rollout(uid, revision).refused == 1)
                node_name, reason = control.source.rollout(uid, revision).refusing[0]
                assert node_name == "node-1" and "worker-" in reason and "protocol" in reason
                status = await n.ask("status")
                assert status["refused_views"] == {uid: reason}
                assert status["counts"]["refused by followers"] == 1 and status["tenants"] == 1
                # Door and workers go by the state before, on this connection and on new ones.
                assert (await terminal.ask(terminal.message())).fields[39] == APPROVED
                second = Terminal(n.ports["pos"], "TERM0002")
                await second.connect()
                assert (await second.ask(second.message())).fields[39] == APPROVED
                # Whose this host is can be said at control; here it is not served.
                assert await n.raw(stranger("a.example")) == FULL
                # So it is over a restart of the agent, which is told the newest state again.
                n.parts["agent"].kill()
                await n.begin("agent")
                await n.until(lambda s: uid in s["refused_views"])
                await comes(lambda: control.source.rollout(uid, revision).refused == 1)
                assert (await terminal.ask(terminal.message())).fields[39] == APPROVED
                revision = control.publish_over(uid, good | {"title": "good again"})
                await comes(lambda: control.source.rollout(uid, revision).have == 1)
                await n.until(lambda s: not s["refused_views"])
                for one in (terminal, second):
                    assert (await one.ask(one.message())).fields[39] == APPROVED
                    await one.close()
            finally:
                server.kill()

    asyncio.run(main())


@contextlib.asynccontextmanager
async def picky_follower(n: Node) -> AsyncIterator[None]:
    """One more process of the node that takes over no state with the title "bad"."""

    def changed(_uid: str, view: dict[str, Any] | None) -> None:
        if view is not None and view["document"].get("title") == "bad":
            raise ValueError("not this title")

    follower = Follower(n.feed, "picky", changed)
    task = asyncio.create_task(follower.run())
    try:
        await follower.ready.wait()
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def refused_there(n: Node, uid: str, revision: int) -> bool:
    """Whether control knows that the node refuses a change."""
    return n.control.source.rollout(uid, revision).refused == 1


def test_a_first_state_that_one_process_cant_take_over_is_refused_and_served_by_the_others(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n, picky_follower(n):
            cork = await n.tenant("cork", title="bad")
            await crowd(n, cork, 2, 2)
            uid = n.control.uid("cork")
            reason = f"tenant {uid}: picky: ValueError: not this title"
            for attempts in (1, 2):
                revision = n.control.change("cork", title="bad", max_attempts=attempts)
                await comes(partial(refused_there, n, uid, revision))
                assert n.control.source.rollout(uid, revision).refusing == [("node-1", reason)]
                status = await n.ask("status")
                assert status["refused_views"] == {uid: reason} and status["tenants"] == 1
                await crowd(n, cork, 2, 2)
            revision = n.control.change("cork", title="good")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            assert not (await n.ask("status"))["refused_views"]
            await crowd(n, cork, 2, 2)
            assert served(cork) == 16 and not cork.ledger.problems(breaks=False)

    asyncio.run(main())


def test_what_a_node_goes_by_stays_where_one_process_that_comes_later_cant_take_it_over(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork = await n.tenant("cork", title="bad")
            await crowd(n, cork, 2, 2)
            uid = n.control.uid("cork")
            revision = n.control.change("cork", title="bad", max_attempts=2)
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            async with picky_follower(n):
                status = await n.until(lambda s: uid in s["refused_views"])
                assert "picky" in status["refused_views"][uid] and status["tenants"] == 1
                await crowd(n, cork, 2, 2)
                assert served(cork) == 8 and not cork.ledger.problems(breaks=False)

    asyncio.run(main())


def test_a_deleted_tenant_is_gone_from_the_node_and_its_name_may_be_anothers(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork = await n.tenant("cork")
            await crowd(n, cork, 2, 2)
            registry = n.control.registry
            tenant = registry.tenants[n.control.uid("cork")]
            n.control.do(registry.delete(OPERATOR, tenant, "*"))
            await n.until(lambda s: s["tenants"] == 0)
            await comes_to_nothing(n, cork)
            again = await n.tenant("cork")
            await asyncio.sleep(2.1)  # as long as it is remembered to be nobody's
            assert await again.caller(n.port, "again").ask() == End.SERVED
            assert await cork.caller(n.port, "old").ask() == End.FAILED

    asyncio.run(main())


async def comes_to_nothing(n: Node, side: Side) -> None:
    for number in range(500):
        if await side.caller(n.port, f"gone{number}").ask("balance") == End.FAILED:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("it is served yet")


def test_a_tenant_of_this_nodes_listener_is_held_without_being_asked_for(tmp_path: Path) -> None:
    async def main() -> None:
        options = ["--idle-s=0.05"]
        async with node(tmp_path, listeners=("public", "private"), options=options) as n:
            callers = {"listeners": ["private"], "key_required": False}
            keyless = {"Host": "any.example.org", "X_Tenant_Id": ""}
            other = await n.tenant("other")
            assert await n.raw(stranger("any.example.org"), "private") == UNKNOWN
            alone = await n.tenant("alone", callers=callers)
            await n.until(lambda s: s["tenants"] == 1)
            private = n.ports["private"]
            assert await alone.caller(private, "in", headers=keyless).ask("credit") == End.SERVED
            # Others are given up when they rest, it is not.
            assert await other.caller(n.port, "a").ask() == End.SERVED
            await n.until(lambda s: s["counts"].get("given up", 0) == 1)
            assert (await n.ask("status"))["tenants"] == 1
            assert await alone.caller(private, "on", headers=keyless).ask("credit") == End.SERVED
            assert await n.raw(stranger("any.example.org")) == UNKNOWN

    asyncio.run(main())
