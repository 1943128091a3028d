"""`python -m tansywood check FILE`: every fault of a file, a line each with its place."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from tansywood.service.settings import SettingsError, load
from tansywood.tenancy.checks import faults
from tansywood.tenancy.fault import Fault


def found_in(path: str) -> list[Fault]:
    """The faults of a service's file (.toml) or a tenant's document (.json)."""
    if path.endswith(".toml"):
        try:
            load(path)
        except SettingsError as err:
            return err.faults
        return []
    try:
        return faults(json.loads(Path(path).read_bytes()))
    except OSError as err:
        return [Fault("", f"can't be read: {err.strerror}")]
    except (ValueError, RecursionError) as err:
        return [Fault("", f"is no JSON: {err}")]


def main(path: str) -> int:
    """0 where nothing is wrong, 1 where something is."""
    found = found_in(path)
    for fault in found:
        print(f"{path}: {fault}")
    print(f"{path}: {len(found)} faults" if found else f"{path}: nothing wrong", file=sys.stderr)
    return 1 if found else 0
