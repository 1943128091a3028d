"""The log says for which request a connection to a backend was last used, and why it closed."""

from __future__ import annotations

import re
from pathlib import Path

from .harness import answer, request
from .race_harness import RaceHarness, race_harness, run_scenario

UNSOLICITED = (
    r"backend \d+: 39 bytes on a connection idle for \d+ ms, beginning b'HTTP/1.1 200', "
    r"last used for request r-log"
)


async def send_bytes_while_idle(harness: RaceHarness) -> None:
    client = harness.connect_client(request(rid="r-log"))
    backend = await harness.accept_backend()
    await backend.message()
    backend.send(answer(b"1"))
    assert await client.status() == 200
    backend.send(answer(b"2"))
    assert await backend.read_to_end() == b""
    harness.node.sweep()


def test_log_names_the_request_that_preceded_bytes_on_an_idle_connection(tmp_path: Path) -> None:
    with race_harness(tmp_path) as harness:
        run_scenario(harness, send_bytes_while_idle(harness))
        lines = harness.in_process.log_lines
        assert [line for line in lines if re.fullmatch(UNSOLICITED, line)], lines
        assert "connections: 1 closed, bytes while idle; 1 dialed" in lines
