"""Nodes, distributors and a publisher as processes, with faults between them.

A node has applied a change once its requests are run by the server that the change names. These
tests require that every change is applied in the end, and that no request is lost or run twice;
benchmarks/distribution.py measures how long a change takes.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Mapping
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest

from standins.asking import NodeCallers
from standins.distributed import Distributed, distributed
from standins.ledger import End
from standins.servers import Behaviour
from standins.service import Operator, document
from tansywood.store import Batch, Store

from ..service.world import PATIENCE_MS, PATIENT, WIDE, Side

TEST_TIMEOUT_S = 30.0  # only guards against a hang
TENANT = "cork"


class Scenario:
    """Three nodes, two distributors, and a tenant whose callers send requests to every node."""

    def __init__(self, machines: Distributed) -> None:
        self.machines = machines
        self.side = Side(TENANT, Random(7))
        self.operator: Operator = machines.publisher.operator()
        self.document: dict[str, Any] = {}
        self.callers: NodeCallers

    async def begin(self) -> None:
        await self.side.add_servers(4, Behaviour(work_s=0.002))
        self.document = document(TENANT, self.side.listed[:1], classes=PATIENT, limits=WIDE)
        self.document["servers"][0]["started_ms"] = 1
        await self.call("POST", "/v1/tenants", self.document)
        key = await self.call("POST", f"/v1/tenants/{TENANT}/keys", {"role": "caller"})
        self.side.token = key["token"]
        ports = {name: partial(self.port, name) for name in self.machines.nodes}
        self.callers = NodeCallers(
            ports, self.side.ledger, self.side.rng, self.side.headers(), PATIENCE_MS
        )
        self.callers.start()
        await self.wait_served_by("s-0")

    def port(self, node: str) -> int:
        return self.machines.nodes[node].port

    async def call(self, method: str, path: str, body: object = None) -> Any:
        return (await asyncio.to_thread(self.operator.must, method, path, body)).body

    async def change_server(self, index: int) -> None:
        """Replace the only server of the tenant by another one."""
        name, port = self.side.listed[index]
        row = {"name": name, "address": f"127.0.0.1:{port}", "started_ms": 1}
        self.document = self.document | {"servers": [row]}
        await self.call("PUT", f"/v1/tenants/{TENANT}", self.document)

    async def wait_served_by(self, server: str, nodes: Collection[str] | None = None) -> None:
        """Wait until this server runs the requests of these nodes, or of all nodes."""
        await self.callers.served_by(server, TEST_TIMEOUT_S, nodes)

    async def distributor_of(self, node: str) -> str:
        """Wait until a node follows a distributor, and return its name."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not (name := await asyncio.to_thread(self.machines.distributor_of, node)):
                await asyncio.sleep(0.05)
        return name

    async def wait_for_requests(self, requests: int) -> None:
        """Wait until the callers have sent this many more requests."""
        asked = len(self.side.ledger.entries)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(self.side.ledger.entries) < asked + requests:
                await asyncio.sleep(0.02)

    async def restart_publisher(self) -> None:
        await asyncio.to_thread(self.machines.publisher.kill)
        await self.machines.start_publisher()
        self.operator = self.machines.publisher.operator()

    async def wait_complete(self) -> dict[str, Any]:
        """Wait until the API reports that the last change is complete, and return the rollout."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                rollout: dict[str, Any] = await self.call("GET", f"/v1/tenants/{TENANT}/rollout")
                if rollout["complete"]:
                    return rollout
                await asyncio.sleep(0.05)

    async def wait_refused(self, count: int) -> dict[str, Any]:
        """Wait until the API reports that `count` nodes refuse the last change."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                rollout: dict[str, Any] = await self.call("GET", f"/v1/tenants/{TENANT}/rollout")
                if rollout["nodes"]["refused"] >= count:
                    return rollout
                await asyncio.sleep(0.05)

    async def status(self, node: str) -> Mapping[str, Any]:
        """Return the status that a node reports to its operator."""
        return await asyncio.to_thread(self.machines.nodes[node].status)

    def check(self) -> None:
        """Fail if a request was lost, run twice or failed."""
        ledger = self.side.ledger
        assert not ledger.problems(breaks=False)
        assert not [e for e in ledger.entries.values() if End.FAILED in e.ends]


@asynccontextmanager
async def scenario_with_callers(folder: Path) -> AsyncIterator[Scenario]:
    async with distributed(folder) as machines:
        scenario = Scenario(machines)
        try:
            await scenario.begin()
            yield scenario
        finally:
            await scenario.callers.stop()
            for server in scenario.side.servers:
                server.kill()


Fault = Callable[[Distributed, str], Awaitable[None]]


async def kill(machines: Distributed, name: str) -> None:
    await asyncio.to_thread(machines.distributors[name].kill)


async def stop(machines: Distributed, name: str) -> None:
    machines.distributors[name].stop_all()


async def cut_links(machines: Distributed, name: str) -> None:
    for (_, distributor), relay in machines.ways.items():
        if distributor == name:
            relay.cut()


async def cut_publisher_link(machines: Distributed, name: str) -> None:
    machines.upward[name].cut()


@pytest.mark.parametrize("fault", [kill, stop, cut_links, cut_publisher_link])
def test_a_change_is_applied_although_the_distributor_of_a_node_fails(
    tmp_path: Path, fault: Fault
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            name = await asyncio.to_thread(scenario.machines.distributor_of, "n0")
            assert name
            await fault(scenario.machines, name)
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1")
        scenario.check()

    asyncio.run(main())


def test_the_api_reports_that_all_nodes_have_applied_a_change(tmp_path: Path) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            await scenario.change_server(1)
            rollout = await scenario.wait_complete()
            assert rollout["nodes"] == {"have": 3, "waiting": 0, "refused": 0}
            assert rollout["distributors"] == {"have": 2, "waiting": []}
            await scenario.wait_served_by("s-1")
        scenario.check()

    asyncio.run(main())


def test_each_node_reports_the_results_of_its_callers_and_the_api_refers_to_the_nodes(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            await scenario.wait_for_requests(50)
            await scenario.callers.stop()
            here = await scenario.call("GET", f"/v1/tenants/{TENANT}/report")
            assert here["classes"] == {} and "distribution report" in here["note"]
            ledger = scenario.side.ledger
            for name, node in scenario.machines.nodes.items():
                entries = [e for rid, e in ledger.entries.items() if rid.startswith(f"{name}.")]
                answered = sum(End.SERVED in entry.ends for entry in entries)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while True:
                        report = await asyncio.to_thread(node.report, TENANT)
                        rows = report["classes"].values()
                        served = sum(row["served"] for row in rows)
                        if served >= answered:
                            break
                        await asyncio.sleep(0.1)
                # A node counts an answer as served even if its caller has disconnected.
                assert 0 < answered <= served <= answered + 1
                assert all(row["p99_ms"] > 0 for row in rows if row["served"])
        scenario.check()

    asyncio.run(main())


def test_nodes_keep_serving_without_any_distributor_and_apply_missed_changes_later(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            machines = scenario.machines
            for name in machines.distributors:
                await kill(machines, name)
            served = len(scenario.side.ledger.entries)
            await scenario.change_server(1)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while len(scenario.side.ledger.entries) < served + 200:
                    await asyncio.sleep(0.02)
            status = await asyncio.to_thread(machines.nodes["n0"].status)
            assert status["age_ms"] > 0
            assert set(scenario.callers.last_ran.values()) == {"s-0"}
            for name in machines.distributors:
                await machines.start_distributor(name)
            await scenario.wait_served_by("s-1")
        scenario.check()

    asyncio.run(main())


def test_a_restarted_publisher_continues_and_a_restarted_node_subscribes_again(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            machines = scenario.machines
            await scenario.restart_publisher()
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1")
            await scenario.callers.stop()
            await asyncio.to_thread(machines.nodes["n1"].stop)
            await asyncio.to_thread(machines.nodes["n1"].start)
            caller = scenario.side.caller(machines.nodes["n1"].port, "after")
            assert await caller.ask("balance") is End.SERVED
            await scenario.change_server(2)
            rollout = await scenario.wait_complete()
            assert rollout["nodes"]["have"] == 3
        scenario.check()

    asyncio.run(main())


def test_an_unreachable_node_applies_a_change_on_reconnect_and_the_others_at_once(
    tmp_path: Path,
) -> None:
    """The distributor of the node is killed while its link to the other distributor is cut."""

    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            machines = scenario.machines
            name = await scenario.distributor_of("n0")
            machines.cut_node_off("n0", machines.other_distributor(name))
            await kill(machines, name)
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1", ["n1", "n2"])
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while (await scenario.status("n0"))["link"] == "up":
                    await asyncio.sleep(0.1)
            await scenario.wait_for_requests(100)
            assert scenario.callers.last_ran["n0"] == "s-0"
            machines.heal()
            await scenario.wait_served_by("s-1")
            assert (await scenario.wait_complete())["nodes"] == {
                "have": 3,
                "waiting": 0,
                "refused": 0,
            }
        scenario.check()

    asyncio.run(main())


def test_a_change_is_applied_while_a_distributor_is_stopped_and_the_publisher_restarts(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            name = await scenario.distributor_of("n0")
            await stop(scenario.machines, name)
            await scenario.restart_publisher()
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1")
            scenario.machines.distributors[name].go_on()
            await scenario.change_server(2)
            await scenario.wait_served_by("s-2")
            assert (await scenario.wait_complete())["nodes"]["have"] == 3
        scenario.check()

    asyncio.run(main())


def test_a_change_is_applied_after_the_agent_of_a_node_and_its_distributor_are_killed(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            name = await scenario.distributor_of("n0")
            node = scenario.machines.nodes["n0"]
            await asyncio.gather(
                kill(scenario.machines, name),
                asyncio.to_thread(os.kill, node.pid("agent"), signal.SIGKILL),
            )
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1")
        scenario.check()

    asyncio.run(main())


def test_an_isolated_region_keeps_serving_reports_its_age_and_applies_missed_changes(
    tmp_path: Path,
) -> None:
    """A distributor and two nodes reach only one another."""

    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            machines = scenario.machines
            region = ["n0", "n1"]
            inside = await scenario.distributor_of("n0")
            machines.cut_region_off(inside, region)
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1", ["n2"])
            async with asyncio.timeout(TEST_TIMEOUT_S):
                for node in region:
                    while (await scenario.status(node))["age_ms"] < 3_000:
                        await asyncio.sleep(0.1)
            await scenario.wait_for_requests(100)
            assert {scenario.callers.last_ran[node] for node in region} == {"s-0"}
            rollout = await scenario.call("GET", f"/v1/tenants/{TENANT}/rollout")
            assert not rollout["complete"] and rollout["distributors"]["waiting"] == [inside]
            machines.heal()
            await scenario.wait_served_by("s-1")
            assert (await scenario.wait_complete())["nodes"] == {
                "have": 3,
                "waiting": 0,
                "refused": 0,
            }
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while (await scenario.status("n0"))["age_ms"] >= 3_000:
                    await asyncio.sleep(0.1)
        scenario.check()

    asyncio.run(main())


def write_as_later_version(store: Path, over: dict[str, Any]) -> None:
    """Change the tenant's document in the store of a stopped publisher.

    The result is what a later version would write whose checks accept a document that the nodes of
    this version refuse.
    """
    opened = Store.open(store)
    try:
        rows = dict(opened.scan(b"", b"\xff"))
        seq = json.loads(rows[b"meta/seq"]) + 1
        key, tenant = next(
            (key, json.loads(value)) for key, value in rows.items() if key.startswith(b"tenant/")
        )
        tenant |= {"seq": seq, "version": tenant["version"] + 1}
        tenant["document"] |= over
        audit = json.loads(max((k, v) for k, v in rows.items() if k.startswith(b"audit/"))[1])
        audit |= {"seq": seq, "n": audit["n"] + 1, "tenant": tenant["uid"]}
        batch = Batch().put(key, json.dumps(tenant).encode())
        batch.put(b"meta/seq", str(seq).encode())
        batch.put(f"audit/{seq:012d}".encode(), json.dumps(audit).encode())
        opened.write(batch, durable=True)
    finally:
        opened.close()


def test_a_view_that_nodes_refuse_is_reported_by_node_and_the_previous_view_stays_applied(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            publisher = scenario.machines.publisher
            await asyncio.to_thread(publisher.stop)
            classes = [row | {"aim_ms": 0} for row in PATIENT]
            await asyncio.to_thread(
                write_as_later_version, publisher.folder / "state", {"classes": classes}
            )
            await scenario.machines.start_publisher()
            scenario.operator = publisher.operator()
            rollout = await scenario.wait_refused(3)
            assert not rollout["complete"]
            assert {row["node"] for row in rollout["refusing"]} == {"n0", "n1", "n2"}
            assert all("needs an aim" in row["why"] for row in rollout["refusing"])
            assert rollout["nodes"] == {"have": 0, "waiting": 0, "refused": 3}
            status = await scenario.status("n0")
            assert status["tenants"] == 1
            assert ["needs an aim" in why for why in status["refused_views"].values()] == [True]
            await scenario.wait_for_requests(100)
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1")
            assert (await scenario.wait_complete())["nodes"] == {
                "have": 3,
                "waiting": 0,
                "refused": 0,
            }
            assert not (await scenario.status("n0"))["refused_views"]
        scenario.check()

    asyncio.run(main())


@pytest.mark.parametrize("part", ["agent", "door", "worker-0"])
def test_a_tenant_is_still_served_after_a_process_of_a_node_is_killed(
    tmp_path: Path, part: str
) -> None:
    """Requests in flight in a killed worker may fail; their callers retry them."""

    async def main() -> None:
        async with scenario_with_callers(tmp_path) as scenario:
            node = scenario.machines.nodes["n0"]
            before = node.pid(part)
            os.kill(before, signal.SIGKILL)
            await asyncio.to_thread(node.until_ready_again, part, before)
            await scenario.change_server(1)
            await scenario.wait_served_by("s-1")
        assert not scenario.side.ledger.problems(breaks=True)

    asyncio.run(main())
