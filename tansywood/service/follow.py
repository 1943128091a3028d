"""The traffic side's end of the feed: all tenants at first, then each change, in order.

Where the administration is away everything goes on as it was last told, and it is asked again
until it is back; then all tenants come anew, so nothing that happened meanwhile is missed.

On a node that holds only what it serves the feed is the agent's, and partial: a tenant that it does
not name at first is kept, and the agent is told of it (an agent that was started again knows
nothing). Such a tenant goes when its deletion is told, or when the agent asks for its release. A
state that can't be taken over is refused to the agent, and the one before it stays in force.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Callable
from typing import Any

from tansywood.service.wire import WireError, frame, read_frame

AGAIN_S = 0.05
REASON_MOST = 200  # characters of a refusal's reason

Changed = Callable[[str, dict[str, Any] | None], None]


class Follower:
    """Keeps `views` true; tells `changed` of each tenant that is another than before."""

    def __init__(
        self,
        path: str,
        name: str,
        changed: Changed,
        give_up: Callable[[str], bool] | None = None,
        fed: Callable[[], None] = lambda: None,
        told: Callable[[dict[str, Any]], None] = lambda _message: None,
    ) -> None:
        """`give_up` lets go of a tenant, or says False where it is in use; without one it is as
        if the tenant were deleted. `fed` is called when a feed has told all at first, `told` with
        what an agent says besides."""
        self.path = path
        self.name = name
        self.views: dict[str, dict[str, Any]] = {}
        self.seq = -1
        self.partial = False  # whether the feed is an agent's
        self.ready = asyncio.Event()  # told of all tenants once
        self._changed = changed
        self._give_up = give_up
        self._fed = fed
        self._told = told
        self.links = 0  # to an administration, over time: a new one knows nothing of before
        self._writer: asyncio.StreamWriter | None = None

    @property
    def linked(self) -> bool:
        """Whether what is told would reach somebody."""
        return self._writer is not None and not self._writer.is_closing()

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, WireError):
                await self._follow()
            self._writer = None
            await asyncio.sleep(AGAIN_S)

    async def _follow(self) -> None:
        reader, writer = await asyncio.open_unix_connection(self.path)
        try:
            hello: dict[str, Any] = {"hello": self.name}
            if self.partial:
                hello |= {"held": list(self.views), "seq": self.seq}
            writer.write(frame(hello))
            self._writer = writer
            self.links += 1
            while True:
                message = await read_frame(reader)
                if "seq" not in message:
                    self._take_request(message)
                    continue
                if "all" in message:
                    self.partial = message.get("partial", False)
                    self._take_all(message["all"])
                    self._fed()
                else:
                    self._take(message["uid"], message["view"])
                self.seq = message["seq"]
                self.ready.set()
                writer.write(frame({"applied": self.seq}))
        finally:
            writer.close()

    def _take_all(self, views: dict[str, dict[str, Any]]) -> None:
        if not self.partial:
            for uid in [uid for uid in self.views if uid not in views]:
                self._take(uid, None)
        for uid, view in views.items():
            self._take(uid, view)

    def _take(self, uid: str, view: dict[str, Any] | None) -> None:
        before = self.views.get(uid)
        if before == view:
            return
        try:
            self._change(uid, view)
        except Exception as err:  # that tenant's trouble alone: the others' news go on
            self._log(f"news of {uid} not taken: {err!r}")
            if self.partial and view is not None:
                self._go_back(uid, before)
                reason = f"{type(err).__name__}: {err}"[:REASON_MOST]
                self.tell({"refused": uid, "place": view.get("place"), "reason": reason})

    def _change(self, uid: str, view: dict[str, Any] | None) -> None:
        if view is None:
            self.views.pop(uid, None)
        else:
            self.views[uid] = view
        self._changed(uid, view)

    def _go_back(self, uid: str, before: dict[str, Any] | None) -> None:
        """To the state before the one that was refused."""
        try:
            self._change(uid, before)
        except Exception as err:
            self._log(f"{uid} can't go back to the state before: {err!r}")

    def _take_request(self, message: dict[str, Any]) -> None:
        """What an agent asks or tells beside the tenants' views."""
        if "release" in message:
            uid, number = message["release"], message["number"]
            self.tell({"release": uid, "number": number, "released": self._release(uid)})
        elif "give" in message:
            for uid in message["give"]:
                if uid in self.views:
                    self.tell({"given": uid, "view": self.views[uid]})
        else:
            self._told(message)

    def _release(self, uid: str) -> bool:
        if self._give_up is None:
            self._take(uid, None)
            return True
        try:
            released = self._give_up(uid)
        except Exception as err:
            self._log(f"{uid} was not released: {err!r}")
            return False
        if released:
            self.views.pop(uid, None)
        return released

    def _log(self, text: str) -> None:
        print(f"{self.name}: {text}", file=sys.stderr, flush=True)

    def tell(self, record: dict[str, Any]) -> bool:
        """Something for the administration; False where it is away."""
        if self._writer is None or self._writer.is_closing():
            return False
        self._writer.write(frame(record))
        return True
