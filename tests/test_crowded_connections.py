"""Sound clients beside crowds at a node of the least memory: they keep their connections."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from standins.crowds import ClientKind, Crowd, start_sized_servers
from standins.memory import resident_mb
from standins.platform import parts, request, roster, target
from standins.process import NodeProcess

LIMITS = {"memory_mb": 32, "sockets": 1024}
CROWD_SIZE = 500
CROWD_S = 7.0
SOUND_CLIENT_COUNT = 25
REQUESTS_EACH = 42
PAUSE_S = 0.1  # between two requests of a sound client


async def ask_on_one_connection(port: int) -> Counter[str]:
    """Send requests on one connection while it stays open; counts the statuses and the closes."""
    found: Counter[str] = Counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(REQUESTS_EACH):
        writer.write(request("/balance/100", timeout=2000))
        try:
            first, headers = parts((await reader.readuntil(b"\r\n\r\n"))[:-4])
            await reader.readexactly(int(headers["content-length"]))
            found[first.split(" ")[1]] += 1
        except (OSError, asyncio.IncompleteReadError):
            found["closed"] += 1
            break
        await asyncio.sleep(PAUSE_S)
    writer.close()
    return found


@pytest.mark.parametrize(
    "kind", [ClientKind.SLOW_FIELDS, ClientKind.SLOW_BODY], ids=lambda k: k.name
)
def test_sound_clients_keep_their_connections_beside_a_crowd_that_writes_slowly(
    tmp_path: Path, kind: ClientKind
) -> None:
    async def main() -> None:
        servers = await start_sized_servers(20)
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        known = roster(*(target(f"s-{i}", port) for i, port in enumerate(ports)))
        node = NodeProcess(tmp_path, known, 1, limits=LIMITS)
        await asyncio.to_thread(node.start)
        try:
            crowd = asyncio.create_task(Crowd(node.port).run([kind], CROWD_SIZE, CROWD_S))
            await asyncio.sleep(1.0)
            asking = [ask_on_one_connection(node.port) for _ in range(SOUND_CLIENT_COUNT)]
            found = sum(await asyncio.gather(*asking), Counter())
            await crowd
            assert found == {"200": SOUND_CLIENT_COUNT * REQUESTS_EACH}
            assert resident_mb(node.pid, "VmHWM") < LIMITS["memory_mb"]
        finally:
            node.kill()
            for server in servers:
                server.close()

    asyncio.run(main())
