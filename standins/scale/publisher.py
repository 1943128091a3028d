"""A process: the registry of all tenants and the source above all distributors.

    python -m standins.scale.publisher FOLDER --nodes N ...

Changes are commands that the registry checks and applies as it does behind the API; only the
store is left out. What was committed is written to FOLDER/committed, in the end what there is to
FOLDER/published.
"""

from __future__ import annotations

import argparse
import gc
import json
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from standins.scale.control import Command, serve
from standins.scale.plan import ChangeKind, Size, host_of, tenant_of, uid_of
from standins.scale.records import Committed, Published
from standins.scale.sizes import FLEET, add_size, read_size
from tansywood.distribution.messages import Epoch, Hello, Message, Rollouts
from tansywood.distribution.replica import Replica
from tansywood.distribution.resources import encode
from tansywood.distribution.rollout import RolloutBoard
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Session, Source
from tansywood.distribution.terms import MS, Terms
from tansywood.fleet.keyfile import KeyFile
from tansywood.tenancy.registry import Actor, Change, Registry, Tenant
from tansywood.tenancy.settings import ACTIVE, server_uid
from windrelay.config import Address

OPERATOR = "rigoperator1"


def document(tenant: int, random: Random) -> dict[str, Any]:
    """A small tenant's document: one host, two classes, three to six servers, limits."""
    servers = [
        {"name": f"s{n}", "address": f"10.{tenant >> 16}.{tenant >> 8 & 255}.{tenant & 255}:{n}"}
        for n in range(8001, 8001 + random.randint(3, 6))
    ]
    return {
        "name": uid_of(tenant),
        "callers": {"hosts": [host_of(tenant)], "key_required": False},
        "classes": [
            {"name": "balance", "aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"},
            {
                "name": "credit",
                "aim_ms": 1000,
                "deadline_ms": 3000,
                "repeat": "never",
                "worth": 5.0,
            },
        ],
        "servers": servers,
        "limits": {"rate_per_s": 100.0, "burst": 50, "open": 100},
    }


def records(tenants: int, seed: int) -> Iterator[tuple[bytes, bytes]]:
    """All tenants as a store would hold them."""
    random = Random(f"documents {seed}")
    for number in range(tenants):
        made = document(number, random)
        since = {server_uid(server): 1 for server in made["servers"]}
        uid = uid_of(number)
        tenant = Tenant(uid, made["name"], ACTIVE, 1, number + 1, made, since, 1, 1)
        yield f"tenant/{uid}".encode(), json.dumps(tenant.record()).encode()
    yield b"meta/seq", str(tenants).encode()


class Publisher:
    """The registry, and what distributors are told of it."""

    def __init__(self, folder: Path, size: Size, seed: int, terms: Terms) -> None:
        self._folder = folder
        self._committed = (folder / "committed").open("wb")
        self.registry = Registry.load(records(size.tenants, seed))
        now_ms = time.time_ns() // 1_000_000
        self.replica = Replica(terms.window, Epoch(now_ms, b"rig"), self.registry.seq)
        self.replica.load(
            encode(uid, tenant.seq, self.registry.view(uid))
            for uid, tenant in self.registry.tenants.items()
        )
        self.board = RolloutBoard()
        self.source = Source(self.replica, terms, time.monotonic_ns(), is_publisher=True)
        keys = KeyFile(folder / "fleet.key")
        self.server = SourceServer(self.source, keys, FLEET, self._overheard, self._closed)

    async def perform(self, command: Command) -> Command:
        if command["do"] == "change":
            self._change(command["tenant"], ChangeKind(command["kind"]))
        elif command["do"] == "counters":
            return self._counters()
        elif command["do"] == "finish":
            self._write_published()
        return {"revision": self.replica.revision}

    def _change(self, number: int, kind: ChangeKind) -> None:
        tenant = self.registry.tenants.get(uid_of(number))
        if tenant is None:
            raise RuntimeError(f"tenant {number} is not there: the plan should not change it")
        actor = Actor(OPERATOR, "operator", "", time.time_ns() // 1_000_000)
        if kind is ChangeKind.DELETE:
            self._commit(self.registry.delete(actor, tenant, "*"))
            return
        limits = tenant.document["limits"] | {"rate_per_s": 100.0 + tenant.version}
        changed = tenant.document | {"limits": limits}
        self._commit(self.registry.change(actor, tenant, changed, "*"))

    def _commit(self, change: Change) -> None:
        at = time.monotonic_ns()
        self.registry.apply(change)
        resource = encode(change.uid, change.seq, self.registry.view(change.uid))
        self.replica.commit(resource)
        self.source.changed(change.uid, change.seq, at)
        self.server.pump()
        deleted = change.uid not in self.registry.tenants
        row = Committed(at, tenant_of(change.uid), change.seq, deleted)
        self._committed.write(row.pack())

    def _overheard(self, session: Session, message: Message) -> None:
        if isinstance(message, Rollouts):
            self.board.report(session.name, message.rows, message.revision)
            for name, left in self.board.joined(session.name, message.joined).items():
                self.source.tell_moved(name, left)
        elif isinstance(message, Hello):
            self.board.connected(session.name)

    def _closed(self, session: Session) -> None:
        self.board.disconnected(session.name)

    def _counters(self) -> Command:
        bytes_in, bytes_out = self.server.totals()
        standstill, self.server.longest_standstill = self.server.longest_standstill, 0
        return {
            "messages_in": self.source.messages_in,
            "messages_out": self.source.messages_out,
            "bytes_in": bytes_in,
            "bytes_out": bytes_out,
            "processor_s": time.process_time(),
            "standstill_ms": standstill // MS,
        }

    def _write_published(self) -> None:
        self._committed.flush()
        with (self._folder / "published").open("wb") as file:
            for uid, entry in self.replica.entries.items():
                file.write(Published(tenant_of(uid), entry.revision, entry.digest).pack())


async def _main(folder: Path, size: Size, seed: int) -> None:
    publisher = Publisher(folder, size, seed, Terms())
    gc.freeze()  # all tenants stay: collections need not look at them again and again
    address = await publisher.server.start(Address("127.0.0.1", 0))
    await serve({"address": f"{address.host}:{address.port}"}, publisher.perform)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m standins.scale.publisher")
    parser.add_argument("folder", type=Path)
    add_size(parser)
    options = parser.parse_args()
    uvloop.run(_main(options.folder, read_size(options), options.seed))


if __name__ == "__main__":
    main()
