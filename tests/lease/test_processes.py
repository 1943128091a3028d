"""Leases between real processes of the program, faults between them, one resource that keeps the
order of every act."""

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

Story = Callable[[LeaseRig], Awaitable[None]]


def told(story: Story, seed: int = 1, **over: Any) -> LeaseRig:
    """Founded, then as the story goes; the rig's books after it."""
    with tempfile.TemporaryDirectory(prefix="tl", dir=os.environ.get("TMPDIR")) as made:
        rig = LeaseRig(Path(made), seed, **({"instances": 3, "leases": 4} | over))

        async def go() -> None:
            try:
                await rig.start()
                await rig.found()
                await story(rig)
            finally:
                await rig.close()

        asyncio.run(go())
        rig.judge()
        return rig


KINDS = ("kill", "stop", "cut", "bare", "lossy", "full", "one_way", "restore", "slow")


def stopped_holder(fenced: bool) -> LeaseRig:
    """a holds, is stopped, b holds and acts; then what a had begun comes to its act."""

    async def story(rig: LeaseRig) -> None:
        a, b = rig.stations["a"], rig.stations["b"]
        reader, first_line, first = await rig.line(a, "x")
        assert a.process is not None
        a.process.send_signal(signal.SIGSTOP)
        _, second_line, second = await rig.line(b, "x")
        assert second["token"] > first["token"]
        assert time.monotonic_ns() >= first["until"]  # it was told until when it may act
        assert rig.resource.act("x", second["token"], "b.1")
        rig.resource.act("x", first["token"], "a.1")
        a.process.send_signal(signal.SIGCONT)
        word = await read_frame(reader)
        while "lost" not in word:
            word = await read_frame(reader)
        first_line.close()
        second_line.close()

    return told(story, fenced=fenced)


def test_a_holder_that_was_stopped_is_told_and_its_next_act_is_refused_by_its_token() -> None:
    rig = stopped_holder(fenced=True)
    assert rig.made.problems == [] and rig.made.refused == 1


def test_without_tokens_at_the_resource_an_older_holder_acts_after_a_newer() -> None:
    assert "after" in " ".join(stopped_holder(fenced=False).made.problems)


def test_two_of_three_voters_gone_nobody_acts_until_one_is_back() -> None:
    async def story(rig: LeaseRig) -> None:
        rig.act()
        await rig.recover()
        rig.end(rig.stations["b"])
        rig.end(rig.stations["c"])
        await asyncio.sleep(2 * rig.lease_ms / 1000)
        quiet = len(rig.resource.acts)
        await asyncio.sleep(2 * rig.lease_ms / 1000)
        assert len(rig.resource.acts) == quiet
        why = await rig.ask(rig.stations["a"], "why", "lease-0")
        assert "a majority" in " ".join(why["why"])
        rig.begin(rig.stations["b"])
        await rig.recover()

    assert told(story).made.problems == []


def test_a_majority_of_lost_disks_stands_until_somebody_says_go_on() -> None:
    async def story(rig: LeaseRig) -> None:
        rig.act(at=["a"])
        await rig.recover()
        newest = max(rig.resource.newest.values())
        for name in ("b", "c"):
            rig.end(rig.stations[name])
            subprocess.run(["rm", "-rf", str(rig.stations[name].promises)], check=True)
            rig.begin(rig.stations[name])
        await asyncio.sleep(2.5)  # the old group's majority is blank
        assert "no leader" in " ".join((await rig.ask(rig.stations["a"], "why", "x"))["why"])
        assert "error" not in await rig.ask(rig.stations["a"], "refound")
        await rig.whole()  # the blank disks are taken in by it
        await rig.recover()
        assert min(rig.resource.newest.values()) > newest + (1 << 31)

    assert told(story).made.problems == []


def test_a_command_is_ended_when_its_lease_is_lost_and_another_instance_runs_it() -> None:
    async def story(rig: LeaseRig) -> None:
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
            raise AssertionError(f"{count} runs did not come")

        first = run("a")
        await lines(1)
        second = run("b")
        await asyncio.sleep(1.0)
        assert len(await lines(1)) == 1  # the other waits
        process = rig.stations["a"].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        tokens = await lines(2)
        assert await asyncio.to_thread(first.wait, 10) == 75
        assert tokens[1] > tokens[0]
        process.send_signal(signal.SIGCONT)
        second.terminate()
        await asyncio.to_thread(second.communicate, timeout=10)  # and its command with it
        await asyncio.to_thread(first.communicate, timeout=10)

    told(story)


def test_people_see_who_has_what_at_voters_and_at_others() -> None:
    async def story(rig: LeaseRig) -> None:
        rig.act(["lease-0"], at=["a"])
        await asyncio.sleep(0.5)

        def tool(name: str, *words: str) -> subprocess.CompletedProcess[str]:
            file = str(rig.stations[name].folder / "service.toml")
            row = [sys.executable, "-m", "tansywood", "lease", words[0], file, *words[1:]]
            return subprocess.run(row, cwd=ROOT, capture_output=True, text=True, timeout=20)

        rows = [await asyncio.to_thread(tool, *row) for row in (
            ("d", "list"), ("a", "show"), ("a", "why", "lease-9"), ("a", "why"), ("d", "found"),
            ("a", "found"), ("b", "hand-over", "lease-0"), ("a", "refound"),
        )]  # fmt: skip
        assert "lease" in rows[0].stdout and rows[0].returncode == 0
        assert "votes as a/" in rows[1].stdout and "voters a/" in rows[1].stdout
        assert "nobody holds lease-9" in rows[2].stdout
        assert rows[3].returncode == 2 and "NAME" in rows[3].stderr
        for row, why in zip(rows[4:], ("no voter", "already", "not held", "majority"), strict=True):
            assert row.returncode == 1 and why in row.stderr, row

    told(story, instances=4, hold_s=30.0, asleep=0.0)


def test_a_resource_tells_an_older_token_after_a_newer() -> None:
    resource = Resource(fenced=False)
    resource.act("x", 5, "a.1")
    resource.act("x", 9, "b.1")
    resource.act("x", 5, "a.1")
    resource.act("x", 9, "c.1")
    assert len(resource.problems()) == 2
    fenced = Resource()
    assert fenced.act("x", 5, "a.1") and fenced.act("x", 9, "b.1")
    assert not fenced.act("x", 5, "a.1") and fenced.problems() == []


def test_no_two_holders_act_and_all_is_acted_on_after_the_last_fault() -> None:
    made = play(5, 9.0, kinds=KINDS)
    assert made.problems == [], made.log
    assert made.handovers > 100 and sum(made.faults.values()) >= 3
