"""Carries out management calls on a running node, and exchanges state with another process of the
same node.

NodeControls joins the node, its server for clients, and the connection to the other process (see
`handover`). The load balancing decisions stay in the Balancer, which is only told of a ban.
"""

from __future__ import annotations

import contextlib
import socket
import time
from typing import Any

from flinthatch import Balancer, Listing
from flinthatch.learned_state import export_learned_state, restore_learned_state
from windrelay.discovery import backend_id
from windrelay.handover import Handover, PeerConnection, SuccessorListener
from windrelay.http_node import HttpNode
from windrelay.management import CallError
from windrelay.node import RESERVED_DESCRIPTORS, RESERVED_MANAGEMENT_DESCRIPTORS
from windrelay.server import Server

SPARE_DESCRIPTORS = 8  # descriptors that a process may still open while it ends


class NodeControls:
    """Implements management.Controls for one node."""

    def __init__(self, node: HttpNode, server: Server) -> None:
        self.node = node
        self.server = server
        self.serving = False
        self.successor_listener: SuccessorListener | None = None
        self.peer: PeerConnection | None = None  # connection to the other process, while two run
        # Whether the process at the other end is this one's successor.
        self.peer_is_successor = False

    # ---- management calls -----------------------------------------------

    def readyz(self) -> None:
        """Raise CallError unless this process serves clients."""
        if not self.serving:
            raise CallError("not serving: it starts or stops")

    def exclude(self, uid: str) -> None:
        """Send a backend no new attempt, at this process and at the other one."""
        backend = self._find_backend(uid)
        self.node.exclude(backend)
        self._forward_call("exclude", backend)

    def include(self, uid: str) -> None:
        """Use an excluded backend again, at this process and at the other one."""
        backend = self._find_backend(uid)
        self.node.include(backend)
        self._forward_call("include", backend)

    def evacuate(self) -> None:
        """Empty the node of clients, at this process and at the other one."""
        self.server.evacuate()
        self._forward_call("evacuate")

    def activate(self) -> None:
        """Accept clients again, at this process and at the other one."""
        self.server.activate()
        self._forward_call("activate")

    def _find_backend(self, uid: str) -> int:
        backend = backend_id(uid)
        if backend not in self.node.discovery.backend_list.remembered_ids:
            raise CallError(f"no backend of this id was ever listed: {uid[:80]}")
        return backend

    def _forward_call(self, *call: object) -> None:
        """Log a call that was carried out here, and forward it to the other process."""
        self.node.log(f"call: {' '.join(map(str, call))}")
        if self.peer is not None:
            self.peer.send({"call": call})

    def _apply_forwarded_call(self, call: Any) -> None:
        """Carry out a call that the other process forwarded."""
        match call:
            case ["exclude", int(backend)]:
                self.node.exclude(backend)
            case ["include", int(backend)]:
                self.node.include(backend)
            case ["evacuate"]:
                self.server.evacuate()
            case ["activate"]:
                self.server.activate()

    # ---- exchange with the other process --------------------------------

    def export_state(self) -> tuple[socket.socket, dict[str, Any]]:
        """Return the listener and the state for a successor. Raises OSError where there is no
        listener."""
        listener = self.server.listener
        if listener is None:
            raise OSError("the running process is stopping")
        node = self.node
        now = time.monotonic_ns()
        backend_list = node.discovery.backend_list
        return listener, {
            "format": 1,
            "held": self._descriptors_in_use(),
            "bans": list(node.balancer.banned),
            "evacuated": self.server.evacuated,
            "unsafe_requests": [key.hex() for key in node.request_ids.unsafe_keys()],
            "list": backend_list.export(),
            "learnt": export_learned_state(
                node.balancer, now, now + backend_list.wall_clock_offset_ns
            ),
        }

    def import_state(self, state: dict[str, Any]) -> None:
        """Adopt the state that the running process handed over; called before the node starts."""
        node = self.node
        if state.get("evacuated") is True:
            self.server.evacuate()
        bans = state.get("bans")
        for backend in bans if isinstance(bans, list) else ():
            if isinstance(backend, int):
                node.balancer.banned.add(backend)
        self._apply_peer_descriptors(state.get("held"))
        self._remember_unsafe_requests(state.get("unsafe_requests"))

        def initial_listings() -> list[Listing]:
            try:
                return node.discovery.backend_list.adopt(state.get("list"))
            except ValueError as err:
                node.log(f"the list of the running process is not used: {err}")
                return node.discovery.load_known_list(node.config.initial_list)

        def restore_state(balancer: Balancer, now: int) -> None:
            offset = node.discovery.backend_list.wall_clock_offset_ns
            restore_learned_state(balancer, now, now + offset, state.get("learnt"))

        node.initial_listings = initial_listings  # type: ignore[method-assign]
        node.restore_state = restore_state

    async def take_over(self, path: str, handover: Handover | None) -> None:
        """Take the place of the process that handed over, if any; then wait for a successor."""
        node = self.node
        if handover is not None:
            peer = PeerConnection(self._on_peer_message, self._on_peer_closed)
            self._set_peer(peer)
            await node.loop.connect_accepted_socket(lambda: peer, handover.connection)
            if handover.trailing_bytes:
                peer.data_received(handover.trailing_bytes)
            peer.send({"serving": True})
        self.successor_listener = SuccessorListener(
            node.loop,
            path,
            self.export_state,
            self._on_successor_connected,
            self._on_peer_message,
            self._on_peer_closed,
            node.log,
        )
        self._listen_for_successor()

    def _listen_for_successor(self) -> None:
        assert self.successor_listener is not None
        try:
            self.successor_listener.listen()
        except OSError as err:
            self.node.log(f"no successor can take over, listening for one failed: {err}")

    def _on_successor_connected(self, peer: PeerConnection) -> None:
        self._set_peer(peer)
        self.peer_is_successor = True

    def _on_peer_message(self, message: dict[str, Any]) -> None:
        """Act on a message of the other process."""
        if message.get("serving") is True and self.peer_is_successor:
            self.node.log("a successor takes the clients")
            self.server.hand_over()
            self._shrink_limits()
        if "held" in message and not self.peer_is_successor:
            self._apply_peer_descriptors(message["held"])
        self._remember_unsafe_requests(message.get("unsafe_requests"))
        if "call" in message:
            self._apply_forwarded_call(message["call"])

    def _on_peer_closed(self) -> None:
        """Continue alone: the other process has ended."""
        self._set_peer(None)
        self.node.share_limits(0)
        if self.peer_is_successor:
            self.peer_is_successor = False
            if not self.server.stopping:
                self.node.log("the successor has ended")
                self.server.undo_hand_over()
                self._listen_for_successor()

    def _set_peer(self, peer: PeerConnection | None) -> None:
        """Exchange state with another process from now on, or with none.

        A client that leaves one process may come to the other with the same request.
        """
        self.peer = peer
        self.node.on_unsafe_request = (
            (lambda key: peer.send({"unsafe_requests": [key.hex()]}))
            if peer is not None
            else lambda _key: None
        )

    def _remember_unsafe_requests(self, keys: Any) -> None:
        """Remember requests that the other process has taken and that may not be repeated."""
        if isinstance(keys, list):
            # A list that holds anything else comes from a version that this one does not know.
            with contextlib.suppress(ValueError, TypeError):
                known = [bytes.fromhex(key) for key in keys]
                self.node.request_ids.add_unsafe(time.monotonic_ns(), known)

    def _descriptors_in_use(self) -> int:
        """Return how many descriptors this process needs, with a reserve."""
        node = self.node
        return (
            node.client_count
            + node.upstream.descriptor_count
            + RESERVED_DESCRIPTORS
            + RESERVED_MANAGEMENT_DESCRIPTORS
            + SPARE_DESCRIPTORS
        )

    def _apply_peer_descriptors(self, descriptors: object) -> None:
        if isinstance(descriptors, int):
            self.node.share_limits(descriptors)

    def _shrink_limits(self) -> None:
        """Limit this process to the connections that it holds now, and leave the rest to its
        successor."""
        node = self.node
        # A count of 1 halves the memory limit; the next statement limits the descriptors.
        node.share_limits(1)
        node.max_connections = (
            node.client_count + node.upstream.descriptor_count + SPARE_DESCRIPTORS
        )
        if self.peer is not None:
            self.peer.send({"held": self._descriptors_in_use()})

    def sweep(self) -> None:
        """Lower this process's limit while its successor serves; called at each sweep."""
        if self.peer is not None and self.peer_is_successor:
            self._shrink_limits()
