"""Tenants given up while callers come, and agents that end under traffic: nothing is lost."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random

from standins.ledger import End
from standins.platform import request
from standins.servers import Reply
from tansywood.service.tenant import UNKNOWN

from .agent_world import OPERATOR, Node, comes, node
from .test_agent import crowd, served
from .world import Side

GIVEN_UP = 40  # tenants under traffic, over time
AT_ONCE = ["--idle-s=0.05"]  # whoever rests at a look, four times a second, is given up


async def now_and_then(
    n: Node, side: Side, name: str, rng: Random, goes_on: Callable[[int], bool]
) -> None:
    """Requests with pauses of any length between them, mostly on new connections; as long as
    `goes_on` says after so many."""
    caller = side.caller(n.port, name)
    asks = 0
    while goes_on(asks):
        asks += 1
        await caller.ask()
        if rng.random() < 0.8:
            caller.drop()
        await asyncio.sleep(rng.choice((0.0, 0.05, 0.2, 0.3)) * rng.random())
    caller.drop()


def sixty(asks: int) -> bool:
    return asks < 60


def test_releases_that_race_with_new_connections_lose_no_request(tmp_path: Path) -> None:
    async def main() -> None:
        async with node(tmp_path, options=AT_ONCE) as n:
            rng = Random(7)
            sides = [await n.tenant(f"t-{i}") for i in range(8)]
            await n.until(lambda s: s["link"] == "up")
            enough = asyncio.Event()
            load = asyncio.gather(
                *(
                    now_and_then(
                        n,
                        side,
                        f"{side.name}.{i}",
                        Random(rng.random()),
                        lambda asks: asks < 20 or not enough.is_set(),
                    )
                    for side in sides
                    for i in range(2)
                )
            )
            await n.until(lambda s: s["counts"].get("given up", 0) >= GIVEN_UP, 120)
            enough.set()
            await load
            for side in sides:
                assert not side.ledger.problems(breaks=False)
                assert served(side) == len(side.ledger.entries) >= 40
            await n.until(lambda s: s["tenants"] == 0)
            # What came back after it was given up was looked up anew and subscribed to.
            revision = n.control.change("t-0", title="other")
            assert n.control.source.rollout(n.control.uid("t-0"), revision).have == 0

    asyncio.run(main())


def test_a_tenant_with_a_connection_at_rest_is_not_given_up(tmp_path: Path) -> None:
    async def main() -> None:
        async with node(tmp_path, options=AT_ONCE) as n:
            cork = await n.tenant("cork")
            caller = cork.caller(n.port, "a")
            assert await caller.ask("credit") == End.SERVED
            await n.until(lambda s: s["counts"].get("kept", 0) >= 3)
            status = await n.ask("status")
            assert status["tenants"] == 1 and "given up" not in status["counts"]
            assert await caller.ask("credit") == End.SERVED
            # News reach it all the while.
            revision = n.control.change("cork", title="other")
            uid = n.control.uid("cork")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            caller.drop()
            await n.until(lambda s: s["tenants"] == 0)
            assert not cork.ledger.problems(breaks=False)

    asyncio.run(main())


def test_a_tenant_with_a_request_open_is_given_up_by_no_worker_and_so_by_nobody(
    tmp_path: Path,
) -> None:
    """The door lets go at each try; the workers are asked after it, and the one with the request
    keeps the tenant, so that news still reach it. The try is called off, and the door told anew."""

    async def main() -> None:
        async with node(tmp_path, options=AT_ONCE) as n:
            cork = await n.tenant("cork")
            behaviour = cork.servers[0].behaviour
            behaviour.reply_script.append(Reply.LATE)
            behaviour.late_s = 1e9
            caller = cork.caller(n.port, "a")
            asked = asyncio.create_task(caller.ask("credit"))
            await comes(lambda: any(entry.ran for entry in cork.ledger.entries.values()))
            status = await n.until(lambda s: s["counts"].get("kept", 0) >= 3)
            assert status["tenants"] == 1 and "given up" not in status["counts"]
            revision = n.control.change("cork", title="other")
            uid = n.control.uid("cork")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            # A new connection is served as well: the door knows the tenant again.
            assert await cork.caller(n.port, "b").ask("credit") == End.SERVED
            assert not asked.done()
            cork.servers[0].kill()
            await asked
            caller.drop()
            await n.until(lambda s: s["tenants"] == 0)

    asyncio.run(main())


def test_at_the_bound_the_least_recently_used_goes_for_a_new_one(tmp_path: Path) -> None:
    async def main() -> None:
        async with node(tmp_path, options=["--tenants=2"]) as n:
            sides = [await n.tenant(f"t-{i}") for i in range(3)]
            for side in sides[:2]:
                assert await side.caller(n.port, "a").ask() == End.SERVED
            # The first two were used a moment ago: there is no room, and nobody goes for it.
            for number in range(2_000):
                if await sides[2].caller(n.port, f"b{number}").ask("balance") == End.SERVED:
                    break
                await asyncio.sleep(0.01)
            assert sides[2].ledger.counts()["balance", End.REFUSED] > 0
            status = await n.until(lambda s: s["tenants"] == 2)
            assert status["counts"]["given up"] == 1

    asyncio.run(main())


def test_agents_that_are_killed_under_traffic_lose_nothing_and_tenants_stay_served(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path, options=["--idle-s=0.4"]) as n:
            sides = [await n.tenant(f"t-{i}") for i in range(6)]
            await n.until(lambda s: s["link"] == "up")
            for side in sides:
                await crowd(n, side, 1, 1)
            rng = Random(3)
            load = asyncio.gather(
                *(
                    now_and_then(n, side, f"{side.name}.{i}", Random(rng.random()), sixty)
                    for side in sides
                    for i in range(2)
                ),
            )
            for _ in range(6):
                await asyncio.sleep(rng.random())
                n.parts["agent"].kill()
                await n.begin("agent")
            await load
            for side in sides:
                assert not side.ledger.problems(breaks=False)
                assert served(side) == 121

    asyncio.run(main())


def test_what_changes_while_no_agent_is_there_is_in_force_once_one_is(tmp_path: Path) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork, gone, same = [await n.tenant(name) for name in ("cork", "gone", "same")]
            open_one = cork.caller(n.port, "open")
            assert await open_one.ask("credit") == End.SERVED
            for side in (cork, gone, same):
                await crowd(n, side, 1, 1)
            n.parts["agent"].kill()
            await crowd(n, cork, 2, 2)
            row = {"aim_ms": 25_000, "deadline_ms": 30_000, "repeat": "safe", "name": "new"}
            revision = n.control.change("cork", classes=[row])
            registry = n.control.registry
            uid = n.control.uid("cork")
            n.control.do(registry.delete(OPERATOR, registry.tenants[n.control.uid("gone")], "*"))
            await n.begin("agent")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            assert await open_one.ask("new") == End.SERVED
            status = await n.until(lambda s: s["tenants"] == 2)
            # Its answer to what is gone is that of what never was.
            assert await n.raw(request(more=gone.headers())) == UNKNOWN
            await crowd(n, same, 2, 2)
            assert status["counts"].get("lookups", 0) <= 3  # they were not asked for again
            for side in (cork, same):
                assert not side.ledger.problems(breaks=False)

    asyncio.run(main())


def test_an_agent_that_starts_while_control_is_away_goes_on_with_what_its_node_holds(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with node(tmp_path) as n:
            cork = await n.tenant("cork")
            await crowd(n, cork, 2, 2)
            n.control.stop()
            n.parts["agent"].kill()
            await n.begin("agent")
            await n.until(lambda s: s["tenants"] == 1)
            for name in ("door", "worker-0", "worker-1"):
                n.parts[name].kill()
                await n.begin(name)
            await crowd(n, cork, 2, 2)
            assert served(cork) == 8 and not cork.ledger.problems(breaks=False)

    asyncio.run(main())


def test_what_only_a_late_worker_holds_is_asked_for_and_held_or_deleted(tmp_path: Path) -> None:
    """It was stopped while agent and door were started again: they know nothing of it."""

    async def main() -> None:
        async with node(tmp_path, workers=1) as n:
            cork, gone = await n.tenant("cork"), await n.tenant("gone")
            open_ones = [side.caller(n.port, "open") for side in (cork, gone)]
            assert [await one.ask("credit") for one in open_ones] == [End.SERVED] * 2
            worker = n.parts["worker-0"].process
            assert worker is not None
            worker.send_signal(signal.SIGSTOP)
            n.parts["agent"].kill()
            n.parts["door"].kill()
            registry = n.control.registry
            n.control.do(registry.delete(OPERATOR, registry.tenants[n.control.uid("gone")], "*"))
            await n.begin("agent")
            assert (await n.until(lambda s: s["link"] == "up"))["tenants"] == 0
            worker.send_signal(signal.SIGCONT)
            await n.until(lambda s: s["tenants"] == 1)
            revision = n.control.change("cork", title="other")
            uid = n.control.uid("cork")
            await n.begin("door")
            await comes(lambda: n.control.source.rollout(uid, revision).have == 1)
            assert await open_ones[0].ask("credit") == End.SERVED
            assert await open_ones[1].ask("credit") in (End.FAILED, End.REFUSED)
            await crowd(n, cork, 2, 2)
            assert not cork.ledger.problems(breaks=False)

    asyncio.run(main())


def test_whatever_part_ends_under_traffic_no_promise_is_broken_and_all_are_served_after(
    tmp_path: Path,
) -> None:
    """Connections may break where a door or a worker is killed; nothing else may happen."""

    async def main() -> None:
        async with node(tmp_path, options=["--idle-s=0.2"]) as n:
            sides = [await n.tenant(f"t-{i}") for i in range(5)]
            await n.until(lambda s: s["link"] == "up")
            rng = Random(11)
            load = asyncio.gather(
                *(
                    now_and_then(n, side, f"{side.name}.{i}", Random(rng.random()), sixty)
                    for side in sides
                    for i in range(2)
                )
            )
            for name in ("worker-0", "agent", "door", "worker-1", "agent", "door"):
                await asyncio.sleep(rng.random() / 2)
                if name == "door":
                    assert await asyncio.to_thread(n.parts[name].stop) == 0
                else:
                    n.parts[name].kill()
                await n.begin(name)
            await load
            for side in sides:
                assert not side.ledger.problems()
                before = served(side)
                await crowd(n, side, 2, 2)
                assert served(side) == before + 4

    asyncio.run(main())
