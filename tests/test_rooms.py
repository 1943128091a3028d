"""Who may import whom: arrows run down only, and the platform node loads nothing of the service."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# A room, and the rooms of this project it may import.
MAY = {
    "flinthatch": {"flinthatch"},
    "windrelay": {"windrelay", "flinthatch"},
    "tansywood/store": {"tansywood.store"},
    # A tenant's dialect is in its settings: the pure modules that check it.
    "tansywood/tenancy": {
        "tansywood.tenancy",
        "tansywood.iso8583.dialect",
        "tansywood.iso8583.framing",
    },
    "tansywood/iso8583": {"tansywood.iso8583", "windrelay", "flinthatch"},
    "tansywood/admin": {
        "tansywood.admin",
        "tansywood.tenancy",
        "tansywood.store",
        # As the publisher it is a source for distributors.
        "tansywood.distribution",
        "tansywood.fleet.keyfile",
        # The service's port: frames, counters, a process's place in it.
        "tansywood.service.part",
        "tansywood.service.report",
        "tansywood.service.wire",
    },
    "tansywood/fleet": {"tansywood.fleet", "tansywood.tenancy"},
    # Sealed as the fleet's datagrams are.
    "tansywood/distribution": {
        "tansywood.distribution",
        "tansywood.tenancy",
        "tansywood.fleet.keyfile",
        "tansywood.fleet.messages",
        "tansywood.fleet.seal",
        "windrelay.config",
    },
    "tansywood/lease": {"tansywood.lease", "tansywood.fleet", "tansywood.store"},
    "tansywood/verify": {"tansywood.verify", "tansywood.lease"},
    "tansywood/service": {"tansywood", "windrelay", "flinthatch"},
    "standins": {"standins", "tansywood.iso8583"},  # its pure codec
    # Many instances on one clock: what it plays are the pure rules themselves.
    "standins/fleet": {"standins", "tansywood.fleet", "tansywood.lease"},
    # Many nodes on one clock: what it plays is the pure decision module itself.
    "standins/mass": {"standins.mass", "flinthatch"},
    # Thousands of hollow nodes: what they run is the product's distribution, and what they follow
    # is the administration as its process runs it, over a store that is filled and read here.
    "standins/scale": {
        "standins",
        "tansywood.admin.__main__",
        "tansywood.distribution",
        "tansywood.fleet.keyfile",
        "tansywood.store",
        "tansywood.tenancy",
        "windrelay.config",
    },
    # What each role costs: every package is measured.
    "benchmarks/scale": {"benchmarks", "standins", "tansywood", "windrelay", "flinthatch"},
    "benchmarks": {
        "benchmarks",
        "flinthatch",
        "standins",
        "tansywood.fleet",
        "tansywood.lease",
        "tansywood.store",
        "tansywood.iso8583",
        "tansywood.verify",
        "windrelay",
    },
}
OURS = ("flinthatch", "windrelay", "tansywood", "standins", "benchmarks", "tests")


def test_arrows_run_down_only() -> None:
    for room, may in MAY.items():
        deeper = [ROOT / other for other in MAY if other.startswith(room + "/")]
        for file in sorted((ROOT / room).rglob("*.py")):
            if any(folder in file.parents for folder in deeper):
                continue  # a room of its own
            for node in ast.walk(ast.parse(file.read_text())):
                if isinstance(node, ast.ImportFrom):
                    names = [node.module or ""]
                elif isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                else:
                    continue
                for name in names:
                    if name.split(".")[0] in OURS:
                        assert any(name == m or name.startswith(m + ".") for m in may), (file, name)


def test_the_platform_node_loads_nothing_of_the_service() -> None:
    program = (
        "import runpy, sys\n"
        "import windrelay.__main__, flinthatch.simulator_adapter\n"
        "print([m for m in sys.modules if m.split('.')[0] in"
        " ('tansywood', 'standins', 'google_crc32c', 'msgspec') or m in"
        " ('jsonschema', 'starlette', 'uvicorn')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert done.stdout.strip() == "[]"
