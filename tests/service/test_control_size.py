"""What a node's control processes load: no library that they don't use, so that they stay small.

Each is looked at in a process of its own, by the packages outside of the standard library and by
the rooms of this project that it has loaded once its module is there.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.service import ServiceProcess

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = """
import importlib, json, sys
importlib.import_module(sys.argv[1])
print(json.dumps(sorted(sys.modules)))
"""
# What the message and the sealing library load themselves is not named: it differs by platform.
THIRD_PARTY = {
    "attr", "cryptography", "google_crc32c", "h11", "httptools", "jsonschema", "msgspec",
    "referencing", "rpds", "starlette", "uvicorn", "uvloop",
}  # fmt: skip
LOADS = {
    "tansywood.service.supervisor": set[str](),
    "tansywood.service.agent": {"cryptography", "msgspec"},
    "tansywood.service.fleet": {"cryptography", "msgspec"},
}
# Rooms with state on a disk, and the checks of documents: their work is others'.
NOT_IN_CONTROL = ("tansywood.store", "tansywood.lease", "tansywood.tenancy.checks")


def loaded(module: str) -> set[str]:
    """All modules that are there once this one is."""
    words = [sys.executable, "-c", PROGRAM, module]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True)
    return set(json.loads(done.stdout))


@pytest.mark.parametrize("module", LOADS)
def test_a_control_process_loads_no_library_that_it_does_not_use(module: str) -> None:
    packages = {name.partition(".")[0] for name in loaded(module)}
    assert packages & THIRD_PARTY == LOADS[module]


@pytest.mark.parametrize("module", LOADS)
def test_a_control_process_loads_no_store_no_leases_and_no_checks(module: str) -> None:
    names = loaded(module)
    assert [name for name in NOT_IN_CONTROL if name in names] == []


LEAN = """
import sys
from tansywood.service.lean import load_messages
load_messages()
from tansywood.fleet.messages import Carried, Envelope, pack, unpack
assert "typing_extensions" not in sys.modules
envelope = Envelope("a", "127.0.0.1:1", b"", Carried(b"words"))
assert unpack(pack(envelope)) == envelope
import typing_extensions, jsonschema
load_messages()
assert "typing_extensions" in sys.modules
"""


def test_messages_are_read_and_written_without_what_takes_their_library_s_memory() -> None:
    done = subprocess.run([sys.executable, "-c", LEAN], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr


def test_a_part_that_is_started_lean_is_told_its_own_words() -> None:
    words = [sys.executable, "-m", "tansywood.service.lean", "tansywood.service.fleet", "--help"]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0 and done.stdout.startswith("usage: tansywood.service.fleet")


def test_the_supervisor_is_the_started_process_without_what_read_its_settings(
    tmp_path: Path,
) -> None:
    service = ServiceProcess(tmp_path, workers=1)
    service.start()
    try:
        assert service.process is not None
        pid = service.process.pid
        words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
        assert b"tansywood.service.supervisor" in words
        mapped = Path(f"/proc/{pid}/maps").read_text()
        assert [name for name in ("rpds", "msgspec", "uvloop") if f"/{name}/" in mapped] == []
        # What it was told lies in a file that nobody else has, and that it has closed.
        opened = [os.readlink(row) for row in Path(f"/proc/{pid}/fd").iterdir()]
        assert [name for name in opened if "(deleted)" in name] == []
        os.kill(pid, signal.SIGTERM)
        assert service.process.wait(30) == 0
    finally:
        service.kill()
