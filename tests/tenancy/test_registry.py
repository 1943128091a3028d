"""Commands on tenants: whole or refused, one after the other, and the same after any crash."""

from __future__ import annotations

import contextlib
import itertools
import json
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import pytest

from tansywood.tenancy.registry import (
    AUDIT,
    HISTORY,
    IDEMPOTENT_MS,
    MAX_KEYS,
    Actor,
    Change,
    Refused,
    Registry,
)
from tansywood.tenancy.settings import ACTIVE, SUSPENDED

from .documents import document

OPERATOR = Actor("op", "operator", "", 1000)
SECRET = "s" * 43


class World:
    """A registry with the records that a store would hold."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.records: dict[bytes, bytes] = {}
        self.ids = itertools.count(1)

    def write(self, change: Change) -> None:
        for key, value in change.puts.items():
            if value is None:
                self.records.pop(key, None)
            else:
                self.records[key] = value

    def do(self, change: Change) -> Change:
        self.write(change)
        self.registry.apply(change)
        return change

    def again(self) -> Registry:
        """As the next process finds it."""
        return Registry.load(sorted(self.records.items()))

    def create(self, name: str = "cork", **over: Any) -> str:
        uid = f"uid-{next(self.ids):06d}"
        self.do(self.registry.create(OPERATOR, document(name, **over), uid))
        return uid

    def same(self) -> None:
        mine, other = self.registry, self.again()
        for what in ("seq", "tenants", "names", "keys", "hosts", "bound", "history", "entries"):
            assert getattr(mine, what) == getattr(other, what), what
        assert mine.idempotent == other.idempotent
        assert mine.audit[-50:] == other.audit[-50:]
        full = {k: v for k, v in mine.keys_of.items() if v}
        assert full == {k: v for k, v in other.keys_of.items() if v}


@contextlib.contextmanager
def refused(kind: str) -> Iterator[None]:
    with pytest.raises(Refused) as caught:
        yield
    assert caught.value.kind == kind, caught.value.text


def test_a_change_needs_the_tag_of_what_it_changes() -> None:
    w = World()
    uid = w.create()
    tenant = w.registry.tenants[uid]
    new = document(title="new")
    with refused("precondition-required"):
        w.registry.change(OPERATOR, tenant, new, "")
    with refused("stale"):
        w.registry.change(OPERATOR, tenant, new, '"other.1"')
    w.do(w.registry.change(OPERATOR, tenant, new, f'"x.1", {tenant.etag}'))
    with refused("stale"):
        w.registry.change(OPERATOR, w.registry.tenants[uid], document(), tenant.etag)
    w.do(w.registry.change(OPERATOR, w.registry.tenants[uid], document(), "*"))
    assert w.registry.tenants[uid].version == 3
    w.same()


def test_a_tag_of_an_earlier_life_under_the_same_name_is_stale() -> None:
    w = World()
    first = w.registry.tenants[w.create()]
    w.do(w.registry.delete(OPERATOR, first, "*"))
    second = w.registry.tenants[w.create()]
    assert first.version == second.version and first.etag != second.etag
    with refused("stale"):
        w.registry.change(OPERATOR, second, document(title="x"), first.etag)


Edit = Callable[[dict[str, Any]], dict[str, Any]]
EDITS: dict[str, Edit] = {
    "title": lambda d: d | {"title": "edited"},
    "limits": lambda d: d | {"limits": {"rate_per_s": 7}},
    "server": lambda d: d | {"servers": d["servers"][:1]},
    "class": lambda d: d | {"classes": d["classes"][:1]},
    "share": lambda d: d | {"cpu_share": 3},
}


@pytest.mark.parametrize(("one", "other"), itertools.permutations(EDITS, 2))
@pytest.mark.parametrize("star", [False, True])
def test_two_edits_at_once_end_in_one_of_the_two_orders_or_the_later_is_stale(
    one: str, other: str, star: bool
) -> None:
    """Both have read the same version; every order of their reads and writes."""

    def outcome(order: list[str]) -> dict[str, Any]:
        w = World()
        uid = w.create()
        for name in order:
            tenant = w.registry.tenants[uid]
            w.do(w.registry.change(OPERATOR, tenant, EDITS[name](tenant.document), "*"))
        return w.registry.tenants[uid].document

    w = World()
    uid = w.create()
    read = w.registry.tenants[uid]
    w.do(w.registry.change(OPERATOR, read, EDITS[one](read.document), read.etag))
    if star:
        # Made from what stands when it runs, as the API does it.
        now = w.registry.tenants[uid]
        w.do(w.registry.change(OPERATOR, now, EDITS[other](now.document), "*"))
        assert w.registry.tenants[uid].document in (outcome([one, other]), outcome([other, one]))
    else:
        with refused("stale"):
            w.registry.change(
                OPERATOR, w.registry.tenants[uid], EDITS[other](read.document), read.etag
            )
        assert w.registry.tenants[uid].document == outcome([one])


def test_a_repeated_creation_is_the_first_one() -> None:
    w = World()
    change = w.do(w.registry.create(OPERATOR, document(), "uid-1", "once"))
    again = w.registry.create(OPERATOR, document(), "uid-2", "once")
    assert again.result == change.result == "uid-1" and not again.puts
    after = w.again().create(OPERATOR, document(), "uid-3", "once")
    assert after.result == "uid-1" and not after.puts  # over a restart as well
    with refused("idempotency-mismatch"):
        w.registry.create(OPERATOR, document("other"), "uid-4", "once")
    other = Actor("op2", "operator", "", 1000)
    w.do(w.registry.create(other, document("other"), "uid-5", "once"))  # another actor's own
    late = Actor("op", "operator", "", 1000 + IDEMPOTENT_MS)
    with refused("name-taken"):
        w.registry.create(late, document(), "uid-6", "once")
    w.do(w.registry.create(late, document("third"), "uid-7", "new"))
    assert len(w.registry.idempotent) == 1  # the old ones are gone
    w.same()


def test_names_hosts_and_listeners_are_one_tenants_alone() -> None:
    w = World()
    w.create("cork")
    with refused("name-taken"):
        w.registry.create(OPERATOR, document("cork"), "x")
    with refused("invalid"):
        w.registry.create(OPERATOR, document("sligo", callers={"hosts": ["cork.example.org"]}), "x")
    sligo = w.create("sligo")
    w.do(
        w.registry.change(
            OPERATOR,
            w.registry.tenants[sligo],
            document("sligo", callers={"hosts": ["new.example.org"]}),
            "*",
        )
    )
    w.create("mayo", callers={"hosts": ["sligo.example.org"]})  # given up by the other
    w.same()


def test_a_change_that_is_not_confirmed_in_time_undoes_itself() -> None:
    w = World()
    uid = w.create()
    at = Actor("op", "operator", "", 50_000)
    w.do(w.registry.change(at, w.registry.tenants[uid], document(title="x"), "*", confirm_s=10))
    with refused("conflict"):
        w.registry.change(at, w.registry.tenants[uid], document(title="y"), "*", confirm_s=5)
    assert not w.registry.due(59_999)
    later = w.again()  # a restart does not forget it
    assert [t.uid for t in later.due(60_000)] == [uid]
    w.do(w.registry.undo(w.registry.tenants[uid], 60_000))
    tenant = w.registry.tenants[uid]
    assert tenant.document == document() and tenant.version == 3 and not w.registry.due(10**15)
    # Confirmed, it stands.
    w.do(w.registry.change(at, tenant, document(title="z"), "*", confirm_s=10))
    w.do(w.registry.confirm(at, w.registry.tenants[uid], "*"))
    assert not w.registry.due(10**15)
    with refused("conflict"):
        w.registry.confirm(at, w.registry.tenants[uid], "*")
    w.same()


def test_an_undo_does_not_take_a_name_that_is_another_tenants_by_now() -> None:
    w = World()
    uid = w.create("cork")
    moved = document("cork", callers={"hosts": ["new.example.org"]})
    w.do(w.registry.change(OPERATOR, w.registry.tenants[uid], moved, "*", confirm_s=10))
    w.create("sligo", callers={"hosts": ["cork.example.org"]})
    w.do(w.registry.undo(w.registry.tenants[uid], 10**9))
    tenant = w.registry.tenants[uid]
    assert tenant.document == moved and not tenant.undo_ms
    assert "taken" in w.registry.audit[-1]["what"]
    w.same()


def test_a_rollback_is_a_new_version_and_history_has_a_bound() -> None:
    w = World()
    uid = w.create()
    for n in range(HISTORY + 20):
        tenant = w.registry.tenants[uid]
        w.do(w.registry.change(OPERATOR, tenant, document(title=str(n)), "*"))
    last = w.registry.tenants[uid].version
    assert len(w.registry.history[uid]) == HISTORY
    w.do(w.registry.rollback(OPERATOR, w.registry.tenants[uid], last - 5, "*"))
    tenant = w.registry.tenants[uid]
    assert tenant.version == last + 1
    assert tenant.document == w.registry.history[uid][last - 5]["document"]
    with refused("not-found"):
        w.registry.rollback(OPERATOR, tenant, 1, "*")
    w.same()


def test_a_tenants_own_people_change_their_servers_and_not_their_limits() -> None:
    w = World()
    uid = w.create()
    admin = Actor("a", "admin", uid, 2000)
    tenant = w.registry.tenants[uid]
    fewer = document(servers=document()["servers"][:1])
    w.do(w.registry.change(admin, tenant, fewer, "*"))
    forbidden: tuple[dict[str, Any], ...] = (
        {"limits": {}},
        {"cpu_share": 9},
        {"callers": {"hosts": ["x.example.org"]}},
    )
    for over in forbidden:
        with refused("invalid"):
            w.registry.change(admin, w.registry.tenants[uid], fewer | over, "*")
    viewer = Actor("v", "viewer", uid, 2000)
    commands: tuple[Callable[[], Change], ...] = (
        lambda: w.registry.change(viewer, w.registry.tenants[uid], fewer, "*"),
        lambda: w.registry.set_status(admin, w.registry.tenants[uid], SUSPENDED, "*"),
        lambda: w.registry.delete(admin, w.registry.tenants[uid], "*"),
        lambda: w.registry.create(admin, document("x"), "x"),
        lambda: w.registry.issue(admin, w.registry.tenants[uid], "admin", "", "k" * 12, SECRET),
        lambda: w.registry.issue(viewer, w.registry.tenants[uid], "caller", "", "k" * 12, SECRET),
        lambda: w.registry.issue(admin, None, "operator", "", "k" * 12, SECRET),
    )
    for command in commands:
        with refused("forbidden"):
            command()


def test_keys_are_issued_rotated_and_revoked() -> None:
    w = World()
    uid = w.create()
    tenant = w.registry.tenants[uid]
    made = w.do(w.registry.issue(OPERATOR, tenant, "caller", "till", "a" * 12, SECRET))
    assert made.result == f"tw_{'a' * 12}_{SECRET}"
    assert SECRET.encode() not in b"".join(w.records.values())  # kept hashed, nowhere plain
    w.do(w.registry.rotate(OPERATOR, w.registry.keys["a" * 12], "b" * 12, SECRET, 60))
    assert w.registry.keys["a" * 12].expires_ms == 61_000
    assert w.registry.keys["b" * 12].expires_ms == 0
    w.do(w.registry.revoke(OPERATOR, w.registry.keys["b" * 12]))
    assert sorted(w.registry.keys_of[uid]) == ["a" * 12]
    view = w.registry.view(uid)
    assert view is not None and [key["id"] for key in view["keys"]] == ["a" * 12]
    for n in range(MAX_KEYS - 1):
        w.do(w.registry.issue(OPERATOR, tenant, "caller", "", f"k{n:011d}", SECRET))
    with refused("too-many"):
        w.registry.issue(OPERATOR, tenant, "caller", "", "z" * 12, SECRET)
    w.do(w.registry.issue(OPERATOR, None, "operator", "", "o" * 12, SECRET))
    with refused("conflict"):
        w.registry.revoke(OPERATOR, w.registry.keys["o" * 12])
    w.do(w.registry.delete(OPERATOR, w.registry.tenants[uid], "*"))
    assert list(w.registry.keys) == ["o" * 12]
    w.same()


def test_a_server_that_stays_keeps_the_time_since_when_it_is_known() -> None:
    w = World()
    uid = w.create()
    later = Actor("op", "operator", "", 9000)
    servers = document()["servers"]
    moved = [servers[0], dict(servers[1], address="127.0.0.1:9009")]
    w.do(w.registry.change(later, w.registry.tenants[uid], document(servers=moved), "*"))
    since = w.registry.tenants[uid].since
    assert since == {"s-0@127.0.0.1:9001": 1000, "s-1@127.0.0.1:9009": 9000}


def test_the_trail_shows_a_tenant_its_own_and_nothing_of_how_busy_the_others_are() -> None:
    w = World()
    cork, sligo = w.create("cork"), w.create("sligo")
    actor = Actor("a" * 12, "viewer", cork, 2000)
    for n in range(7):
        w.do(
            w.registry.change(
                OPERATOR, w.registry.tenants[sligo], document("sligo", title=str(n)), "*"
            )
        )
    w.do(w.registry.change(OPERATOR, w.registry.tenants[cork], document("cork", title="x"), "*"))
    rows, reached = w.registry.trail(actor, 0, 100)
    assert [row["n"] for row in rows] == [1, 2] and reached == 2
    assert all("seq" not in row and row["by"] == "" and row["tenant"] == cork for row in rows)
    assert w.registry.trail(actor, 1, 100)[0] == rows[1:]
    everything, seq = w.registry.trail(OPERATOR, 0, 100)
    assert len(everything) == 10 and seq == 10


def test_the_trail_has_a_bound_in_memory_and_in_the_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tansywood.tenancy.records.AUDIT", 10)
    assert AUDIT > 10
    w = World()
    uid = w.create()
    for n in range(30):
        w.do(w.registry.change(OPERATOR, w.registry.tenants[uid], document(title=str(n)), "*"))
    assert len(w.registry.audit) == 10
    assert len([key for key in w.records if key.startswith(b"audit/")]) == 10
    w.same()


@pytest.mark.parametrize("seed", range(12))
def test_any_sequence_of_commands_with_crashes_anywhere_agrees_with_what_was_kept(
    seed: int,
) -> None:
    """A crash before the write loses the command whole, one after it keeps it whole; what was
    reported (a version, a token) is never lost, and no refused command leaves a trace."""
    rng = Random(seed)
    w = World()
    reported: dict[str, int] = {}
    gone: set[str] = set()
    now = 1000
    for step in range(400):
        now += rng.randrange(5000)
        actor = Actor("op", "operator", "", now)
        r = w.registry
        before = dict(w.records)
        uids = list(r.tenants)
        tenant = r.tenants[rng.choice(uids)] if uids else None
        kind = rng.random()
        try:
            if tenant is None or kind < 0.12:
                name = rng.choice(("cork", "sligo", "mayo", "kerry"))
                change = r.create(
                    actor, document(name), f"uid-{step:06d}", rng.choice(("", "i", "j"))
                )
            elif kind < 0.5:
                edit = EDITS[rng.choice(list(EDITS))]
                match = rng.choice(("*", tenant.etag, '"no.1"'))
                full = document(tenant.name)
                change = r.change(actor, tenant, edit(full), match, rng.choice((0, 0, 20)))
            elif kind < 0.58:
                status = rng.choice((ACTIVE, SUSPENDED))
                change = r.set_status(actor, tenant, status, "*")
            elif kind < 0.64:
                change = r.delete(actor, tenant, rng.choice(("*", '"no.1"')))
            elif kind < 0.72:
                change = r.rollback(actor, tenant, rng.randrange(1, 6), "*")
            elif kind < 0.8:
                change = r.issue(actor, tenant, "caller", "", f"k{step:011d}", SECRET)
            elif kind < 0.9 and r.keys:
                key = r.keys[rng.choice(list(r.keys))]
                change = (
                    r.revoke(actor, key)
                    if rng.random() < 0.5
                    else r.rotate(actor, key, f"r{step:011d}", SECRET, 5)
                )
            elif r.due(now):
                change = r.undo(r.due(now)[0], now)
            else:
                change = r.confirm(actor, tenant, "*")
        except Refused:
            assert w.records == before
            w.same()
            continue
        crash = rng.random()
        if crash < 0.05:
            w.registry = w.again()  # before the write: as if it had never been asked
            continue
        w.write(change)
        if crash < 0.1:
            w.registry = w.again()  # written, not applied and not told
        else:
            w.registry.apply(change)
        if change.after is not None and change.puts:
            reported[change.uid] = change.after.version
            if change.after.status == "deleted":
                gone.add(change.uid)
        if step % 10 == 0:
            w.same()
        for uid, version in reported.items():
            if uid in gone:
                assert uid not in w.registry.tenants
            else:
                assert w.registry.tenants[uid].version >= version
    w.same()
    assert json.loads(w.records[b"meta/seq"]) == w.registry.seq
    leftover = [k for k in w.records if any(uid.encode() in k for uid in gone)]
    assert not leftover  # nothing of a deleted tenant but its trail
