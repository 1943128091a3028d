"""The API by calls: what it changes, what it refuses, and what it never shows."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import httpx
import pytest
from jsonschema import Draft202012Validator
from starlette.routing import Route

from standins.disk import Crash
from tansywood.admin.api import MAX_BODY, Api
from tansywood.admin.openapi import description
from tansywood.admin.operations import OPERATIONS
from tansywood.service.follow import Follower

from ..tenancy.documents import ODD, spoilt
from .world import Desk, Disk, desk, document

Test = Callable[[Desk], Awaitable[None]]


def run(folder: Path, test: Test, disk: Disk | None = None) -> None:
    async def main() -> None:
        async with desk(folder, disk) as d:
            await test(d)

    asyncio.run(main())


def problem(response: httpx.Response, status: int, kind: str) -> dict[str, Any]:
    assert response.status_code == status, response.text
    assert response.headers["content-type"] == "application/problem+json"
    body: dict[str, Any] = response.json()
    assert body["type"] == f"urn:tansywood:problem:{kind}" and body["status"] == status
    return body


def test_a_tenants_life(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        made = await d.call("POST", "/v1/tenants", document(), Idempotency_Key="one")
        assert made.status_code == 201 and made.json()["version"] == 1
        again = await d.call("POST", "/v1/tenants", document(), Idempotency_Key="one")
        assert again.status_code == 201 and again.headers["etag"] == made.headers["etag"]
        problem(await d.call("POST", "/v1/tenants", document()), 409, "name-taken")
        tag = made.headers["etag"]
        problem(await d.call("PUT", "/v1/tenants/cork", document()), 428, "precondition-required")
        put = await d.call("PUT", "/v1/tenants/cork", document(title="x"), match=tag)
        assert put.json()["differences"] == [{"path": "/title", "old": None, "new": "x"}]
        problem(await d.call("PUT", "/v1/tenants/cork", document(), match=tag), 412, "stale")
        patched = await d.must("PATCH", "/v1/tenants/cork", {"title": None, "cpu_share": 2})
        assert "title" not in patched["document"] and patched["version"] == 3
        await d.must("PUT", "/v1/tenants/cork/servers/s-9", {"address": "127.0.0.1:9009"})
        await d.must("DELETE", "/v1/tenants/cork/servers/s-0")
        servers = (await d.must("GET", "/v1/tenants/cork/servers"))["items"]
        assert [s["name"] for s in servers] == ["s-1", "s-9"]
        await d.must("PUT", "/v1/tenants/cork/limits", {"rate_per_s": 5})
        assert (await d.must("GET", "/v1/tenants/cork/limits"))["open"] == 500
        await d.must("POST", "/v1/tenants/cork/rollback", {"to": 2})
        now = await d.must("GET", "/v1/tenants/cork")
        assert now["document"] == document(title="x") and now["version"] == 7
        history = (await d.must("GET", "/v1/tenants/cork/history"))["items"]
        assert [row["version"] for row in history] == [7, 6, 5, 4, 3, 2, 1]
        one = await d.must("GET", "/v1/tenants/cork/history/3")
        assert {row["path"] for row in one["differences"]} == {"/title", "/cpu_share"}
        assert (await d.must("POST", "/v1/tenants/cork/drain"))["status"] == "draining"
        assert (await d.call("DELETE", "/v1/tenants/cork", match="*")).status_code == 204
        problem(await d.call("GET", "/v1/tenants/cork"), 404, "not-found")
        trail = (await d.must("GET", "/v1/trail"))["items"]
        assert [row["what"] for row in trail][-3:] == ["rollback to 2", "drain", "delete"]

    run(tmp_path, test)


def test_a_dry_run_says_all_and_changes_nothing(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        tag = (await d.call("POST", "/v1/tenants", document())).headers["etag"]
        bare = document(classes=document()["classes"][:1])
        dry = await d.must("PUT", "/v1/tenants/cork?dry_run=true", bare)
        assert dry["dry_run"] and "class credit goes" in " ".join(dry["consequences"])
        problem(
            await d.call("PUT", "/v1/tenants/cork?dry_run=true", {"name": "cork"}, match="*"),
            422,
            "invalid",
        )
        assert (await d.call("GET", "/v1/tenants/cork")).headers["etag"] == tag
        made = await d.call("POST", "/v1/tenants?dry_run=true", document("sligo", callers={}))
        assert made.status_code == 200 and "sligo" not in d.admin.registry.names

    run(tmp_path, test)


def test_a_body_that_is_wrong_in_ten_places_is_told_all_of_them(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        bad = {"name": "X", "classes": [{}, {}], "servers": [{"name": 1}], "limits": {"open": 0}}
        body = problem(await d.call("POST", "/v1/tenants", bad), 422, "invalid")
        places = {row["pointer"] for row in body["errors"]}
        assert len(body["errors"]) >= 10 and {"/limits/open", "/classes/1/aim_ms"} <= places
        assert next(r for r in body["errors"] if r["pointer"] == "/limits/open")["allowed"]

    run(tmp_path, test)


@pytest.mark.parametrize(
    ("content", "kind"),
    [
        (b"", "malformed"),
        (b"{", "malformed"),
        (b'{"name": NaN}', "malformed"),
        (b"[" * 200_000, "malformed"),
        (b"\xff\xfe", "malformed"),
        (b" " * (MAX_BODY + 1), "too-large"),
        (b"[]", "invalid"),
        (b'"x"', "invalid"),
        (b'{"a":' * 50 + b"1" + b"}" * 50, "invalid"),
    ],
)
def test_what_is_no_document_is_refused_with_its_reason(
    tmp_path: Path, content: bytes, kind: str
) -> None:
    async def test(d: Desk) -> None:
        response = await d.call("POST", "/v1/tenants", content=content)
        problem(response, {"malformed": 400, "too-large": 413, "invalid": 422}[kind], kind)

    run(tmp_path, test)


def test_pages_follow_each_other_and_a_cursor_is_its_callers_alone(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        for n in range(7):
            await d.must("POST", "/v1/tenants", document(f"t-{n}"))
        seen: list[str] = []
        path = "/v1/tenants?limit=3"
        while path:
            page = await d.must("GET", path)
            seen += [row["name"] for row in page["items"]]
            path = f"/v1/tenants?limit=3&cursor={page['next']}" if "next" in page else ""
        assert seen == [f"t-{n}" for n in range(7)]
        cursor = (await d.must("GET", "/v1/tenants?limit=3"))["next"]
        other = await d.key("t-1", "viewer")
        for path, token in (
            (f"/v1/tenants?cursor={cursor}", other),
            (f"/v1/trail?cursor={cursor}", None),
            (f"/v1/tenants?cursor={cursor[:-2]}", None),
            ("/v1/tenants?cursor=%00%ff", None),
            ("/v1/tenants?limit=0", None),
            ("/v1/tenants?limit=%C2%B2", None),
        ):
            problem(await d.call("GET", path, token=token), 400, "malformed")

    run(tmp_path, test)


def test_a_long_poll_tells_of_a_change_when_it_is_there(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        await d.must("POST", "/v1/tenants", document())
        after = (await d.must("GET", "/v1/changes"))["after"]
        waiting = asyncio.create_task(d.must("GET", f"/v1/changes?after={after}&wait_s=30"))
        await asyncio.sleep(0)
        assert not waiting.done()
        await d.must("POST", "/v1/tenants/cork/suspend")
        told = await waiting
        assert [row["what"] for row in told["items"]] == ["suspend"]
        assert told["after"] > after

    run(tmp_path, test)


def test_a_change_that_nobody_confirms_undoes_itself(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        await d.must("POST", "/v1/tenants", document())
        made = await d.must("PUT", "/v1/tenants/cork?confirm_within_s=60", document(title="x"))
        assert made["unconfirmed"]["back_to"] == 1
        d.clock.ms += 59_000
        await d.admin.undo_what_is_due()
        assert (await d.must("GET", "/v1/tenants/cork"))["version"] == 2
        d.clock.ms += 1_000
        await d.admin.undo_what_is_due()
        now = await d.must("GET", "/v1/tenants/cork")
        assert now["document"] == document() and "unconfirmed" not in now

    run(tmp_path, test)


def test_calls_of_one_key_are_limited_and_tell_nothing_of_another(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        await d.must("POST", "/v1/tenants", document())
        viewer = await d.key("cork", "viewer")
        d.admin.rate_per_s = 5
        d.admin._rates.clear()
        got = [(await d.call("GET", "/v1/tenants", token=viewer)).status_code for _ in range(30)]
        assert got.count(429) >= 15 and got[0] == 200
        assert (await d.call("GET", "/v1/tenants")).status_code == 200  # the operator's own
        crowd = [(await d.call("GET", "/x", token="nobody")).status_code for _ in range(30)]
        assert set(crowd) == {401, 429}
        assert (await d.call("GET", "/v1/tenants")).status_code == 200

    run(tmp_path, test)


# ---- secrecy ----

MARK = "zzmarkzz"


async def marked(d: Desk) -> dict[str, str]:
    """A tenant of one's own, and others with the word planted in each of their fields."""
    await d.must("POST", "/v1/tenants", document("mine"))
    other = document(
        f"{MARK}-name",
        title=f"{MARK} title",
        callers={"hosts": [f"{MARK}.example.org"], "listeners": ["public"]},
        classes=[{"name": f"{MARK}-c", "aim_ms": 50, "deadline_ms": 100, "repeat": "safe"}],
        servers=[{"name": f"{MARK}-s", "address": "127.0.0.1:9", "zone": f"{MARK}-z"}],
    )
    await d.must("POST", "/v1/tenants", other, Idempotency_Key=MARK)
    key = await d.must(
        "POST", f"/v1/tenants/{MARK}-name/keys", {"role": "caller", "label": f"{MARK} label"}
    )
    await d.must("POST", f"/v1/tenants/{MARK}-name/keys/{key['id']}/rotate", {})
    await d.must("PATCH", f"/v1/tenants/{MARK}-name", {"title": f"{MARK} again"})
    uid = d.admin.registry.names[f"{MARK}-name"]
    d.admin.feed.reports[uid] = {"life": {"classes": {f"{MARK}-c": {"asked": 7}}}}
    return {
        "admin": await d.key("mine", "admin"),
        "viewer": await d.key("mine", "viewer"),
        "operator": d.operator,
        "caller": await d.key("mine", "caller"),
        "nobody": "tw_aaaaaaaaaaaa_" + "A" * 43,
        "": "",
    }


def paths(d: Desk, rng: Random, path: str, names: list[str]) -> str:
    keys = list(d.admin.registry.keys)

    def word(match: re.Match[str]) -> str:
        kind = match[1]
        if kind == "tenant":
            return rng.choice(names)
        if kind == "key":
            return rng.choice([*keys, "nothing"])
        if kind == "version":
            return rng.choice(["1", "2", "99", "x", "-1", "9" * 30])
        return rng.choice(["s-0", "balance", "credit", f"{MARK}-s", "new-one", "N%20", "~", "%00"])

    return re.sub(r"\{(\w+)\}", word, path)


@pytest.mark.parametrize("seed", range(6))
def test_no_generated_request_gets_a_5xx_or_anything_of_another_tenant(
    tmp_path: Path, seed: int
) -> None:
    rng = Random(seed)
    described = description()["paths"]
    codes: Counter[tuple[str, int]] = Counter()

    async def one(d: Desk, tokens: dict[str, str], path: str, method: str, op: Any) -> None:
        who = rng.choice([*tokens, "admin", "admin", "viewer", "operator"])
        names = [*["mine"] * 6, f"{MARK}-name", "none", "Ä", "%2e%2e", "x" * 300]
        if who == "operator":
            names = ["mine", "none"]  # it may see all: its own calls are held to the codes
        url = paths(d, rng, path, names)
        query = []
        headers: dict[str, Any] = {}
        for param in op.get("parameters", ()):
            if rng.random() < 0.5:
                continue
            value = "*" if param["in"] == "header" else "true" if "run" in param["name"] else "1"
            if rng.random() < 0.4:
                value = rng.choice(["false", "10", "-1", "x", "", "9" * 20, "%ff", '"x.1"'])
            if param["in"] == "query" and param["name"] != "wait_s":
                query.append(f"{param['name']}={value}")
            elif param["in"] == "header":
                headers[param["name"]] = value
        body: object = None
        if "requestBody" in op:
            body = rng.choice(
                [
                    spoilt(rng, document("mine"), 0.02),
                    spoilt(rng, document(f"{MARK}-name")),
                    {"role": rng.choice(["caller", "viewer", "admin", "operator", 7])},
                    {"to": rng.choice([1, 2, 10**20, "x"])},
                    {"title": rng.choice(ODD)},
                    document("mine", title=str(rng.random())),
                    {"address": "127.0.0.1:7"},
                    rng.choice(ODD),
                ]
            )
        if who == "operator" and method == "delete" and rng.random() < 0.9:
            return  # or nothing would be left to ask for
        response = await d.call(
            method.upper(),
            url + ("?" + "&".join(query) if query else ""),
            body,
            token=tokens[who],
            **headers,
        )
        codes[who, response.status_code] += 1
        told = f"{who} {method} {url} {query} {headers} {str(body)[:200]}: {response.text[:300]}"
        assert response.status_code < 500, told
        assert str(response.status_code) in op["responses"], told
        if response.status_code >= 400:
            assert response.headers["content-type"] == "application/problem+json", told
        if who != "operator":
            sent = f"{url} {query} {headers} {body!r}"
            back = response.text + str(response.headers)
            if MARK not in sent:
                assert MARK not in back, told
            else:
                # What one has sent oneself may come back; nothing that one has not.
                for word in re.findall(rf"{MARK}[ -]?\w*", back):
                    assert word in sent, told
        if who in ("nobody", "", "caller"):
            assert response.status_code in (401, 429, 404, 405), told

    async def test(d: Desk) -> None:
        tokens = await marked(d)
        for _ in range(25):
            for path, methods in described.items():
                for method, op in methods.items():
                    await one(d, tokens, path, method, op)
                    if "mine" not in d.admin.registry.names:
                        await d.must("POST", "/v1/tenants", document("mine"))
                        tokens["admin"] = await d.key("mine", "admin")
        # It is not that everything is turned away at the first look.
        for who, code in (("admin", 200), ("admin", 422), ("admin", 404), ("operator", 200)):
            assert codes[who, code] >= 3, codes

    run(tmp_path, test)


def test_what_is_not_yours_and_what_is_not_there_get_the_same_answer_to_the_byte(
    tmp_path: Path,
) -> None:
    async def test(d: Desk) -> None:
        tokens = await marked(d)
        keys = d.admin.registry.keys_of[d.admin.registry.names[f"{MARK}-name"]]
        seen = 0
        for op in OPERATIONS:
            if "{tenant}" not in op.path:
                continue
            for role in ("admin", "viewer"):
                answers = []
                for name, key in ((f"{MARK}-name", min(keys)), ("no-such-name", "none")):
                    url = op.path.replace("{tenant}", name).replace("{key}", key)
                    url = url.replace("{version}", "1").replace("{name}", f"{MARK}-s")
                    body = document(name) if op.body is not None else None
                    response = await d.call(op.method, url, body, token=tokens[role], match="*")
                    answers.append((response.status_code, response.content, dict(response.headers)))
                assert answers[0] == answers[1] and answers[0][0] == 404, op.name
                seen += 1
        assert seen > 30
        # One of one's own tenant's paths, with another's key or none.
        other = await d.call("DELETE", f"/v1/tenants/mine/keys/{min(keys)}", token=tokens["admin"])
        none = await d.call("DELETE", "/v1/tenants/mine/keys/none", token=tokens["admin"])
        assert (other.status_code, other.content) == (none.status_code, none.content)
        # Without a key the answer says nothing of what is there at all.
        answers2 = {
            (r.status_code, r.content)
            for path in ("/v1/tenants/mine", "/v1/tenants/none", "/v1/nothing", "/")
            for r in [await d.call("GET", path, token="")]
        }
        assert len(answers2) == 1

    run(tmp_path, test)


def test_a_key_of_callers_opens_nothing_here(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        tokens = await marked(d)
        problem(await d.call("GET", "/v1/tenants", token=tokens["caller"]), 401, "unauthorized")
        await d.must("DELETE", "/v1/tenants/mine/keys/" + tokens["viewer"].split("_")[1])
        problem(await d.call("GET", "/v1/tenants", token=tokens["viewer"]), 401, "unauthorized")

    run(tmp_path, test)


# ---- the description ----


def test_the_description_is_what_the_code_serves(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        told = await d.must("GET", "/v1/openapi.json")
        assert told == json.loads(json.dumps(description())) and told["openapi"] == "3.1.0"
        served = {
            (route.path, method)
            for route in d.api.app.routes
            if isinstance(route, Route)
            for method in (route.methods or set()) - {"HEAD"}
        }
        described = {(p, m.upper()) for p, ops in told["paths"].items() for m in ops}
        assert served == described
        names = [op["operationId"] for ops in told["paths"].values() for op in ops.values()]
        assert len(names) == len(set(names))
        for path, ops in told["paths"].items():
            for op in ops.values():
                inside = {p["name"] for p in op.get("parameters", ()) if p["in"] == "path"}
                assert inside == set(re.findall(r"\{(\w+)\}", path))
                body = op.get("requestBody", {}).get("content", {})
                for media in body.values():
                    if "$ref" not in media["schema"]:
                        Draft202012Validator.check_schema(media["schema"])
        Draft202012Validator.check_schema(told["components"]["schemas"]["Tenant"])

    run(tmp_path, test)


# ---- crashes between API, store and feed ----


@pytest.mark.parametrize("number", range(1, 9))
def test_a_crash_at_any_operation_of_the_disk_keeps_what_was_reported_and_no_half(
    tmp_path: Path, number: int
) -> None:
    """What follows is told after the restart what the API says, and never what was not durable."""
    disk = Disk()
    reported = {"version": 0}
    told: list[dict[str, Any]] = []

    async def before(d: Desk) -> None:
        await d.must("POST", "/v1/tenants", document())
        reported["version"] = 1
        d.admin.feed.publish = (  # type: ignore[method-assign]
            lambda seq, uid, view: told.append(view or {})
        )
        base = disk.count

        def step(count: int, _what: str) -> None:
            if count >= base + number:  # and nothing more after it
                raise Crash

        disk.before = step
        for n in range(2, 6):
            response = await asyncio.wait_for(
                d.call("PUT", "/v1/tenants/cork", document(title=str(n)), match="*"), 5
            )
            if response.status_code == 200:
                reported["version"] = response.json()["version"]

    async def crashed() -> None:
        async with desk(tmp_path, disk) as d:
            await before(d)

    with contextlib.suppress(Crash, TimeoutError):
        asyncio.run(crashed())
    disk.before = lambda _n, _what: None
    after = disk.crashed(Random(number))

    async def recovered(d: Desk) -> None:
        registry = d.admin.registry
        tenant = registry.tenants[registry.names["cork"]]
        assert tenant.version >= reported["version"]
        assert all(view["version"] <= tenant.version for view in told)
        views = d.admin.views()[tenant.uid]
        assert views["version"] == tenant.version and views["document"] == tenant.document
        assert registry.history[tenant.uid][tenant.version]["document"] == tenant.document

    run(tmp_path, recovered, after)


def test_a_change_that_was_kept_and_never_told_is_told_by_the_next_process(tmp_path: Path) -> None:
    """It died between the store and the feed; the other way round there is no such change."""
    disk = Disk()

    async def dies(d: Desk) -> None:
        await d.must("POST", "/v1/tenants", document())

        def publish(*_: object) -> None:
            raise Crash

        d.admin.feed.publish = publish  # type: ignore[method-assign, assignment]
        with pytest.raises(Crash):
            await d.call("PATCH", "/v1/tenants/cork", {"title": "x"}, match="*")

    run(tmp_path, dies, disk)

    async def lives(d: Desk) -> None:
        await d.admin.feed.start()
        follower = Follower(d.admin.feed.path, "w", lambda uid, view: None)
        task = asyncio.create_task(follower.run())
        await follower.ready.wait()
        (view,) = follower.views.values()
        assert (view["version"], view["document"]["title"]) == (2, "x")
        assert follower.seq == d.admin.registry.seq
        task.cancel()
        d.admin.feed.close()

    run(tmp_path, lives, disk.crashed(Random(1)))


def test_a_full_disk_refuses_changes_and_takes_them_again(tmp_path: Path) -> None:
    disk = Disk()

    async def test(d: Desk) -> None:
        await d.must("POST", "/v1/tenants", document())
        disk.room = disk.used()
        response = await d.call("PATCH", "/v1/tenants/cork", {"title": "x"}, match="*")
        problem(response, 503, "unavailable")
        assert (await d.must("GET", "/v1/tenants/cork"))["version"] == 1
        assert not d.admin.failed.is_set()
        disk.room = None
        assert (await d.must("PATCH", "/v1/tenants/cork", {"title": "x"}))["version"] == 2

    run(tmp_path, test, disk)


def test_a_follower_that_comes_back_is_told_all_that_it_missed(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        await d.admin.feed.start()
        seen: list[tuple[str, Any]] = []
        follower = Follower(d.admin.feed.path, "w", lambda uid, view: seen.append((uid, view)))
        task = asyncio.create_task(follower.run())
        await follower.ready.wait()
        made = await d.must("POST", "/v1/tenants", document())
        assert made["in_force"] and len(follower.views) == 1
        d.admin.feed.close()
        for writer in list(d.admin.feed._writers.values()):
            writer.transport.abort()
        await d.must("PATCH", "/v1/tenants/cork", {"title": "x"})
        await d.must("POST", "/v1/tenants", document("sligo"))
        await d.must("DELETE", "/v1/tenants/cork")
        await d.admin.feed.start()
        for _ in range(500):
            names = [v["document"]["name"] for v in follower.views.values()]
            if names == ["sligo"]:
                break
            await asyncio.sleep(0.01)
        assert names == ["sligo"] and [view for _, view in seen].count(None) == 1
        task.cancel()
        d.admin.feed.close()

    run(tmp_path, test)


def test_news_that_can_not_be_taken_are_one_tenants_trouble(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        await d.admin.feed.start()
        taken: list[str] = []

        def changed(uid: str, view: dict[str, Any] | None) -> None:
            assert view is not None
            if view["document"]["name"] == "bad":
                raise KeyError("no such thing")
            taken.append(view["document"]["name"])

        follower = Follower(d.admin.feed.path, "w", changed)
        task = asyncio.create_task(follower.run())
        await follower.ready.wait()
        for name in ("bad", "good"):
            assert (await d.must("POST", "/v1/tenants", document(name)))["in_force"]
        assert taken == ["good"] and not task.done() and follower.links == 1
        task.cancel()
        d.admin.feed.close()

    run(tmp_path, test)


def test_a_change_is_not_called_in_force_while_a_follower_is_behind(tmp_path: Path) -> None:
    async def test(d: Desk) -> None:
        await d.admin.feed.start()
        reader, writer = await asyncio.open_unix_connection(d.admin.feed.path)
        hello = b'{"hello":"slow"}'
        writer.write(len(hello).to_bytes(4, "big") + hello)
        await reader.readexactly(4)
        made = await d.must("POST", "/v1/tenants", document())
        assert made["in_force"] is False
        writer.close()
        d.admin.feed.close()

    run(tmp_path, test)


def test_the_feeds_folder_is_a_sockets_place(tmp_path: Path) -> None:
    """A path that a dead process left is taken over."""
    path = tmp_path / "feed.sock"
    left = socket.socket(socket.AF_UNIX)
    left.bind(str(path))
    left.close()

    async def test(d: Desk) -> None:
        await d.admin.feed.start()
        d.admin.feed.close()

    run(tmp_path, test)


def test_a_fault_of_the_program_is_in_its_log_and_not_in_the_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(*_words: object) -> None:
        raise RuntimeError("nobody foresaw this")

    async def test(d: Desk) -> None:
        monkeypatch.setattr(Api, "_check", broken)
        answer = await d.call("GET", "/v1/tenants")
        assert answer.status_code == 500 and answer.content == b""
        assert (await d.call("GET", "/v1/nothing")).status_code == 404

    run(tmp_path, test)
    told = capsys.readouterr().err
    assert told.startswith("admin: GET /v1/tenants: Traceback") and "nobody foresaw this" in told
