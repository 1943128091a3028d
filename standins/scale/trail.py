"""What the publisher's store holds once it has ended: the truth that nodes are compared with."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from standins.scale.calls import Call, mark_of_entry
from standins.scale.plan import tenant_of
from standins.scale.records import Committed, Published, digest_of_view, generation_of
from tansywood.distribution.resources import encode
from tansywood.store import Store
from tansywood.tenancy.registry import Registry


@dataclass(frozen=True, slots=True)
class Durable:
    """All tenants and all changes of a run, as they are on the disk."""

    committed: Sequence[Committed]
    published: Sequence[Published]
    problems: Sequence[str]


def read_durable(path: Path, calls: Iterable[Call]) -> Durable:
    """Changes with the beginnings of the calls that made them. A call that was answered and is not
    in the trail is a problem, and so is an entry that nobody called for."""
    with Store.open(path) as store:
        registry = Registry.load(store.scan())
    by_mark = {call.mark: call for call in calls}
    committed = []
    problems = []
    for entry in registry.audit:
        call = by_mark.pop(mark_of_entry(entry), None)
        if call is None:
            problems.append(f"change {entry['seq']} ({entry['what']}): nobody called for it")
            continue
        uid = entry["tenant"]
        tenant, kind = call.change.tenant, call.change.kind
        committed.append(Committed(call.began, tenant, generation_of(uid), entry["seq"], kind))
    problems += [f"answered and not durable: {call.change}" for call in by_mark.values()]
    return Durable(committed, _published(registry), problems)


def _published(registry: Registry) -> list[Published]:
    rows = []
    for uid, tenant in registry.tenants.items():
        body = encode(uid, tenant.seq, registry.view(uid)).body
        rows.append(Published(tenant_of(tenant.name), tenant.seq, digest_of_view(body)))
    return rows
