"""The HTTP node: a Node with a pool of HTTP backend connections and service discovery."""

from __future__ import annotations

import asyncio

from windrelay.config import Config
from windrelay.discovery import Discovery
from windrelay.node import Node
from windrelay.upstream import HttpConnectionPool


class HttpNode(Node):
    """A node whose clients and backends speak HTTP/1.1."""

    upstream: HttpConnectionPool
    discovery: Discovery

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        self.discovery = Discovery(config, self.apply_member_update, self.log)
        self.upstream = HttpConnectionPool(self)

    def reload(self, config: Config) -> dict[str, int]:
        class_numbers = super().reload(config)
        self.discovery.apply_settings(config.settings)
        self.upstream.set_backend_idle_timeout(config.backend_idle_timeout)
        return class_numbers
