"""A node that speaks ISO 8583 on both sides, in the test's own loop, before stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Coroutine
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from flinthatch import Effect, RequestClass, Settings
from standins.iso8583 import IsoTopup, Way, request_id
from standins.ledger import End, Ledger
from standins.platform import roster, target
from tansywood.iso8583.codec import Codec, Message, response_mti
from tansywood.iso8583.dialect import load
from tansywood.iso8583.framing import Framer, Framing, frame
from tansywood.iso8583.front import IsoServer
from tansywood.iso8583.link import IsoLink, IsoNode
from tansywood.iso8583.mapping import Mapping, Rule
from windrelay.config import Address, Config
from windrelay.discovery import Discovery

MS = 1_000_000
CODEC = Codec(load(Path("tansywood/iso8583/dialects/basic1987.json")))
FRAMING = Framing("binary2", tpdu=True)
MAPPING = Mapping((Rule("balance", "02", "31"), Rule("credit", "02", "91")))
BALANCE = RequestClass("balance", 20_000 * MS, 25_000 * MS, Effect.PURE)
CREDIT = RequestClass("credit", 20_000 * MS, 25_000 * MS, Effect.SIDE_EFFECT, value=5.0)
TPDU = bytes.fromhex("6000010000")


def settings(**over: Any) -> Settings:
    return replace(
        Settings(
            classes=(BALANCE, CREDIT),
            max_attempts=4,
            can_cancel=True,
            max_retry_after=2000 * MS,
            slow_start=0,
        ),
        **over,
    )


def node_config(known: dict[str, object], made: Settings) -> Config:
    nowhere = Address("127.0.0.1", 1)
    return Config(
        name="iso",
        listen=nowhere,
        discovery=nowhere,
        seed=7,
        memory_mb=0,
        max_descriptors=256,
        initial_list=known,
        settings=made,
        zones=("east",),
        kinds=(),
        backend_idle_timeout=15_000 * MS,
        max_open_requests=5000,
        load_reports_enabled=False,
        raw={},
    )


def run(main: Coroutine[Any, Any, None]) -> None:
    """On the loop that the product runs on."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


class Terminal:
    """One connection of a terminal's; answers are found by their number."""

    def __init__(self, port: int, name: str) -> None:
        self.port = port
        self.name = f"{name:8.8}"
        self.stan = 0
        self.framer = Framer(FRAMING)
        self.waiting: dict[tuple[str, str], asyncio.Future[Message]] = {}
        self.answers: list[Message] = []
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                for one in self.framer.feed(data):
                    message = CODEC.decode(one.body)
                    self.answers.append(message)
                    key = (message.mti, str(message.fields[11]))
                    waiting = self.waiting.pop(key, None)
                    if waiting is not None and not waiting.done():
                        waiting.set_result(message)

    def message(self, kind: str = "credit", amount: int = 2500) -> Message:
        self.stan += 1
        return Message(
            "0200",
            {
                2: "4929000011112222",
                3: "910000" if kind == "credit" else "310000",
                4: f"{amount:012d}",
                7: f"{self.stan:010d}",
                11: f"{self.stan:06d}",
                41: self.name,
            },
        )

    def reversal(self, original: Message, mti: str = "0400") -> Message:
        """Of an original of this terminal's, by field 90 (ISO 8583:1987 4.4.30)."""
        self.stan += 1
        elements = f"0200{original.fields[11]!s}{original.fields[7]!s}" + "0" * 22
        fields = {n: v for n, v in original.fields.items() if n in (2, 3, 4, 41)}
        fields |= {7: f"{self.stan:010d}", 11: f"{self.stan:06d}", 90: elements}
        return Message(mti, fields)

    def write(self, message: Message) -> asyncio.Future[Message]:
        assert self.writer is not None
        answered = response_mti(message.mti)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.waiting[answered, str(message.fields[11])] = future
        self.writer.write(frame(FRAMING, CODEC.encode(message), TPDU))
        return future

    async def ask(self, message: Message) -> Message:
        return await asyncio.wait_for(self.write(message), 15)

    async def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        if self.task is not None:
            self.task.cancel()


class World:
    def __init__(self, made: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.ledger = Ledger()
        self.servers: list[IsoTopup] = []
        self.settings = made
        self.logged: list[str] = []
        self.terminals: list[Terminal] = []
        self.port = 0

    async def add(self, ways: dict[Way, float] | None = None) -> IsoTopup:
        server = IsoTopup(
            f"s-{len(self.servers)}", self.ledger, Random(self.rng.random()), CODEC, FRAMING, ways
        )
        await server.start()
        self.servers.append(server)
        return server

    def start(self, **over: Any) -> None:
        """`over` are further arguments of the front's, `link` of the link's."""
        loop = asyncio.get_running_loop()
        known = roster(*(target(s.name, s.port) for s in self.servers))
        self.node = IsoNode(node_config(known, self.settings), loop)
        self.node.budget.set_limit(64 << 20)
        self.node.log = self.logged.append  # type: ignore[method-assign, assignment]
        self.node.discovery = Discovery(
            self.node.config, self.node.apply_member_update, self.node.log
        )
        mapping = over.pop("mapping", MAPPING)
        link = over.pop("link", {})
        self.node.upstream = IsoLink(self.node, CODEC, FRAMING, mapping, **link)
        self.front = IsoServer(self.node, CODEC, FRAMING, mapping, b"secret", **over)
        self.node.start()

    async def terminal(self, name: str = "TERM0001") -> Terminal:
        one = Terminal(self.port, name)
        await one.connect()
        self.terminals.append(one)
        return one

    async def ask(self, terminal: Terminal, message: Message) -> End:
        """One request in the ledger, from its sending to its one answer."""
        rid = request_id(message)
        unsafe = message.fields[3] == "910000"
        self.ledger.asked(rid, "credit" if unsafe else "balance", unsafe)
        answer = await terminal.ask(message)
        code = answer.fields[39]
        end = {"91": End.REFUSED, "68": End.FAILED}.get(str(code), End.SERVED)
        for number in (3, 4, 7, 11, 41):
            assert answer.fields.get(number) == message.fields[number], "another's answer"
        self.ledger.ended(rid, end)
        return end


@contextlib.asynccontextmanager
async def world(
    *ways: dict[Way, float] | None,
    made: Settings | None = None,
    seed: int = 1,
    servers: list[IsoTopup] | None = None,
    **over: Any,
) -> AsyncIterator[World]:
    """With `servers`, those of an earlier world: a node that starts again before them."""
    before = len(os.listdir("/proc/self/fd"))
    w = World(made or settings(), seed)
    for one in ways:
        await w.add(one)
    w.servers += servers or []
    w.start(**over)
    w.port = await w.front.listen(Address("127.0.0.1", 0))
    try:
        yield w
    finally:
        for terminal in w.terminals:
            await terminal.close()
        w.front.close()
        w.node.fail_all()
        w.node.upstream.close()
        for server in w.servers:
            if servers is None:
                server.kill()
        if w.node.loop_timer is not None:
            w.node.loop_timer.cancel()
        await asyncio.sleep(0.02)
        assert not w.node.unexpected_error_count, w.logged
    if servers is None and not over:
        assert len(os.listdir("/proc/self/fd")) <= before + 1
