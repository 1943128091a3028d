"""The distributor process: its command line, its counters file, its key file and its end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

import pytest

from standins.process import ROOT
from tansywood.distribution.distributor import parse_arguments, split_report
from tansywood.distribution.messages import Epoch, Kind, Resource, Rollout, Rollouts
from tansywood.distribution.parameters import Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from tansywood.fleet.keyfile import KeyFile
from tansywood.fleet.seal import KeyFileError
from windrelay.config import Address

TEST_TIMEOUT_S = 20  # only guards against a hang


def write_key_file(folder: Path, byte: int = 7) -> Path:
    path = folder / "fleet.key"
    path.write_text(bytes([byte] * 32).hex() + "\n")
    path.chmod(0o600)
    return path


def test_a_distributor_process_follows_the_publisher_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        keys = KeyFile(write_key_file(tmp_path))
        replica = Replica(100, Epoch(1, b"a"))
        source = Source(replica, Parameters(), time.monotonic_ns(), is_publisher=True)
        server = SourceServer(source, keys, "fleet")
        for number in range(1, 4):
            replica.commit(Resource(f"t{number}", number, Kind.CONTENT, b"body", []))
        listening = await server.start(Address("127.0.0.1", 0))
        counters = tmp_path / "counters.json"
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tansywood.distribution.distributor"),
            *("d1", "127.0.0.1:0", "fleet", str(tmp_path / "fleet.key")),
            *("--publisher", f"{listening.host}:{listening.port}", "--counters", str(counters)),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert process.stderr is not None
                first = await process.stderr.readline()
                assert first.startswith(b"distributor d1: listening at 127.0.0.1:")
                assert await process.stderr.readline() == b"distributor d1: ready\n"
                while not counters.exists():
                    await asyncio.sleep(0.02)
                values = json.loads(counters.read_text())
                assert (values["entries"], values["revision"], values["serving"]) == (3, 3, True)
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            server.stop()

    asyncio.run(main())


def test_a_long_report_is_split_into_messages_within_the_bounds_of_the_protocol() -> None:
    rows = [Rollout(f"t{n}", n, 1, 0) for n in range(2_500)]
    names = [f"node-{n}" for n in range(5_000)]
    messages = list(split_report(Rollouts(rows, names)))
    assert [len(message.rows) for message in messages] == [1024, 1024, 452]
    assert [row for message in messages for row in message.rows] == rows
    assert [name for message in messages for name in message.joined] == names


def test_a_changed_key_file_is_reloaded_and_an_invalid_one_is_logged_once_and_ignored(
    tmp_path: Path,
) -> None:
    logged: list[str] = []
    path = write_key_file(tmp_path)
    keys = KeyFile(path, logged.append)
    assert keys() == [bytes([7] * 32)]
    write_key_file(tmp_path, 8)
    os.utime(path, ns=(1, 1))
    assert keys() == [bytes([8] * 32)]
    path.write_text("no key\n")
    os.utime(path, ns=(2, 2))
    assert keys() == [bytes([8] * 32)]
    assert len(logged) == 1
    assert keys() == [bytes([8] * 32)]
    assert len(logged) == 1
    with pytest.raises(KeyFileError):
        KeyFile(path)


def test_an_invalid_or_missing_publisher_address_is_refused_at_the_start(tmp_path: Path) -> None:
    arguments = ["d1", "127.0.0.1:0", "fleet", str(tmp_path / "key")]
    with pytest.raises(SystemExit):
        parse_arguments([*arguments, "--publisher", "nowhere"])
    with pytest.raises(SystemExit):
        parse_arguments(arguments)
