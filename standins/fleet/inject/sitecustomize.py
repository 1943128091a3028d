"""Loaded by the interpreter itself in every process of an instance that the rig starts (its folder
is on that process's PYTHONPATH): puts the rig's network, clocks and disks behind the program's own
ports, and takes defences out by name. The program has no word of any of it.

    TANSYWOOD_RIG_VIA      host:port of the rig's network
    TANSYWOOD_RIG_CLOCK    rate,offset in seconds
    TANSYWOOD_RIG_DISK     a file: while it is there, what it names happens at each write
    TANSYWOOD_RIG_WITHOUT  names of defences, with commas
"""

from __future__ import annotations

import os
import sys
from importlib.abc import Loader, MetaPathFinder
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

VIA = os.environ.get("TANSYWOOD_RIG_VIA", "")
CLOCK = os.environ.get("TANSYWOOD_RIG_CLOCK", "")
DISK = os.environ.get("TANSYWOOD_RIG_DISK", "")
WITHOUT = frozenset(filter(None, os.environ.get("TANSYWOOD_RIG_WITHOUT", "").split(",")))


def endpoint(module: Any) -> None:
    if VIA:
        import socket

        host, _, port = VIA.rpartition(":")

        def send(self: Any, data: bytes, address: Any) -> None:
            if self.transport is not None:
                head = socket.inet_aton(address[0]) + int(address[1]).to_bytes(2, "big")
                self.transport.sendto(head + data, (host, int(port)))

        module.Endpoint.send = send
    if CLOCK:
        import time

        rate, _, offset = CLOCK.partition(",")
        begin = time.monotonic_ns()

        def now(self: Any) -> int:
            return begin + int((time.monotonic_ns() - begin) * float(rate))

        def real(self: Any, left: int) -> int:
            return time.monotonic_ns() + int(left / float(rate))

        def wall_ms(self: Any) -> int:
            return time.time_ns() // 1_000_000 + int(float(offset or 0) * 1000)

        module.Clock.now, module.Clock.real, module.Clock.wall_ms = now, real, wall_ms


def files(module: Any) -> None:
    if not DISK:
        return
    import errno
    import time

    def failing(method: Any) -> Any:
        def tried(self: Any, *args: Any, **over: Any) -> Any:
            try:
                with open(DISK) as file:
                    what = file.read().strip()
            except OSError:
                what = ""
            if what == "full":
                raise OSError(errno.ENOSPC, "the rig's disk is full")
            if what == "broken":
                raise OSError(errno.EIO, "the rig's disk is broken")
            if what.startswith("slow "):
                time.sleep(float(what[5:]))
            return method(self, *args, **over)

        return tried

    for name in ("append", "sync"):
        setattr(module.RealFile, name, failing(getattr(module.RealFile, name)))


def parts(module: Any) -> None:
    if "start" in WITHOUT:
        module.Allocator.ready = lambda self, key, now: True
    if "confirm" in WITHOUT:

        def confirm(self: Any, now: int, key: str, used: int, version: int) -> bool:
            for held in self._held.get(key, ()):
                held.applied = held.seq
            return True

        module.Holder.confirm = confirm


def limits(module: Any) -> None:
    if "end" in WITHOUT:
        module.Bucket.hold_until = lambda self, until, lapsed: None


def module_parts(module: Any) -> None:
    if "end" in WITHOUT:
        share = module.apply_limits

        def endless(balancer: Any, now: int, places: Any, *args: Any) -> None:
            share(balancer, now, places, module.NEVER, *args[1:])

        module.apply_limits = endless


def module(module: Any) -> None:
    if "given-up" in WITHOUT:
        module.OUTCOMES_MAY_STILL_RUN = ()


PATCHES = {
    "tansywood.service.endpoint": endpoint,
    "tansywood.store.files": files,
    "tansywood.fleet.allocation": parts,
    "tansywood.tenancy.limits": limits,
    "flinthatch.balancer": module,
    "flinthatch.shared_limits": module_parts,
}


class Patched(Loader):
    def __init__(self, loader: Any, patch: Any) -> None:
        self.loader = loader
        self.patch = patch

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        made: ModuleType | None = self.loader.create_module(spec)
        return made

    def exec_module(self, module: ModuleType) -> None:
        self.loader.exec_module(module)
        self.patch(module)


class Finder(MetaPathFinder):
    def find_spec(self, name: str, path: Any, target: Any = None) -> ModuleSpec | None:
        patch = PATCHES.get(name)
        if patch is None:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = Patched(spec.loader, patch)
        return spec


sys.meta_path.insert(0, Finder())
