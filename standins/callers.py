"""Callers: each asks for balances and credits on a connection of its own, and may misbehave."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from enum import StrEnum
from random import Random

from standins.ledger import End, Ledger
from standins.platform import parts, request
from standins.servers import RESET

GRACE_S = 1.0  # past the caller's time, for a loop that is late, before an answer is lost


class Manner(StrEnum):
    """What a caller does with one request."""

    WAIT = "wait"
    RESET = "reset"  # asks and resets without waiting
    RESET_SOON = "reset_soon"  # waits a moment for an answer, then resets
    RESET_UNASKED = "reset_unasked"  # connects and resets
    HALF = "half"  # half a request, then a reset
    END = "end"  # ends its sending, and waits for the answer


class Caller:
    """One connection at a time; connects anew where it breaks."""

    def __init__(
        self,
        name: str,
        port: int,
        ledger: Ledger,
        rng: Random,
        manners: Mapping[Manner, float] | None = None,
        credit_part: float = 0.35,
        timeout_ms: int = 1500,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.port = port
        self.ledger = ledger
        self.rng = rng
        self.manners = manners or {Manner.WAIT: 1.0}
        self.credit_part = credit_part
        self.timeout_ms = timeout_ms
        self.headers = headers  # as of platform.request: a name x_y is sent as X-Y
        self.count = 0
        self.refused_dials = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> bool:
        if self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.refused_dials += 1
                return False
        return True

    def drop(self, hard: bool = False) -> None:
        if self._writer is not None:
            sock = self._writer.get_extra_info("socket")
            if hard and sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                self._writer.transport.abort()
            self._writer.close()
            self._reader = self._writer = None

    async def ask(self, kind: str | None = None) -> End | None:
        """One request, from its sending to its end; None where it could not be sent."""
        manner = self.rng.choices(list(self.manners), list(self.manners.values()))[0]
        if kind is None:
            kind = "credit" if self.rng.random() < self.credit_part else "balance"
        if not await self.connect():
            return None
        assert self._writer is not None
        if manner == Manner.RESET_UNASKED:
            self.drop(hard=True)
            return None
        self.count += 1
        rid = f"{self.name}-{self.count}"
        unsafe = kind == "credit"
        self.ledger.asked(rid, kind, unsafe)
        body = b"x" if unsafe else None
        data = request(
            f"/{kind}/{self.name}", body, timeout=self.timeout_ms, rid=rid, more=self.headers
        )
        try:
            self._writer.write(data[: len(data) // 2] if manner == Manner.HALF else data)
            if manner == Manner.END:
                self._writer.write_eof()
        except OSError:
            return self._end(rid, End.BROKE)
        if manner in (Manner.RESET, Manner.HALF):
            return self._end(rid, End.LEFT)
        patience = self.timeout_ms / 1000 + GRACE_S
        if manner == Manner.RESET_SOON:
            patience = 0.02 * self.rng.random()
        try:
            end = await asyncio.wait_for(self._answer(rid), patience)
        except TimeoutError:
            left = manner == Manner.RESET_SOON
            return self._end(rid, End.LEFT if left else End.SILENT)
        except (OSError, asyncio.IncompleteReadError):
            return self._end(rid, End.BROKE)
        if manner == Manner.END:
            self.drop()
        return end

    def _end(self, rid: str, end: End) -> End:
        self.ledger.ended(rid, end)
        self.drop(hard=True)
        return end

    async def _answer(self, rid: str) -> End:
        assert self._reader is not None
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, headers = parts(head[:-4])
        body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection") == "close":
            self.drop()
        return self.ledger.answered(rid, int(first.split(" ")[1]), body)
