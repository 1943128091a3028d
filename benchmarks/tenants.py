"""What a tenant of the hosted service notices of its neighbours, and what hosting costs.

    python -m benchmarks.tenants [--pairs N] [--only WHAT] [--quick]

neighbours: a third tenant's credits, alone and beside a flooded and a misconfigured tenant, in
interleaved pairs; once for each layout: one worker for all, three workers, and a worker for
each tenant. cost: CPU for each request, all parts of the service added up, against the
platform's node in the same round. change: from the PUT of a setting to the first request under
it. failover: a worker killed, until its tenants are served again. idle: what a thousand
tenants cost of which twenty are asked.

Machines are shared and noisy: ratios are of each pair by itself, given as a median with a 95 %
interval (bootstrap over the pairs, fixed seed). Servers, callers and floods are processes of
their own, on other cores than the service where there are four or more.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from benchmarks.figures import median_and_interval, quantile
from benchmarks.request_cost import SETTINGS, Server, asks, listening
from benchmarks.tenants_load import FLOODED_LIMIT, WORK_S, ask
from standins.platform import config, request, roster, target
from standins.service import Operator, ServiceProcess, cpu_s, document, memory_mb

ROOT = Path(__file__).resolve().parent.parent
THIRD_RATE = 100.0  # credits a second
SEGMENT_S = 4.0
SETTLE_S = 0.7
SERVICE_CORES = 0  # at most; 0: all that callers and servers leave


def cores() -> dict[str, list[int]]:
    """Who runs where: the service apart from those who ask and answer, these each apart."""
    mine = sorted(os.sched_getaffinity(0))
    if len(mine) < 4:
        return dict.fromkeys(("service", "servers", "third", "flood"), mine)
    *rest, servers, third, flood = mine
    rest = rest[: SERVICE_CORES or None]
    return {"service": rest, "servers": [servers], "third": [third], "flood": [flood]}


class Helper:
    """One of `tenants_load.LOADS`, on its own cores."""

    def __init__(self, load: str, *arguments: object) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.tenants_load", load, json.dumps(arguments)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        os.sched_setaffinity(self.process.pid, cores()[load])

    def line(self) -> Any:
        assert self.process.stdout is not None
        text = self.process.stdout.readline()
        if not text:
            raise RuntimeError("a part of the benchmark died")
        return json.loads(text)

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


class Service(ServiceProcess):
    """On the service's cores."""

    def start(self) -> None:
        mine = cores()["service"]
        before = os.sched_getaffinity(0)
        os.sched_setaffinity(0, mine)
        try:
            super().start()
        finally:
            os.sched_setaffinity(0, before)

    def pin(self) -> dict[str, int]:
        names = ["admin", "door", *(f"worker-{i}" for i in range(self.workers))]
        return {name: self.pid(name) for name in names}


def tenant(
    operator: Operator, name: str, ports: Sequence[int], first: int = 0, **over: Any
) -> tuple[str, str]:
    """Create it; its host and a key."""
    made = document(name, [(f"s-{i + first}", port) for i, port in enumerate(ports)], **over)
    for row in made["servers"]:
        row["started_ms"] = 1
    operator.must("POST", "/v1/tenants", made)
    key = operator.must("POST", f"/v1/tenants/{name}/keys", {"role": "caller"}).body["token"]
    return f"{name}.example.org", str(key)


def note(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


# ---- what is measured ----


def neighbours(pairs: int) -> None:
    print(f"\nThe third tenant's credits ({THIRD_RATE:.0f} a second, servers' work "
          f"{WORK_S * 1000:.0f} ms), beside a flood of {10 * FLOODED_LIMIT:.0f} a second and dead "
          f"servers, to itself alone; {pairs} pairs, the service on "
          f"{len(cores()['service'])} cores")  # fmt: skip
    print(f"{'layout':>22} {'p50 alone':>10} {'p99 alone':>10} {'p50 ratio':>24} "
          f"{'p99 ratio':>24} {'not served':>11}")  # fmt: skip
    for workers, text in ((1, "one worker"), (3, "three workers"), (8, "worker each, of 8")):
        with tempfile.TemporaryDirectory(prefix="tenants-") as folder:
            service = Service(Path(folder), workers)
            servers = Helper("servers", 8)
            try:
                _neighbours(service, servers.line(), pairs, text)
            finally:
                servers.end()
                service.kill()


def _neighbours(service: Service, ports: list[int], pairs: int, text: str) -> None:
    service.start()
    operator = service.operator()
    third = tenant(operator, "third", ports[:4])
    limits = {"rate_per_s": FLOODED_LIMIT, "burst": 50, "connections": 100}
    flooded = tenant(operator, "flooded", ports[4:], limits=limits)
    dead = tenant(operator, "dead", [1, 2])

    def segment(beside: bool) -> list[float]:
        flood = None
        if beside:
            flood = Helper(
                "flood", service.port, service.admin_port, *flooded, *dead, SEGMENT_S + SETTLE_S
            )
            time.sleep(SETTLE_S)
        asking = Helper("third", service.port, *third, SEGMENT_S, THIRD_RATE)
        got = asking.line()
        asking.end()
        if flood is not None:
            counts = flood.line()
            flood.end()
            note(f"  the flood got {counts}")
        lost.append(got["other"])
        return list(got["times"])

    lost: list[int] = []
    segment(False)  # warm
    lost.clear()
    alone: list[list[float]] = []
    ratios: dict[float, list[float]] = {0.5: [], 0.99: []}
    for n in range(pairs):
        order = (False, True) if n % 2 else (True, False)
        got = {beside: segment(beside) for beside in order}
        alone.append(got[False])
        for part, kept in ratios.items():
            kept.append(quantile(got[True], part) / quantile(got[False], part))
        note(
            f"{text}, pair {n + 1} of {pairs}: p50 {ratios[0.5][-1]:.3f} p99 {ratios[0.99][-1]:.3f}"
        )
    p50 = statistics.median(quantile(times, 0.5) for times in alone)
    p99 = statistics.median(quantile(times, 0.99) for times in alone)
    intervals = " ".join(f"{median_and_interval(ratios[part]):>24}" for part in (0.5, 0.99))
    print(f"{text:>22} {p50 * 1000:>7.2f} ms {p99 * 1000:>7.2f} ms {intervals} {sum(lost):>11}",
          flush=True)  # fmt: skip


def cost(rounds: int, requests: int) -> None:
    """Kept connections: a door reads one head for each, a worker does the rest."""

    async def both() -> None:
        loop = asyncio.get_running_loop()
        servers = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(4)]
        ports = [int(s.sockets[0].getsockname()[1]) for s in servers]
        hosted: list[float] = []
        node: list[float] = []
        each = requests // 32
        for n in range(rounds):
            for first in (True, False) if n % 2 else (False, True):
                play, kept = (play_hosted, hosted) if first else (play_node, node)
                kept.append(await play(ports, each))
            note(
                f"cost, round {n + 1} of {rounds}: hosted {hosted[-1]:.1f} us, node {node[-1]:.1f}"
            )
        ratios = [a / b for a, b in zip(hosted, node, strict=True)]
        print("\nCPU for each request, microseconds; the hosted service's parts added up")
        print(f"{'platform node':>22} {statistics.median(node):>8.1f} "
              f"({min(node):.1f} to {max(node):.1f})")  # fmt: skip
        print(f"{'hosted':>22} {statistics.median(hosted):>8.1f} "
              f"({min(hosted):.1f} to {max(hosted):.1f})")  # fmt: skip
        print(f"{'ratio':>22} {median_and_interval(ratios)}")
        for server in servers:
            server.close()

    async def play_hosted(ports: list[int], each: int) -> float:
        with tempfile.TemporaryDirectory(prefix="tenants-") as folder:
            service = Service(Path(folder), 1)
            try:
                await asyncio.to_thread(service.start)
                limits = {"rate_per_s": 1_000_000, "burst": 1_000_000, "connections_per_s": 1000}
                host, key = await asyncio.to_thread(
                    tenant, service.operator(), "one", ports, limits=limits
                )
                head = {"Host": host, "X_Tenant_Id": "", "X_Tenant_Key": key}
                pids = list(service.pin().values())
                return await spent(lambda: sum(map(cpu_s, pids)), service.port, each, head)
            finally:
                await asyncio.to_thread(service.kill)

    async def play_node(ports: list[int], each: int) -> float:
        with tempfile.TemporaryDirectory(prefix="tenants-") as folder:
            path = Path(folder)
            known = roster(*(target(f"s-{i}", port) for i, port in enumerate(ports)))
            environ = config(path, known, 1, settings=SETTINGS)
            with (path / "log").open("wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "-B", "-m", "windrelay"],
                    cwd=ROOT,
                    env=os.environ | environ,
                    stderr=log,
                )
            os.sched_setaffinity(process.pid, service_cores)
            try:
                port = await asyncio.to_thread(listening, process, path / "log")
                return await spent(lambda: cpu_s(process.pid), port, each, {})
            finally:
                process.kill()
                process.wait()

    async def spent(cpu: Callable[[], float], port: int, each: int, head: dict[str, str]) -> float:
        await asyncio.gather(*(asks(port, 20, f"w{i}", head) for i in range(32)))
        before = cpu()
        served = await asyncio.gather(*(asks(port, each, f"r{i}", head) for i in range(32)))
        took = cpu() - before
        if sum(served) < 0.98 * each * 32:
            raise RuntimeError(f"only {sum(served)} of {each * 32} were served")
        return took * 1e6 / (each * 32)

    before = os.sched_getaffinity(0)
    service_cores = cores()["service"]
    asyncio.run(both())
    os.sched_setaffinity(0, before)


def failover(times: int) -> None:
    """A worker is killed; how long until each of its tenants is served again."""
    with tempfile.TemporaryDirectory(prefix="tenants-") as folder:
        service = Service(Path(folder), 2)
        servers = Helper("servers", 2)
        try:
            service.start()
            operator, ports = service.operator(), servers.line()
            tenants = [tenant(operator, f"t-{i}", ports) for i in range(8)]
            took = asyncio.run(_failover(service, tenants, times))
        finally:
            servers.end()
            service.kill()
    print(f"\nA worker killed {times} times: until the last of 8 tenants is served again")
    print(f"{'median':>22} {statistics.median(took) * 1000:>8.1f} ms")
    print(f"{'longest':>22} {max(took) * 1000:>8.1f} ms")


async def _failover(service: Service, tenants: list[tuple[str, str]], times: int) -> list[float]:
    took = []

    async def until_served(host: str, key: str, mark: str) -> None:
        tries = 0
        while True:
            tries += 1
            head = {"Host": host, "X_Tenant_Id": "", "X_Tenant_Key": key}
            data = request("/balance/1", rid=f"{mark}-{tries}", more=head)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
                status, _ = await ask(reader, writer, data)
                writer.close()
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.002)

    for n in range(times):
        await asyncio.gather(*(until_served(h, k, f"a{n}-{h}") for h, k in tenants))
        victim = service.pid(f"worker-{n % 2}")
        begin = time.monotonic()
        os.kill(victim, signal.SIGKILL)
        await asyncio.gather(*(until_served(h, k, f"b{n}-{h}") for h, k in tenants))
        took.append(time.monotonic() - begin)
        await asyncio.to_thread(service.until_ready_again, f"worker-{n % 2}", victim)
        note(f"failover {n + 1} of {times}: {took[-1] * 1000:.1f} ms")
    return took


def change(times: int) -> None:
    """A class put in: its first request that is not 404."""
    with tempfile.TemporaryDirectory(prefix="tenants-") as folder:
        service = Service(Path(folder), 3)
        servers = Helper("servers", 2)
        try:
            service.start()
            operator = service.operator()
            host, key = tenant(operator, "one", servers.line())
            took = asyncio.run(_change(service, operator, host, key, times))
        finally:
            servers.end()
            service.kill()
    print(f"\nFrom the PUT of a class to the first request under it, {times} times")
    print(f"{'median':>22} {statistics.median(took) * 1000:>8.1f} ms")
    print(f"{'p99':>22} {quantile(took, 0.99) * 1000:>8.1f} ms (aim 100)")


async def _change(
    service: Service, operator: Operator, host: str, key: str, times: int
) -> list[float]:
    """The request goes off every millisecond while the PUT is under way, on a kept connection."""
    took: list[float] = []
    head = {"Host": host, "X_Tenant_Id": "", "X_Tenant_Key": key}
    row = {"aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"}
    for n in range(times):
        begin = time.monotonic()
        put = asyncio.create_task(
            asyncio.to_thread(operator.must, "PUT", f"/v1/tenants/one/classes/c-{n}", row)
        )
        tries = 0
        while True:
            tries += 1
            reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
            began = time.monotonic()
            status, _ = await ask(
                reader, writer, request(f"/c-{n}/1", rid=f"c-{n}-{tries}", more=head)
            )
            writer.close()
            if status == 200:
                took.append(began - begin)
                break
            await asyncio.sleep(0.004)
        await put
        await asyncio.to_thread(operator.must, "DELETE", f"/v1/tenants/one/classes/c-{n}")
    return took


def idle(count: int, busy: int) -> None:
    """Memory and idle CPU of each part, without tenants and with all of them."""
    with tempfile.TemporaryDirectory(prefix="tenants-") as folder:
        service = Service(Path(folder), 2)
        servers = Helper("servers", 2)
        try:
            ports = servers.line()
            service.start()
            parts_ = service.pin()
            empty = {name: memory_mb(pid) for name, pid in parts_.items()}
            operator = service.operator()
            begin = time.monotonic()
            keys = []
            for n in range(count):
                if n < busy:
                    keys.append(tenant(operator, f"t-{n}", ports))
                else:
                    operator.must("POST", "/v1/tenants", document(f"t-{n}", [("s", 9)]))
                if n % 100 == 99:
                    note(f"idle: {n + 1} of {count} tenants, {time.monotonic() - begin:.1f} s")
            made = time.monotonic() - begin
            sleeping = {name: memory_mb(pid) for name, pid in parts_.items()}

            async def ask_busy() -> None:
                heads = [{"Host": h, "X_Tenant_Id": "", "X_Tenant_Key": k} for h, k in keys]
                await asyncio.gather(
                    *(asks(service.port, 10, f"b{i}", head) for i, head in enumerate(heads))
                )

            asyncio.run(ask_busy())
            awake = {name: memory_mb(pid) for name, pid in parts_.items()}
            before = {name: cpu_s(pid) for name, pid in parts_.items()}
            time.sleep(5)
            used = {name: (cpu_s(pid) - before[name]) / 5 for name, pid in parts_.items()}
            service.stop()
            begin = time.monotonic()
            service.start()
            start = time.monotonic() - begin
        finally:
            servers.end()
            service.kill()
    print(f"\n{count} tenants, {busy} of them asked; created in {made:.1f} s, "
          f"the service starts with them in {start:.2f} s")  # fmt: skip
    print(f"{'':>12} {'empty MB':>9} {'+ all asleep':>13} {'KB each':>8} {'+ asked':>8} "
          f"{'KB each':>8} {'CPU at rest':>12}")  # fmt: skip
    for name, mb in empty.items():
        more, asked = sleeping[name] - mb, awake[name] - sleeping[name]
        print(f"{name:>12} {mb:>9.1f} {more:>13.1f} {more * 1024 / count:>8.1f} {asked:>8.1f} "
              f"{asked * 1024 / busy:>8.0f} {100 * used[name]:>11.2f}%")  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--pairs", type=int, default=12)
    parser.add_argument("--only", choices=["neighbours", "cost", "change", "failover", "idle"])
    parser.add_argument("--service-cores", type=int, default=0, help="at most so many")
    parser.add_argument("--quick", action="store_true", help="a look at whether it runs")
    options = parser.parse_args()
    global SERVICE_CORES
    SERVICE_CORES = options.service_cores
    quick = options.quick
    work: dict[str, Callable[[], None]] = {
        "neighbours": lambda: neighbours(2 if quick else options.pairs),
        "cost": lambda: cost(1 if quick else 5, 3200 if quick else 20_000),
        "change": lambda: change(5 if quick else 200),
        "failover": lambda: failover(3 if quick else 20),
        "idle": lambda: idle(50 if quick else 1000, 5 if quick else 20),
    }
    for name, one in work.items():
        if options.only in (None, name):
            one()
    return 0


if __name__ == "__main__":
    sys.exit(main())
