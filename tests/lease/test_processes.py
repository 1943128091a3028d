"""Leases between real processes of the program under faults. One shared resource records every
operation in order, so that an operation under an older token after a newer one is found."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.fleet.leases import ROOT, LeaseRig, Resource, play
from standins.wire import read_frame

Scenario = Callable[[LeaseRig], Awaitable[None]]


def run_scenario(scenario: Scenario, seed: int = 1, **over: Any) -> LeaseRig:
    """Found a group, run the scenario, check the records of the rig and return it."""
    with tempfile.TemporaryDirectory(prefix="tl", dir=os.environ.get("TMPDIR")) as folder:
        rig = LeaseRig(Path(folder), seed, **({"instances": 3, "leases": 4} | over))

        async def run() -> None:
            try:
                await rig.start()
                await rig.found()
                await scenario(rig)
            finally:
                await rig.close()

        asyncio.run(run())
        rig.judge()
        return rig


FAULT_KINDS = ("kill", "stop", "cut", "bare", "lossy", "full", "one_way", "restore", "slow")


def run_with_paused_holder(fenced: bool) -> LeaseRig:
    """Instance a is paused while it holds the lease; b gets it and acts; then a acts late."""

    async def scenario(rig: LeaseRig) -> None:
        a, b = rig.stations["a"], rig.stations["b"]
        reader, first_writer, first = await rig.line(a, "x")
        assert a.process is not None
        a.process.send_signal(signal.SIGSTOP)
        _, second_writer, second = await rig.line(b, "x")
        assert second["token"] > first["token"]
        assert time.monotonic_ns() >= first["until"]  # the time limit that a was given
        assert rig.resource.act("x", second["token"], "b.1")
        rig.resource.act("x", first["token"], "a.1")
        a.process.send_signal(signal.SIGCONT)
        frame = await read_frame(reader)
        while "lost" not in frame:
            frame = await read_frame(reader)
        first_writer.close()
        second_writer.close()

    return run_scenario(scenario, fenced=fenced)


def test_paused_holder_is_told_of_the_loss_and_its_late_operation_is_refused() -> None:
    rig = run_with_paused_holder(fenced=True)
    assert rig.made.problems == [] and rig.made.refused == 1


def test_without_fencing_an_older_holder_acts_after_a_newer_one() -> None:
    assert "after" in " ".join(run_with_paused_holder(fenced=False).made.problems)


def test_without_a_majority_of_voters_no_instance_acts() -> None:
    async def scenario(rig: LeaseRig) -> None:
        rig.act()
        await rig.recover()
        rig.end(rig.stations["b"])
        rig.end(rig.stations["c"])
        await asyncio.sleep(2 * rig.lease_ms / 1000)
        count = len(rig.resource.acts)
        await asyncio.sleep(2 * rig.lease_ms / 1000)
        assert len(rig.resource.acts) == count
        why = await rig.ask(rig.stations["a"], "why", "lease-0")
        assert "a majority" in " ".join(why["why"])
        rig.begin(rig.stations["b"])
        await rig.recover()

    assert run_scenario(scenario).made.problems == []


def test_group_with_a_majority_of_lost_disks_stops_until_refound() -> None:
    async def scenario(rig: LeaseRig) -> None:
        rig.act(at=["a"])
        await rig.recover()
        newest = max(rig.resource.newest.values())
        for name in ("b", "c"):
            rig.end(rig.stations[name])
            subprocess.run(["rm", "-rf", str(rig.stations[name].promises)], check=True)
            rig.begin(rig.stations[name])
        await asyncio.sleep(2.5)  # a majority of the old group's disks is blank
        assert "no leader" in " ".join((await rig.ask(rig.stations["a"], "why", "x"))["why"])
        assert "error" not in await rig.ask(rig.stations["a"], "refound")
        await rig.whole()  # the blank disks join the new group
        await rig.recover()
        assert min(rig.resource.newest.values()) > newest + (1 << 31)

    assert run_scenario(scenario).made.problems == []


def test_command_ends_with_its_lease_and_another_instance_runs_it() -> None:
    async def scenario(rig: LeaseRig) -> None:
        out = rig.folder / "out"
        script = (
            "import os, time\n"
            f"with open({str(out)!r}, 'a') as f:\n"
            "    print(os.environ['TANSYWOOD_TOKEN'], file=f)\n"
            "time.sleep(60)"
        )

        def run(name: str) -> subprocess.Popen[bytes]:
            return subprocess.Popen(
                [sys.executable, "-m", "tansywood", "lease", "run",
                 str(rig.stations[name].folder / "service.toml"), "backup", "--",
                 sys.executable, "-c", script],
                cwd=ROOT, stderr=subprocess.PIPE,
            )  # fmt: skip

        async def lines(count: int) -> list[int]:
            end = time.monotonic() + 15
            while time.monotonic() < end:
                found = out.read_text().split() if out.exists() else []
                if len(found) >= count:
                    return [int(x) for x in found]
                await asyncio.sleep(0.02)
            raise AssertionError(f"{count} runs of the command did not start within 15 s")

        first = run("a")
        await lines(1)
        second = run("b")
        await asyncio.sleep(1.0)
        assert len(await lines(1)) == 1  # the second instance waits for the lease
        process = rig.stations["a"].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        tokens = await lines(2)
        assert await asyncio.to_thread(first.wait, 10) == 75
        assert tokens[1] > tokens[0]
        process.send_signal(signal.SIGCONT)
        second.terminate()
        await asyncio.to_thread(second.communicate, timeout=10)  # its command ends with it
        await asyncio.to_thread(first.communicate, timeout=10)

    run_scenario(scenario)


def test_lease_commands_report_holders_at_voters_and_non_voters() -> None:
    async def scenario(rig: LeaseRig) -> None:
        rig.act(["lease-0"], at=["a"])
        await asyncio.sleep(0.5)

        def run_command(name: str, *arguments: str) -> subprocess.CompletedProcess[str]:
            file = str(rig.stations[name].folder / "service.toml")
            row = [sys.executable, "-m", "tansywood", "lease", arguments[0], file, *arguments[1:]]
            return subprocess.run(row, cwd=ROOT, capture_output=True, text=True, timeout=20)

        rows = [await asyncio.to_thread(run_command, *row) for row in (
            ("d", "list"), ("a", "show"), ("a", "why", "lease-9"), ("a", "why"), ("d", "found"),
            ("a", "found"), ("b", "hand-over", "lease-0"), ("a", "refound"),
        )]  # fmt: skip
        assert "lease" in rows[0].stdout and rows[0].returncode == 0
        assert "votes as a/" in rows[1].stdout and "voters a/" in rows[1].stdout
        assert "nobody holds lease-9" in rows[2].stdout
        assert rows[3].returncode == 2 and "NAME" in rows[3].stderr
        for row, why in zip(rows[4:], ("no voter", "already", "not held", "majority"), strict=True):
            assert row.returncode == 1 and why in row.stderr, row

    run_scenario(scenario, instances=4, hold_s=30.0, asleep=0.0)


def test_resource_reports_an_older_token_after_a_newer_one() -> None:
    resource = Resource(fenced=False)
    resource.act("x", 5, "a.1")
    resource.act("x", 9, "b.1")
    resource.act("x", 5, "a.1")
    resource.act("x", 9, "c.1")
    assert len(resource.problems()) == 2
    fenced = Resource()
    assert fenced.act("x", 5, "a.1") and fenced.act("x", 9, "b.1")
    assert not fenced.act("x", 5, "a.1") and fenced.problems() == []


def test_no_two_holders_act_at_once_and_every_lease_is_used_after_the_faults() -> None:
    made = play(5, 9.0, kinds=FAULT_KINDS)
    assert made.problems == [], made.log
    assert made.handovers > 100 and sum(made.faults.values()) >= 3
