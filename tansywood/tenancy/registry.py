"""The administration's state and every command on it, pure: records in, records out.

A command checks, and returns a Change: the records to write, as bytes by bytes, and nothing
has happened yet. Whoever does I/O writes them durably as one batch and then applies the change.
What was not durable is so never seen, and a process that dies in between finds on its next
start exactly what it had written. One command at a time: the next one begins after the apply.

Times are Unix milliseconds and passed in; so is what has to be random.

The parts: `model` (what is kept, changes, refusals), `records` (names and bytes), `state` (tables),
`drafts` (changes as they are put together), `tenant_commands` and `key_commands`.
"""

from __future__ import annotations

from tansywood.tenancy.key_commands import MAX_KEYS, KeyCommands
from tansywood.tenancy.model import Actor, Change, Refused, Tenant
from tansywood.tenancy.records import AUDIT, HISTORY
from tansywood.tenancy.state import MAX_TENANTS
from tansywood.tenancy.tenant_commands import IDEMPOTENT_MS, TenantCommands

MAX_PUBLISHED = 250_000  # tenants, where instances hold what they serve alone


class Registry(TenantCommands, KeyCommands):
    """All tenants, keys and trails, with every command on them."""


__all__ = [
    "AUDIT",
    "HISTORY",
    "IDEMPOTENT_MS",
    "MAX_KEYS",
    "MAX_PUBLISHED",
    "MAX_TENANTS",
    "Actor",
    "Change",
    "Refused",
    "Registry",
    "Tenant",
]
