"""The smaller pure parts: who is who, rates, shares, owners, the lobby, differences."""

from __future__ import annotations

import hmac
from random import Random
from typing import Any

import pytest

from tansywood.tenancy import identity
from tansywood.tenancy.changes import consequences, differences, merged
from tansywood.tenancy.door import Lobby, look
from tansywood.tenancy.fair import BUSY_PART, LONGEST_WINDOWS, waits
from tansywood.tenancy.identity import (
    FORM,
    Directory,
    Key,
    Known,
    Shown,
    digest,
    token,
    verify,
)
from tansywood.tenancy.limits import SECOND, Bucket
from tansywood.tenancy.placement import Placement

from .documents import document

# ---- who is who ----

SECRETS = {"a": "A" * 43, "b": "B" * 43}
TOKENS = {name: token(name * 12, secret) for name, secret in SECRETS.items()}


def directory(**over: Any) -> Directory:
    made = Directory()
    for name in ("a", "b"):
        known = Known(name, f"tenant-{name}", (f"{name}.example.org",), (f"door-{name}",), True)
        key = Key(name * 12, digest(TOKENS[name]), "caller", name, expires_ms=over.get(name, 0))
        made.set(known, [key])
    return made


@pytest.mark.parametrize(
    ("shown", "uid"),
    [
        (Shown(key=TOKENS["a"]), "a"),
        (Shown(host="A.Example.org.:8080", key=TOKENS["a"]), "a"),
        (Shown(name="tenant-a", key=TOKENS["a"]), "a"),
        (Shown(host="app.svc", name="tenant-a", key=TOKENS["a"]), "a"),
        (Shown(listener="door-b", key=TOKENS["b"]), "b"),
        # One tenant's key with another's host, name or listener is nobody's.
        (Shown(host="b.example.org", key=TOKENS["a"]), None),
        (Shown(name="tenant-b", key=TOKENS["a"]), None),
        (Shown(listener="door-b", key=TOKENS["a"]), None),
        (Shown(host="a.example.org", name="tenant-b", key=TOKENS["a"]), None),
        # Without a key where one is needed, with a wrong one, with none of ours.
        (Shown(host="a.example.org"), None),
        (Shown(host="a.example.org", key=TOKENS["a"][:-1] + "x"), None),
        (Shown(host="a.example.org", key="x"), None),
        (Shown(host="a.example.org", key=token("c" * 12, SECRETS["a"])), None),
        (Shown(name="tenant-c", key=TOKENS["a"]), None),
        (Shown(), None),
    ],
)
def test_every_way_that_says_something_has_to_say_the_same(shown: Shown, uid: str | None) -> None:
    assert directory().identify(shown, 0) == uid


@pytest.mark.parametrize(
    ("shown", "unknown"),
    [
        (Shown("door-a", "A.Example.org.:8080", "tenant-a", TOKENS["a"]), Shown()),
        (Shown("door-b", "a.example.org", "", "no key at all"), Shown()),
        (Shown("nobodys", "a.example.org"), Shown("nobodys")),
        (Shown("door-a", "App.svc:80", "tenant-c"), Shown("", "app.svc", "tenant-c")),
        (Shown("door-a", key=token("c" * 12, SECRETS["a"])), Shown(key="c" * 12)),
        (Shown("door-a", key=TOKENS["a"][:-1] + "x"), Shown()),  # its id is known
        (Shown(), Shown()),
    ],
)
def test_what_names_nobody_here_is_told_and_the_quick_look_agrees(
    shown: Shown, unknown: Shown
) -> None:
    made = directory()
    assert made.unknown(shown) == unknown
    # The quick look may doubt a key without the form; it never passes over what is unknown.
    assert not made.knows(shown, ()) or unknown == Shown()
    if FORM.fullmatch(shown.key) and unknown == Shown():
        assert made.knows(shown, ())
    assert made.knows(Shown(shown.listener), [shown.listener])


def test_a_key_that_is_not_needed_still_must_not_be_another_tenants() -> None:
    made = directory()
    made.set(Known("a", "tenant-a", ("a.example.org",), (), False), [])
    assert made.identify(Shown(host="a.example.org"), 0) == "a"
    assert made.identify(Shown(name="tenant-a"), 0) is None  # a name by itself is no proof
    assert made.identify(Shown(host="a.example.org", key=TOKENS["b"]), 0) is None
    assert made.identify(Shown(host="a.example.org", key="nonsense"), 0) is None


def test_a_key_ends_at_its_time_and_with_its_tenant() -> None:
    made = directory(a=1000)
    assert made.identify(Shown(key=TOKENS["a"]), 999) == "a"
    assert made.identify(Shown(key=TOKENS["a"]), 1000) is None
    made.drop("b")
    assert made.identify(Shown(key=TOKENS["b"]), 0) is None


def test_a_host_that_went_from_one_tenant_to_another_stays_with_the_other() -> None:
    made = directory()
    made.set(Known("b", "tenant-b", ("a.example.org",), (), False), [])
    made.set(Known("a", "tenant-a", (), (), True), [])
    assert made.identify(Shown(host="a.example.org"), 0) == "b"


def test_what_is_kept_of_a_key_does_not_show_it() -> None:
    key = Key("a" * 12, digest(TOKENS["a"]), "caller", "a")
    assert SECRETS["a"] not in str(key.record())
    assert verify({key.id: key}, TOKENS["a"], 0) is key
    with pytest.raises(ValueError, match="12 letters"):
        token("short", SECRETS["a"])


@pytest.mark.parametrize(
    "shown", [TOKENS["a"], TOKENS["a"][:-1] + "x", token("c" * 12, SECRETS["a"]), "x", "", "é" * 9]
)
def test_a_key_takes_the_same_work_to_look_at_whatever_it_is(
    shown: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Known, wrong, of an id that is nobody's, no key at all: one digest, one comparison, of
    the same lengths."""
    done: list[tuple[str, int]] = []
    plain, compare = identity.digest, hmac.compare_digest

    def counted(text: str) -> str:
        done.append(("digest", 64))
        return plain(text)

    def compared(one: str, other: str) -> bool:
        done.append(("compare", len(one) + len(other)))
        return bool(compare(one, other))

    monkeypatch.setattr(identity, "digest", counted)
    monkeypatch.setattr(hmac, "compare_digest", compared)
    key = Key("a" * 12, plain(TOKENS["a"]), "caller", "a")
    assert verify({key.id: key}, shown, 0) == (key if shown == TOKENS["a"] else None)
    assert done == [("digest", 64), ("compare", 128)]


# ---- rates ----


@pytest.mark.parametrize("seed", range(20))
def test_no_sequence_of_restarts_and_clocks_lets_more_through_than_is_stated(seed: int) -> None:
    rng = Random(seed)
    rate, burst = rng.choice([(0.5, 1), (10.0, 5), (1000.0, 200)])
    now = latest = first = 10**15
    bucket = Bucket(now, rate, burst)
    passed, beginnings, elapsed = 0, 1, 0
    for _ in range(3000):
        step = rng.random()
        if step < 0.004:
            bucket = Bucket(now, rate, burst)  # the worker died: another takes over
            beginnings += 1
            elapsed += latest - first
            latest = first = now
        elif step < 0.01:
            now -= rng.randrange(10 * SECOND)  # no monotonic clock does: it must not pay
        else:
            now += rng.choice((0, 0, 1000, 10**6, 10**8))
        passed += bucket.take(now) == 0
        latest = max(latest, now)
    elapsed += latest - first
    assert passed <= burst + rate * (elapsed / SECOND + beginnings / 10) + beginnings


def test_a_bucket_begins_with_little_and_keeps_its_rate() -> None:
    bucket = Bucket(0, 100.0, 50)
    assert sum(bucket.take(0) == 0 for _ in range(100)) == 10
    wait = bucket.take(0)
    assert 0 < wait <= SECOND // 100 and bucket.take(wait) == 0
    assert sum(bucket.take(100 * SECOND) == 0 for _ in range(100)) == 50


def test_a_changed_rate_keeps_what_was_saved_and_no_more_than_its_burst() -> None:
    bucket = Bucket(0, 100.0, 50)
    bucket.take(10 * SECOND)
    bucket.change(10 * SECOND, 10.0, 20)
    assert sum(bucket.take(10 * SECOND) == 0 for _ in range(100)) == 20


# ---- shares of a worker ----

WINDOW = 20_000_000


def test_nobody_waits_while_the_worker_is_not_busy() -> None:
    assert waits({"a": 10_000_000, "b": 10}, {}, WINDOW) == {}


def test_who_takes_all_of_a_busy_worker_waits_and_who_takes_little_does_not() -> None:
    found = waits({"flood": 19_000_000, "quiet": 500_000}, {}, WINDOW)
    assert set(found) == {"flood"} and 0 < found["flood"] <= LONGEST_WINDOWS * WINDOW


@pytest.mark.parametrize("seed", range(50))
def test_shares_are_max_min_and_work_conserving(seed: int) -> None:
    rng = Random(seed)
    used = {f"t{i}": rng.randrange(1, WINDOW) for i in range(rng.randrange(2, 8))}
    shares = {name: rng.choice((0.5, 1.0, 4.0)) for name in used}
    found = waits(used, shares, WINDOW)
    total = sum(used.values())
    if total <= BUSY_PART * WINDOW:
        assert not found
        return
    for name in used:
        # Within its part of the whole nobody ever waits, whatever the others do.
        if used[name] <= BUSY_PART * WINDOW * shares[name] / sum(shares.values()):
            assert name not in found


# ---- owners ----


def test_a_tenant_stays_with_its_owner_until_that_one_ends() -> None:
    placement = Placement()
    assert placement.owner("t") is None
    for worker in ("w0", "w1"):
        placement.joined(worker)
    first = {t: placement.owner(t) for t in map(str, range(100))}
    assert 20 < sum(owner == "w0" for owner in first.values()) < 80
    placement.joined("w2")
    assert {t: placement.owner(t) for t in first} == first
    lost = placement.left("w0")
    assert lost and all(first[t] == "w0" for t in lost)
    after = {t: placement.owner(t) for t in first}
    assert all(after[t] == first[t] for t in first if first[t] != "w0")
    placement.joined("w0")
    assert {t: placement.owner(t) for t in first} == after


def test_a_door_that_starts_again_is_told_the_owners() -> None:
    placement = Placement()
    placement.joined("w0", ["t", "u"])
    placement.joined("w1", ["u"])
    assert placement.owner("t") == placement.owner("u") == "w0"
    assert placement.owns("w0") == ["t", "u"]


# ---- the lobby ----


def test_a_crowd_from_one_address_displaces_itself() -> None:
    lobby = Lobby(most=10, of_one=6)
    gone = [lobby.enter(f"x{i}", "crowd", i) for i in range(8)]
    assert gone[:6] == [None] * 6 and gone[6:] == ["x6", "x7"]
    for who in ("x6", "x7"):
        lobby.leave(who)
    for i in range(4):
        assert lobby.enter(f"y{i}", f"other{i}", 10) is None
    assert lobby.enter("z", "new", 11) == "x5"  # the newest of the largest crowd


def test_who_says_nothing_goes_when_patience_is_over() -> None:
    lobby = Lobby(patience_ms=100)
    lobby.enter("a", "x", 0)
    lobby.enter("b", "x", 60)
    assert lobby.late(100) == [] and lobby.late(101) == ["a"]
    lobby.leave("a")
    assert lobby.late(161) == ["b"] and len(lobby) == 1


def test_a_head_is_read_no_further_than_to_tell_whose_it_is() -> None:
    head = b"GET /x HTTP/1.1\r\nHOST:  a.example.org \r\nX-Tenant-Key: k\r\n\r\nbody"
    seen = look(head)
    assert (seen.whole, seen.sound, seen.host, seen.key, seen.name) == (
        True, True, "a.example.org", "k", "",
    )  # fmt: skip
    assert not look(head[:40]).whole
    assert not look(b"GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n").sound
    assert not look(b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n").sound
    assert not look(b"nonsense\r\nmore\r\n\r\n").sound


# ---- differences ----


def test_differences_name_rows_and_leaves() -> None:
    old = document()
    new = document(title="x")
    new["servers"] = [old["servers"][0], {"name": "s-2", "address": "127.0.0.1:9"}]
    new["classes"] = [dict(old["classes"][0], aim_ms=400), old["classes"][1]]
    found = {d.path: (d.old, d.new) for d in differences(old, new)}
    assert found["/title"] == (None, "x")
    assert found["/classes/balance/aim_ms"] == (500, 400)
    assert found["/servers/s-1"][1] is None and found["/servers/s-2"][0] is None
    assert len(found) == 4


@pytest.mark.parametrize("seed", range(50))
def test_a_merge_patch_does_what_the_rfc_says(seed: int) -> None:
    """Against the RFC's own pseudocode, done in place."""

    def apply(target: Any, patch: Any) -> Any:
        if isinstance(patch, dict):
            if not isinstance(target, dict):
                target = {}
            for name, value in patch.items():
                if value is None:
                    target.pop(name, None)
                else:
                    target[name] = apply(target.get(name), value)
            return target
        return patch

    rng = Random(seed)

    def some(deep: int) -> Any:
        if deep and rng.random() < 0.7:
            return {rng.choice("abc"): some(deep - 1) for _ in range(3)}
        return rng.choice((None, 1, "x", [1, None]))

    import copy

    target, patch = some(3), some(3)
    kept = copy.deepcopy(target)
    assert merged(target, patch) == apply(copy.deepcopy(target), patch)
    assert target == kept


def test_what_a_change_means_for_requests_under_way_is_said() -> None:
    old = document()
    new = document()
    new["classes"] = [
        {"name": "balance", "aim_ms": 500, "deadline_ms": 1000, "repeat": "never"},
        {"name": "refund", "aim_ms": 500, "deadline_ms": 1000, "repeat": "never"},
    ]
    new["servers"] = [
        dict(old["servers"][0], state="draining"),
        {"name": "n", "address": "1.1.1.1:1"},
    ]
    told = "\n".join(consequences(old, new))
    for words in (
        "balance: no request gets a repeat that never forbids",
        "balance: requests taken before keep the time",
        "class credit goes",
        "server s-1 goes",
        "server s-0 drains",
    ):
        assert words in told
    back = "\n".join(consequences(new, old))
    assert "balance: requests taken before stay never, new ones safe" in back
