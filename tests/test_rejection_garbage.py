"""A rejected request leaves nothing behind that only the garbage collector frees."""

from __future__ import annotations

import asyncio
import gc
from pathlib import Path

import pytest

from .harness import request, roster, target
from .inside import in_process_node

BODY_BYTES = 60_000
MESSAGES = {
    "not allowed": request("/balance/1", b"x"),
    "unknown class": request("/nowhere/1"),
    "field twice": request("/credit/1", b"x", Host="a").replace(b"Host: a", b"Host: a\r\nHost: b"),
    "head too long": request("/credit/1", b"x", X_Fill="f" * 40_000),
    "no memory": request("/credit/1", b"", Content_Length=str(BODY_BYTES)) + bytes(40_000),
    "no memory, chunked": request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")
    + b"%x\r\n" % BODY_BYTES
    + bytes(40_000),
    "next request": request("/credit/1", b"x") + request("/credit/2", b"x") * 100,
    "no request": b"\0\1\2 nothing\r\n\r\n",
}


@pytest.mark.parametrize("message", MESSAGES.values(), ids=[m.replace(" ", "_") for m in MESSAGES])
def test_rejected_request_is_freed_without_the_garbage_collector(
    tmp_path: Path, message: bytes
) -> None:
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:

        async def reject(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(message)
            assert (await reader.readline()).split()[1] in (b"400", b"404", b"405", b"431", b"503")
            writer.transport.abort()
            await in_process.wait_until(lambda: not in_process.server.connections)

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            in_process.node.budget.set_limit(1000)
            await reject(port)
            gc.collect()
            gc.disable()
            try:
                await reject(port)
                await in_process.run_loop_turns()
                gc.set_debug(gc.DEBUG_SAVEALL)
                gc.collect()
                kept = [found for found in gc.garbage if isinstance(found, BaseException)]
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
            assert not kept

        in_process.run(scenario())
