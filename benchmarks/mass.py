"""A fleet that shares nothing, in simulated time: ours, the tree before, and two bounds.

    python -m benchmarks.mass [--against REV] [--nodes 2 20 200] [--kinds calm join] [--seeds 5]

Plays the same days by the same seeds with the module of this tree, the module of REV, the
plainest policy (a random server, no second attempt) and one that sees the true state of every
server at each moment. What counts is the part of the worth asked for that was served within its
aim. The last columns are the processor time of the module for each wish, and the memory of a
node, both of the whole play divided. The two bounds close connections after half a second of
rest: with the node's own 58 s the plainest would fill every server's table and serve nothing.
"""

from __future__ import annotations

import argparse
import io
import json
import os
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.figures import median_and_range
from standins.mass.day import KINDS

ROOT = Path(__file__).resolve().parent.parent
BOUND_IDLE = 0.5


@dataclass(frozen=True, slots=True)
class Play:
    """One day with one policy: whose module, and where it lies."""

    who: str
    kind: str
    nodes: int
    seed: int
    policy: str
    path: str
    idle: float | None = None


def module_of(rev: str, folder: str) -> str:
    """The decision module of a commit, unpacked; beside it this tree's rig."""
    done = subprocess.run(
        ["git", "archive", rev, "flinthatch"], cwd=ROOT, capture_output=True, check=False
    )
    if done.returncode:
        sys.exit(f"no module of {rev}: {done.stderr.decode().strip()}; name a commit of this tree")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as tar:
        tar.extractall(folder, filter="data")
    (Path(folder) / "standins").symlink_to(ROOT / "standins")
    return folder


def play(job: Play, seconds: float, servers: float) -> dict[str, Any]:
    command = [
        sys.executable, "-m", "standins.mass", job.kind, "--seed", str(job.seed),
        "--nodes", str(job.nodes), "--seconds", str(seconds), "--policy", job.policy, "--json",
    ]  # fmt: skip
    if job.nodes < 50:
        command += ["--servers", str(max(12, int(job.nodes * servers)))]
    if job.idle is not None:
        command += ["--idle", str(job.idle)]
    done = subprocess.run(
        command, cwd=job.path, capture_output=True, env=os.environ | {"PYTHONPATH": job.path}
    )
    if done.returncode not in (0, 1) or not done.stdout:
        sys.exit(f"{' '.join(command)}: {done.stderr.decode()[-500:]}")
    figures: dict[str, Any] = json.loads(done.stdout)
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mass", description=__doc__)
    parser.add_argument("--against", default="599563e", help="commit before; %(default)s")
    parser.add_argument("--nodes", type=int, nargs="+", default=[2, 20, 200])
    parser.add_argument("--kinds", nargs="+", default=["calm", "join"], choices=KINDS)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--servers", type=float, default=12.0, help="a node, in small fleets")
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 1, 1))
    args = parser.parse_args()
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        before = module_of(args.against, folder)
        here = str(ROOT)
        who = [
            ("ours", "module", here, None),
            ("before", "module", before, None),
            ("plainest", "blind", here, BOUND_IDLE),
            ("sees all", "seeing", here, BOUND_IDLE),
        ]
        jobs = [
            Play(name, kind, nodes, seed, policy, path, idle)
            for nodes in args.nodes
            for kind in args.kinds
            for seed in range(1, args.seeds + 1)
            for name, policy, path, idle in who
        ]
        found: dict[tuple[int, str, str], list[dict[str, Any]]] = {}
        with ThreadPoolExecutor(args.workers) as pool:
            plays = pool.map(lambda job: play(job, args.seconds, args.servers), jobs)
            for number, (job, figures) in enumerate(zip(jobs, plays, strict=True), 1):
                found.setdefault((job.nodes, job.kind, job.who), []).append(figures)
                if sys.stderr.isatty():
                    print(f"\r{number} of {len(jobs)} days", end="", file=sys.stderr)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    head = f"{'nodes':>6} {'day':6} {'policy':10}{'worth served':>26}{'to the tree before':>26}"
    print(head + f"{'to what sees all':>26}{'us a wish':>11}{'KB a node':>11}  rules broken")
    for (nodes, kind, name), rows in found.items():
        served = [r["served"] for r in rows]
        old = [r["served"] for r in found[nodes, kind, "before"]]
        top = [r["served"] for r in found[nodes, kind, "sees all"]]
        cpu = statistics.median(r["cpu_us_a_wish"] for r in rows)
        memory = statistics.median(r["kb_a_node"] for r in rows)
        broken = sum(sum(r["broken"].values()) for r in rows)
        print(
            f"{nodes:6} {kind:6} {name:10}{median_and_range(served):>26}"
            f"{median_and_range([a / b for a, b in zip(served, old, strict=True)]):>26}"
            f"{median_and_range([a / b for a, b in zip(served, top, strict=True)]):>26}"
            f"{cpu:11.0f}{memory:11.0f}  {broken or 'none'}"
        )
    print(f"\n{len(jobs)} days of {args.seconds:.0f} s in {time.monotonic() - began:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
