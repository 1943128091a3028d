"""What differs between two documents, and what a change means for requests under way."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from tansywood.tenancy.checks import pointer
from tansywood.tenancy.settings import ClassRule, TenantSettings, read

STRICTNESS = {"safe": 0, "keyed": 1, "never": 2}


@dataclass(frozen=True, slots=True)
class Difference:
    """At a JSON Pointer (RFC 6901); None on the side where there is nothing."""

    path: str
    old: Any
    new: Any


def differences(old: Any, new: Any, *at: object) -> list[Difference]:
    """Between two JSON values, leaf by leaf; rows of a list are told apart by their names."""
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        keys = [*old, *(k for k in new if k not in old)]
        return [d for k in keys for d in differences(old.get(k), new.get(k), *at, k)]
    if _named(old) and _named(new):
        olds, news = ({row["name"]: row for row in rows} for rows in (old, new))
        names = [*olds, *(n for n in news if n not in olds)]
        found = [d for n in names for d in differences(olds.get(n), news.get(n), *at, n)]
        if not found and list(olds) != list(news):
            return [Difference(pointer(*at), list(olds), list(news))]  # the order alone
        return found
    return [] if old == new else [Difference(pointer(*at), old, new)]


def _named(rows: Any) -> bool:
    if not isinstance(rows, list) or not all(isinstance(r, Mapping) and "name" in r for r in rows):
        return False
    return len({r["name"] for r in rows}) == len(rows)


def merged(target: Any, patch: Any) -> Any:
    """A JSON merge patch applied (RFC 7396); the target is not changed."""
    if not isinstance(patch, Mapping):
        return patch
    made = dict(target) if isinstance(target, Mapping) else {}
    for key, value in patch.items():
        if value is None:
            made.pop(key, None)
        else:
            made[key] = merged(made.get(key), value)
    return made


def looser(old: ClassRule, new: ClassRule) -> bool:
    """Whether the new rule allows a repeat that the old one forbids."""
    if STRICTNESS[new.repeat] != STRICTNESS[old.repeat]:
        return STRICTNESS[new.repeat] < STRICTNESS[old.repeat]
    return new.repeat == "keyed" and new.window_ms > old.window_ms


def difference_records(old: Any, new: Any) -> list[dict[str, Any]]:
    """The same of JSON's types."""
    return [{"path": d.path, "old": d.old, "new": d.new} for d in differences(old, new)]


def consequences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    """Both checked: what the change does to requests that are under way, in words."""
    return list(_consequences(read(old), read(new)))


def _consequences(old: TenantSettings, new: TenantSettings) -> Iterator[str]:
    olds, news = ({c.name: c for c in t.classes} for t in (old, new))
    for name, was in olds.items():
        now = news.get(name)
        if now is None:
            yield f"class {name} goes: requests taken before end under its rules, new ones get 404"
            continue
        if looser(was, now):
            yield f"class {name}: requests taken before stay {was.repeat}, new ones {now.repeat}"
        elif was.repeat != now.repeat:
            yield f"class {name}: no request gets a repeat that {now.repeat} forbids, at once"
        if now.deadline_ms < was.deadline_ms:
            yield f"class {name}: requests taken before keep the time they were taken with"
    gone = [s.name for s in old.servers if s.name not in {n.name for n in new.servers}]
    for name in gone:
        yield f"server {name} goes: it finishes what it has, its connections close then"
    for s in new.servers:
        if s.draining and any(o.name == s.name and not o.draining for o in old.servers):
            yield f"server {s.name} drains: it finishes what it has and gets nothing new"
    if new.limits.open < old.limits.open or new.limits.connections < old.limits.connections:
        yield "lower limits close nothing that is open: they bind what comes"
    if set(old.hosts) - set(new.hosts) or (new.key_required and not old.key_required):
        yield "connections by a way that is gone are answered 404 at their next request"
