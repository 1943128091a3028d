"""The whole service as processes on loopback: tenants, changes, floods, ends. By counts alone."""

from __future__ import annotations

import asyncio
import os
import re
import shutil
import signal
from pathlib import Path
from typing import Any

import pytest

from standins.ledger import End
from standins.servers import Behaviour
from standins.service import alive

from .world import PATIENT, Hosting, Side, hosting

HASTY = [dict(row, aim_ms=1000, deadline_ms=2000) for row in PATIENT]


def served(side: Side) -> int:
    return sum(n for (_, end), n in side.ledger.counts().items() if end == End.SERVED)


async def comes(condition: Any, seconds: float = 15.0) -> bool:
    for _ in range(int(seconds / 0.02)):
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


def test_a_tenant_is_created_served_changed_and_deleted(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosting(tmp_path) as h:
            a = await h.tenant("cork")
            await h.crowd(a, 10, 10)
            assert not a.ledger.problems(breaks=False)
            assert served(a) == 100
            report = await comes_to(h, "cork", lambda r: asked(r) == 100)
            assert sum(c["served"] for c in report["classes"].values()) == 100
            await h.call("POST", "/v1/tenants/cork/suspend")
            await h.crowd(a, 2, 2)
            assert (
                a.ledger.counts()["balance", End.REFUSED] + a.ledger.counts()["credit", End.REFUSED]
                == 4
            )
            await h.call("POST", "/v1/tenants/cork/resume")
            await h.crowd(a, 2, 2)
            assert served(a) == 104
            await h.call("DELETE", "/v1/tenants/cork")
            caller = a.caller(h.service.port, "late")
            assert await caller.ask("balance") == End.FAILED  # 404: it is nobody's
            assert not a.ledger.problems(breaks=False)
            assert await asyncio.to_thread(h.service.stop) == 0
            assert not h.service.pids()

    asyncio.run(main())


def asked(report: dict[str, Any]) -> int:
    return sum(c["asked"] for c in report["classes"].values())


async def comes_to(h: Hosting, name: str, condition: Any) -> Any:
    for _ in range(200):
        report = await h.call("GET", f"/v1/tenants/{name}/report")
        if condition(report):
            return report
        await asyncio.sleep(0.02)
    raise AssertionError(report)


def refusals(side: Side) -> int:
    return sum(n for (_, end), n in side.ledger.counts().items() if end == End.REFUSED)


def test_three_tenants_one_flooded_one_misconfigured_and_a_third_that_notices_nothing(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with hosting(tmp_path, workers=3) as h:
            flooded = await h.tenant("flooded", limits={"rate_per_s": 40, "burst": 5})
            dead = await h.tenant("dead", classes=HASTY)
            third = await h.tenant("third")
            for server in dead.servers:
                server.kill()  # its settings are valid and point at nobody

            async def flood() -> None:
                await h.crowd(flooded, 60, 40)

            async def silent() -> None:
                """Connections that never say whose they are, and heads without end."""
                crowd = [
                    await asyncio.open_connection("127.0.0.1", h.service.port) for _ in range(200)
                ]
                for _reader, writer in crowd[:100]:
                    writer.write(b"GET / HTTP/1.1\r\nX: " + b"a" * 2000)
                await asyncio.sleep(0.5)
                for _reader, writer in crowd:
                    writer.transport.abort()

            async def nobody() -> None:
                """Names that don't exist, and API calls without a key."""
                headers = {"Host": "none.example.org", "X_Tenant_Id": "none"}
                side = Side("nobody", h.rng)
                await h.crowd(side, 10, 20, headers=headers)
                assert served(side) == 0
                for _ in range(50):
                    answer = await asyncio.to_thread(h.operator.call, "GET", "/v1/x")
                    assert answer.status == 404

            await asyncio.gather(
                flood(),
                silent(),
                nobody(),
                h.crowd(dead, 10, 5, timeout_ms=1500),
                h.crowd(third, 10, 40),
            )
            # The third: every request served, each once, each its own answer.
            assert served(third) == 400 and not third.ledger.problems(breaks=False)
            for side in (flooded, dead):
                assert not side.ledger.problems(breaks=False)
            assert served(dead) == 0 and served(flooded) > 0
            assert served(flooded) + refusals(flooded) == 2400
            report = await comes_to(h, "flooded", lambda r: asked(r) == 2400)
            limited = sum(c["refused"].get("rate", 0) for c in report["classes"].values())
            assert limited == refusals(flooded) > 0
            assert asked(await h.call("GET", "/v1/tenants/third/report")) == 400

    asyncio.run(main())


def test_a_worker_killed_under_load_costs_its_own_tenants_breaks_and_the_others_nothing(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with hosting(tmp_path, workers=2) as h:
            sides = [await h.tenant(f"t-{i}", behaviour=Behaviour(work_s=0.01)) for i in range(6)]
            loads = [asyncio.create_task(h.crowd(side, 6, 60)) for side in sides]
            while sum(map(served, sides)) < 200:
                await asyncio.sleep(0.01)
            victim = h.service.pid("worker-0")
            os.kill(victim, signal.SIGKILL)
            await asyncio.gather(*loads)
            await asyncio.to_thread(h.service.until_ready_again, "worker-0", victim)
            hit = []
            for side in sides:
                # Whatever ran, ran once; whatever broke was told as broken and as nothing else.
                assert not side.ledger.problems()
                broke = sum(n for (_, e), n in side.ledger.counts().items() if e == End.BROKE)
                if broke:
                    hit.append(side)
                    assert broke <= 6  # what was on its connections, and no more
                else:
                    assert served(side) == 360 and not side.ledger.problems(breaks=False)
            # Which tenants it had is drawn with their identities; the door says how many.
            lost = re.search(r"worker-0 is gone, (\d+) tenants", h.service.text())
            assert lost is not None and len(hit) <= int(lost[1])
            assert bool(hit) == (int(lost[1]) > 0)
            for side in sides:
                before = served(side)
                await h.crowd(side, 2, 5)
                assert served(side) == before + 10

    asyncio.run(main())


def test_a_supervisor_that_is_killed_leaves_no_orphan_and_no_lost_credit(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosting(tmp_path) as h:
            side = await h.tenant("cork", behaviour=Behaviour(work_s=0.15))
            load = asyncio.create_task(h.crowd(side, 12, 1, credit_part=1.0))
            while not any(e.ran for e in side.ledger.entries.values()):
                await asyncio.sleep(0.005)
            pids = h.service.pids()
            assert len(pids) == 5 and h.service.process is not None
            h.service.process.kill()
            h.service.process.wait()
            await load
            # What a server had begun was answered to the end.
            ran = {rid for rid, e in side.ledger.entries.items() if e.ran}
            assert ran and all(side.ledger.entries[rid].ends == [End.SERVED] for rid in ran)
            assert not side.ledger.problems()
            assert await comes(lambda: not any(map(alive, pids)))
            # And the next one finds its addresses and its store free.
            await asyncio.to_thread(h.service.start)
            before = served(side)
            await h.crowd(side, 3, 3)
            assert served(side) == before + 9

    asyncio.run(main())


@pytest.mark.parametrize("part", ["door", "admin"])
def test_callers_do_not_notice_a_door_or_an_administration_that_dies(
    tmp_path: Path, part: str
) -> None:
    async def main() -> None:
        async with hosting(tmp_path) as h:
            side = await h.tenant("cork", behaviour=Behaviour(work_s=0.01))
            callers = [side.caller(h.service.port, f"c{i}") for i in range(10)]
            for caller in callers:
                assert await caller.ask() == End.SERVED  # each has its connection by now
            victim = h.service.pid(part)
            os.kill(victim, signal.SIGKILL)
            for _ in range(20):
                await asyncio.gather(*(caller.ask() for caller in callers))
            assert served(side) == 210 and not side.ledger.problems(breaks=False)
            # Who comes meanwhile waits in the system until there is a door again.
            await h.crowd(side, 5, 2)
            assert served(side) == 220
            await asyncio.to_thread(h.service.until_ready_again, part, victim)
            made = await h.call("PATCH", "/v1/tenants/cork", {"title": "after"})
            assert made["version"] == 2 and made["in_force"]
            assert not side.ledger.problems(breaks=False)

    asyncio.run(main())


async def raw(port: int, head: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head.replace("\n", "\r\n").encode() + b"\r\n")
    answer = await reader.read()
    writer.close()
    return answer


def test_whatever_is_nobodys_gets_the_same_bytes(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosting(tmp_path) as h:
            a, b = await h.tenant("aaa"), await h.tenant("bbb")
            port = h.service.port
            line = "GET /balance/1 HTTP/1.1\nX-Request-ID: {}\nX-Priority-Class: balance\n"
            line += "X-Timeout-Ms: 900\n"
            heads = [
                "Host: none.example.org\n",
                "Host: aaa.example.org\n",  # it is there, and asks for a key
                f"Host: aaa.example.org\nX-Tenant-Key: {b.token}\n",
                f"Host: none.example.org\nX-Tenant-Id: bbb\nX-Tenant-Key: {a.token}\n",
                f"Host: aaa.example.org\nX-Tenant-Key: {a.token[:-1]}\n",
                f"Host: aaa.example.org\nX-Tenant-Id: ccc\nX-Tenant-Key: {a.token}\n",
                f"Host: aaa.example.org\nX-Tenant-Key: {a.token}\nX-Tenant-Key: {a.token}\n",
                "Host: aaa.example.org\nX-Tenant-Key: x\n",
            ]
            answers = {await raw(port, line.format(i) + head) for i, head in enumerate(heads)}
            assert len(answers) == 1 and answers.pop().startswith(b"HTTP/1.1 404 ")
            good = f"Host: aaa.example.org\nConnection: close\nX-Tenant-Key: {a.token}\n"
            ok = await raw(port, line.format("good") + good)
            assert ok.startswith(b"HTTP/1.1 200 ")
            # On a connection that is open already it is the same.
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            first = f"Host: aaa.example.org\nX-Tenant-Key: {a.token}\n"
            writer.write((line.format("k1") + first).replace("\n", "\r\n").encode() + b"\r\n")
            assert (await reader.readuntil(b"done:k1")).startswith(b"HTTP/1.1 200 ")
            other = f"Host: bbb.example.org\nX-Tenant-Key: {b.token}\n"
            writer.write((line.format("k2") + other).replace("\n", "\r\n").encode() + b"\r\n")
            unknown = await raw(port, line.format("x") + heads[0])
            assert await reader.read() == unknown
            writer.close()
            # The servers are never shown the key, the log neither.
            assert a.token not in h.service.text() and a.token.encode() not in b"".join(
                s.last_head for s in a.servers
            )

    asyncio.run(main())


def test_a_revoked_key_opens_nothing_from_the_answer_on_and_a_rotated_one_overlaps(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with hosting(tmp_path) as h:
            side = await h.tenant("cork")
            open_one = side.caller(h.service.port, "open")
            assert await open_one.ask("balance") == End.SERVED
            key = side.token.split("_")[1]
            new = await h.call("POST", f"/v1/tenants/cork/keys/{key}/rotate", {"overlap_s": 3600})
            assert await open_one.ask("balance") == End.SERVED
            await h.call("DELETE", f"/v1/tenants/cork/keys/{key}")
            assert await open_one.ask("balance") == End.FAILED  # on its open connection
            assert await side.caller(h.service.port, "old").ask("balance") == End.FAILED
            side.token = new["token"]
            assert await side.caller(h.service.port, "new").ask("balance") == End.SERVED
            # One that ends by its time ends on a connection that is open, too.
            short = await h.call("POST", "/v1/tenants/cork/keys", {"role": "caller", "lasts_s": 1})
            side.token = short["token"]
            caller = side.caller(h.service.port, "short")
            for _ in range(1000):
                if await caller.ask("balance") == End.FAILED:
                    break
                await asyncio.sleep(0.01)
            assert side.ledger.counts()["balance", End.FAILED] == 3

    asyncio.run(main())


def test_changes_under_load_break_no_promise(tmp_path: Path) -> None:
    """Classes made unsafe and safe, servers drained with credits on them, limits, a deletion
    and a tenant of the same name again: each request has its one answer, no credit runs twice."""

    async def main() -> None:
        async with hosting(tmp_path) as h:
            side = await h.tenant("cork", servers=4, behaviour=Behaviour(work_s=0.02))
            load = asyncio.create_task(h.crowd(side, 16, 60))
            path = "/v1/tenants/cork"
            document = (await h.call("GET", path))["document"]
            balance, credit = document["classes"]
            for n in range(12):
                await h.call("PATCH", path, {"classes": [dict(balance, aim_ms=20_000), credit]})
                name = f"s-{n % 4}"
                row = next(s for s in document["servers"] if s["name"] == name)
                drains = {k: v for k, v in row.items() if k != "name"} | {"state": "draining"}
                await h.call("PUT", f"{path}/servers/{name}", drains)
                await h.call("PUT", f"{path}/servers/{name}", drains | {"state": "active"})
                await h.call("DELETE", f"{path}/servers/{name}")
                back = {k: v for k, v in row.items() if k != "name"}
                await h.call("PUT", f"{path}/servers/{name}", back)
                shorter = dict(credit, aim_ms=9_000, deadline_ms=10_000)
                await h.call("PATCH", path, {"classes": [credit, balance]})
                await h.call("PATCH", path, {"classes": [balance, shorter]})
                extra = dict(balance, name=f"extra-{n}")
                await h.call("PATCH", path, {"classes": [extra, credit, balance]})
            await load
            assert not side.ledger.problems(breaks=False)
            assert served(side) == 960
            load = asyncio.create_task(h.crowd(side, 16, 30))
            await asyncio.sleep(0.1)
            await h.call("DELETE", path)
            await h.call("POST", "/v1/tenants", document)
            await load
            assert not side.ledger.problems(breaks=False)
            key = await h.call("POST", f"{path}/keys", {"role": "caller"})
            side.token = key["token"]
            before = served(side)
            await h.crowd(side, 4, 5)
            assert served(side) == before + 20
            report = await comes_to(h, "cork", lambda r: asked(r) == 20)
            assert report["classes"]  # its own, not those of the one before

    asyncio.run(main())


def test_a_restart_finds_every_tenant_as_it_was_reported(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosting(tmp_path) as h:
            side = await h.tenant("cork")
            await h.call("PATCH", "/v1/tenants/cork", {"title": "kept"})
            before = await asyncio.to_thread(h.operator.call, "GET", "/v1/tenants/cork")
            assert await asyncio.to_thread(h.service.stop) == 0
            await asyncio.to_thread(h.service.start)
            after = await asyncio.to_thread(h.operator.call, "GET", "/v1/tenants/cork")
            assert (after.body, after.headers["etag"]) == (before.body, before.headers["etag"])
            await h.crowd(side, 3, 3)
            assert served(side) == 9

    asyncio.run(main())


def test_a_change_while_a_worker_is_away_is_in_force_in_all_of_them_once_it_is_back(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with hosting(tmp_path, workers=2) as h:
            sides = [await h.tenant(f"t-{i}") for i in range(6)]
            for side in sides:
                await h.crowd(side, 1, 1)
            victim = h.service.pid("worker-0")
            os.kill(victim, signal.SIGKILL)
            for side in sides:
                row = {"aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"}
                await h.call("PUT", f"/v1/tenants/{side.name}/classes/new", row)
                assert await side.caller(h.service.port, "a").ask("new") == End.SERVED
            await asyncio.to_thread(h.service.until_ready_again, "worker-0", victim)
            # The other one ends: its tenants go to the one that was away.
            os.kill(h.service.pid("worker-1"), signal.SIGKILL)
            for side in sides:
                caller = side.caller(h.service.port, "b")
                assert await caller.ask("new") == End.SERVED
                assert not side.ledger.problems()

            def applied() -> bool:
                status = h.operator.must("GET", "/v1/status").body
                return len(status["followers"]) == 3 and {
                    f["applied"] for f in status["followers"].values()
                } == {status["seq"]}

            assert await comes(applied)

    asyncio.run(main())


def test_a_copy_of_the_store_brings_a_deleted_tenant_back_with_its_keys(tmp_path: Path) -> None:
    """As the operators' page says: with the service stopped."""

    async def main() -> None:
        async with hosting(tmp_path) as h:
            side = await h.tenant("cork")
            assert await asyncio.to_thread(h.service.stop) == 0
            shutil.copytree(tmp_path / "state", tmp_path / "copy")
            await asyncio.to_thread(h.service.start)
            await h.call("DELETE", "/v1/tenants/cork")
            assert await side.caller(h.service.port, "gone").ask("balance") == End.FAILED
            assert await asyncio.to_thread(h.service.stop) == 0
            shutil.rmtree(tmp_path / "state")
            shutil.copytree(tmp_path / "copy", tmp_path / "state")
            await asyncio.to_thread(h.service.start)
            await h.crowd(side, 2, 2)
            assert served(side) == 4
            trail = await h.call("GET", "/v1/trail")
            assert [row["what"] for row in trail["items"]][-1] == "issue a key for a caller"

    asyncio.run(main())
