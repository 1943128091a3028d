"""What the operators' calls do to a running node, and what of it a successor gets.

Joins the node, its server of clients and the line to a process of the same node (see
`succession`). The decisions stay in the module: a ban is a word to it.
"""

from __future__ import annotations

import socket
import time
from typing import Any

from flinthatch import Balancer, Listing
from flinthatch.learned_state import export_learned_state, restore_learned_state
from windrelay.discovery import backend_id
from windrelay.handover import Estate, Line, Waiting
from windrelay.http_node import HttpNode
from windrelay.management import CallError
from windrelay.node import RESERVED_DESCRIPTORS, RESERVED_MGMT
from windrelay.server import Server

SLACK = 8  # descriptors that a process in its last seconds may still open


class Operated:
    """Implements management.Controls for one node."""

    def __init__(self, node: HttpNode, server: Server) -> None:
        self.node = node
        self.server = server
        self.serving = False
        self.waiting: Waiting | None = None
        self.line: Line | None = None  # to the other process, while there are two
        self.older = False  # whether it is our successor that is at its other end

    # ---- calls ----------------------------------------------------------

    def readyz(self) -> None:
        if not self.serving:
            raise CallError("not serving: it starts or stops")

    def exclude(self, uid: str) -> None:
        backend = self._listed(uid)
        self.node.exclude(backend)
        self._pass_on("exclude", backend)

    def include(self, uid: str) -> None:
        backend = self._listed(uid)
        self.node.include(backend)
        self._pass_on("include", backend)

    def evacuate(self) -> None:
        self.server.evacuate()
        self._pass_on("evacuate")

    def activate(self) -> None:
        self.server.activate()
        self._pass_on("activate")

    def _listed(self, uid: str) -> int:
        backend = backend_id(uid)
        if backend not in self.node.discovery.backend_list.seen:
            raise CallError(f"no backend of this id was ever listed: {uid[:80]}")
        return backend

    def _pass_on(self, *call: object) -> None:
        self.node.log(f"call: {' '.join(map(str, call))}")
        if self.line is not None:
            self.line.tell({"call": call})

    def _passed_on(self, call: Any) -> None:
        """What the other process was told."""
        match call:
            case ["exclude", int(backend)]:
                self.node.exclude(backend)
            case ["include", int(backend)]:
                self.node.include(backend)
            case ["evacuate"]:
                self.server.evacuate()
            case ["activate"]:
                self.server.activate()

    # ---- two processes --------------------------------------------------

    def bequeath(self) -> tuple[socket.socket, dict[str, Any]]:
        """What a successor gets; OSError where there is no listener to hand over."""
        listener = self.server.listener
        if listener is None:
            raise OSError("it stops")
        node = self.node
        now = time.monotonic_ns()
        backend_list = node.discovery.backend_list
        return listener, {
            "format": 1,
            "held": self._held(),
            "bans": list(node.balancer.banned),
            "evacuated": self.server.evacuated,
            "list": backend_list.export(),
            "learnt": export_learned_state(
                node.balancer, now, now + backend_list.wall_clock_offset_ns
            ),
        }

    def inherit(self, state: dict[str, Any]) -> None:
        """Begin from what the running process has handed over, before the node starts."""
        node = self.node
        if state.get("evacuated") is True:
            self.server.evacuate()
        bans = state.get("bans")
        for backend in bans if isinstance(bans, list) else ():
            if isinstance(backend, int):
                node.balancer.banned.add(backend)
        self._shares(state.get("held"))

        def known() -> list[Listing]:
            try:
                return node.discovery.backend_list.adopt(state.get("list"))
            except ValueError as err:
                node.log(f"the list of the running process is not used: {err}")
                return node.discovery.load_known_list(node.config.initial_list)

        def recall(balancer: Balancer, now: int) -> None:
            clock = node.discovery.backend_list.wall_clock_offset_ns
            restore_learned_state(balancer, now, now + clock, state.get("learnt"))

        node.known = known  # type: ignore[method-assign]
        node.restore_state = recall

    async def succeed(self, path: str, estate: Estate | None) -> None:
        """Take the place of whoever handed over, if anyone did; then wait for a successor."""
        node = self.node
        if estate is not None:
            self.line = line = Line(self._heard, self._alone)
            await node.loop.connect_accepted_socket(lambda: line, estate.line)
            if estate.rest:
                line.data_received(estate.rest)
            line.tell({"serving": True})
        self.waiting = Waiting(
            node.loop, path, self.bequeath, self._begun, self._heard, self._alone, node.log
        )
        self._wait()

    def _wait(self) -> None:
        assert self.waiting is not None
        try:
            self.waiting.listen()
        except OSError as err:
            self.node.log(f"no successor can take over: {err}")

    def _begun(self, line: Line) -> None:
        self.line = line
        self.older = True

    def _heard(self, word: dict[str, Any]) -> None:
        if word.get("serving") is True and self.older:
            self.node.log("a successor takes the clients")
            self.server.hand_over()
            self._shrink()
        if "held" in word and not self.older:
            self._shares(word["held"])
        if "call" in word:
            self._passed_on(word["call"])

    def _alone(self) -> None:
        """The other process has ended."""
        self.line = None
        self.node.share(0)
        if self.older:
            self.older = False
            if not self.server.stopping:
                self.node.log("the successor has ended")
                self.server.undo_hand_over()
                self._wait()

    def _held(self) -> int:
        node = self.node
        return (
            node.client_count
            + node.upstream.descriptor_count
            + RESERVED_DESCRIPTORS
            + RESERVED_MGMT
            + SLACK
        )

    def _shares(self, held: object) -> None:
        if isinstance(held, int):
            self.node.share(held)

    def _shrink(self) -> None:
        """Hold no more than now, and let the successor have the rest."""
        node = self.node
        node.share(1)  # that there is another counts for the bytes; descriptors are as follows
        node.max_connections = node.client_count + node.upstream.descriptor_count + SLACK
        if self.line is not None:
            self.line.tell({"held": self._held()})

    def sweep(self) -> None:
        if self.line is not None and self.older:
            self._shrink()
