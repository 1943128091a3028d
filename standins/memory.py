"""What memory a process has, as the kernel counts it (proc(5), smaps_rollup)."""

from __future__ import annotations

import re
from pathlib import Path


def private_bytes(pid: int | str = "self") -> int:
    """What a process has for itself alone."""
    return sum(_kibibytes(pid, "Private_")) * 1024


def proportional_bytes(pid: int | str = "self") -> int:
    """Shared pages counted by their sharers (Pss), so that processes can be added up."""
    return sum(_kibibytes(pid, "Pss:")) * 1024


def resident_mb(pid: int | str = "self", field: str = "VmRSS") -> float:
    """Resident memory now ("VmRSS"), or at its peak ("VmHWM"); see proc(5), status."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.findall(rf"{field}:\s+(\d+)", status)[0]) / 1024


def _kibibytes(pid: int | str, field: str) -> list[int]:
    rows = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return [int(row.split()[1]) for row in rows if row.startswith(field)]
