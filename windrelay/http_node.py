"""The platform's node put together: HTTP on both sides, and the list of servers."""

from __future__ import annotations

import asyncio

from windrelay.config import Config
from windrelay.discovery import Discovery
from windrelay.node import Node
from windrelay.upstream import Upstream


class HttpNode(Node):
    """A node whose callers and servers speak HTTP/1.1."""

    upstream: Upstream
    discovery: Discovery

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        self.discovery = Discovery(config, self.members_told, self.log)
        self.upstream = Upstream(self)

    def reload(self, config: Config) -> dict[str, int]:
        numbers = super().reload(config)
        self.upstream.rest_at_most(config.idle_close)
        return numbers
