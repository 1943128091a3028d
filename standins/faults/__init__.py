"""System calls that fail in turn beneath a process, and numbers that are never reused.

`faults.c` says how; this compiles it once for a text of it, and writes its environment.
"""

from __future__ import annotations

import errno
import os
import subprocess
import tempfile
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
CALLS = frozenset(("accept4", "socket", "connect", "so_error", "read", "recv", "write", "close"))


@dataclass(frozen=True, slots=True)
class Fault:
    """One call fails with an errno from its `after`-th time on (1 is the first), `times` times.

    `times` of 0 is for good. The calls of one kind are counted over all sockets of clients
    and servers together; those of the list of servers are left alone.
    """

    call: str
    error: int
    after: int = 1
    times: int = 1

    def __post_init__(self) -> None:
        if self.call not in CALLS:
            raise ValueError(f"no call {self.call!r} can fail; these can: {sorted(CALLS)}")
        if self.after < 1 or self.times < 0:
            raise ValueError(f"{self}: after is 1 or more, times 0 or more")

    def __str__(self) -> str:
        times = f"{self.times} times" if self.times else "for good"
        return f"{self.call} {errno.errorcode[self.error]} from {self.after} {times}"


def library() -> Path:
    """The compiled layer; compiles it where this text of it has not been yet.

    Raises RuntimeError with the compiler's words where there is no compiler or it fails.
    """
    mark = sha256(SOURCE.read_bytes()).hexdigest()[:16]
    folder = Path(tempfile.gettempdir()) / f"standins-faults-{os.getuid()}"
    folder.mkdir(mode=0o700, exist_ok=True)
    built = folder / f"faults-{mark}.so"
    if not built.exists():
        part = folder / f"{mark}.{os.getpid()}.part"
        command = ["cc", "-O1", "-Wall", "-Wextra", "-shared", "-fPIC", "-o", str(part)]
        try:
            done = subprocess.run([*command, str(SOURCE), "-ldl"], capture_output=True, text=True)
        except OSError as err:
            raise RuntimeError(f"the fault layer needs a C compiler as cc: {err}") from None
        if done.returncode:
            raise RuntimeError(f"the fault layer does not compile: {done.stderr}")
        part.replace(built)
    return built


def environment(log: Path, ports: Iterable[int], faults: Sequence[Fault] = ()) -> dict[str, str]:
    """What a process is started with to run above the layer; the log is the layer's own."""
    plan = ",".join(f"{f.call}:{f.error}:{f.after}:{f.times}" for f in faults)
    return {
        "LD_PRELOAD": str(library()),
        "FAULTS_LOG": str(log),
        "FAULTS_PORTS": ",".join(map(str, ports)),
        "FAULTS_PLAN": plan,
    }


@dataclass(frozen=True, slots=True)
class Told:
    """What the layer wrote down: calls that failed, and numbers used after their end."""

    faults: tuple[str, ...]
    stale: tuple[str, ...]


def told(log: Path) -> Told:
    lines = log.read_text().splitlines() if log.exists() else []
    unread = [line for line in lines if line.startswith("unread")]
    if unread:
        raise ValueError(f"the layer could not read its plan: {unread}")
    return Told(
        tuple(line for line in lines if line.startswith("fault ")),
        tuple(line for line in lines if line.startswith("stale ")),
    )
