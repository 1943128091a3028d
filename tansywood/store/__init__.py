"""A small embedded store: bytes by bytes, a log, an index, compaction and recovery.

After any crash it holds a prefix of what was written, with every write in it that was
acknowledged as durable. docs/design/store.md says how; docs/operate/store.md how to run it.
"""

from tansywood.store.engine import Batch, Recovery, Snapshot, Stats, Store
from tansywood.store.errors import (
    StoreClosed,
    StoreCorrupt,
    StoreError,
    StoreFailed,
    StoreFormat,
    StoreFull,
    StoreLimit,
    StoreLocked,
)

__all__ = [
    "Batch",
    "Recovery",
    "Snapshot",
    "Stats",
    "Store",
    "StoreClosed",
    "StoreCorrupt",
    "StoreError",
    "StoreFailed",
    "StoreFormat",
    "StoreFull",
    "StoreLimit",
    "StoreLocked",
]
