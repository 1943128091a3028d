"""The traffic side's end of the feed: all tenants at first, then each change, in order.

Where the administration is away everything goes on as it was last told, and it is asked again
until it is back; then all tenants come anew, so nothing that happened meanwhile is missed.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Callable
from typing import Any

from tansywood.service.wire import WireError, frame, read_frame

AGAIN_S = 0.05


class Follower:
    """Keeps `views` true; tells `changed` of each tenant that is another than before."""

    def __init__(
        self, path: str, name: str, changed: Callable[[str, dict[str, Any] | None], None]
    ) -> None:
        self.path = path
        self.name = name
        self.views: dict[str, dict[str, Any]] = {}
        self.seq = -1
        self.ready = asyncio.Event()  # told of all tenants once
        self._changed = changed
        self.links = 0  # to an administration, over time: a new one knows nothing of before
        self._writer: asyncio.StreamWriter | None = None

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
            writer.write(frame({"hello": self.name}))
            self._writer = writer
            self.links += 1
            while True:
                message = await read_frame(reader)
                if "all" in message:
                    self._take_all(message["all"])
                else:
                    self._take(message["uid"], message["view"])
                self.seq = message["seq"]
                self.ready.set()
                writer.write(frame({"applied": self.seq}))
        finally:
            writer.close()

    def _take_all(self, views: dict[str, dict[str, Any]]) -> None:
        for uid in [uid for uid in self.views if uid not in views]:
            self._take(uid, None)
        for uid, view in views.items():
            self._take(uid, view)

    def _take(self, uid: str, view: dict[str, Any] | None) -> None:
        if self.views.get(uid) == view:
            return
        if view is None:
            del self.views[uid]
        else:
            self.views[uid] = view
        try:
            self._changed(uid, view)
        except Exception as err:  # that tenant's trouble alone: the others' news go on
            print(f"{self.name}: news of {uid} not taken: {err!r}", file=sys.stderr, flush=True)

    def tell(self, record: dict[str, Any]) -> bool:
        """Something for the administration; False where it is away."""
        if self._writer is None or self._writer.is_closing():
            return False
        self._writer.write(frame(record))
        return True
