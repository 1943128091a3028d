"""Top-up servers that count what is at work in them at any moment."""

from __future__ import annotations

import asyncio
from random import Random
from typing import cast

from standins.ledger import Ledger
from standins.servers import Behaviour, Connection, Reply, TopupServer


class PlacedConnection(Connection):
    """Its request holds a place from its last byte to the end of its work, whatever becomes of
    the connection meanwhile: servers seldom stop for a caller that has gone."""

    @property
    def places(self) -> PlacedServer:
        return cast(PlacedServer, self.server)

    def requested(self, path: str, rid: str) -> None:
        self.places.enter()
        before = self.server.runs
        super().requested(path, rid)
        if before == self.server.runs:
            self.places.leave()  # answered at once, or never begun

    def done(self, reply: Reply, rid: str) -> None:
        super().done(reply, rid)
        self.places.leave()


class PlacedServer(TopupServer):
    """One server with `places`; more than that at a time is counted, never turned away."""

    def __init__(
        self, name: str, ledger: Ledger, rng: Random, places: int, behaviour: Behaviour
    ) -> None:
        super().__init__(name, ledger, rng, behaviour)
        self.places = places
        self.at_work = 0
        self.most = 0
        self.over = 0  # requests that found all places taken

    async def start(self) -> None:
        listener = await asyncio.get_running_loop().create_server(
            lambda: PlacedConnection(self), "127.0.0.1", self.port
        )
        self._listener = listener
        self.port = int(listener.sockets[0].getsockname()[1])

    def enter(self) -> None:
        self.at_work += 1
        self.most = max(self.most, self.at_work)
        self.over += self.at_work > self.places > 0

    def leave(self) -> None:
        self.at_work -= 1
