"""Views as resources: what can't be encoded or read says where and why."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tansywood.distribution.messages import MAX_BODY_BYTES, Kind
from tansywood.distribution.resources import ViewError, aliases_of, decode, encode
from tests.tenancy.documents import document


def view(**over: Any) -> dict[str, Any]:
    made = document("cork", callers={"hosts": ["cork.example.org"], "listeners": ["public"]})
    return {
        "uid": "u1",
        "status": "active",
        "version": 3,
        "document": made,
        "since": 0,
        "keys": [{"id": "key1"}],
    } | over


def test_a_view_comes_through_and_its_aliases_are_all_it_is_asked_by() -> None:
    resource = encode("u1", 7, view())
    assert decode("u1", resource.body) == view()
    assert resource.revision == 7 and resource.kind is Kind.CONTENT
    assert sorted(resource.aliases) == ["h:cork.example.org", "k:key1", "l:public", "n:cork"]
    assert list(aliases_of(view())) == resource.aliases


def test_no_view_is_a_removal() -> None:
    resource = encode("u1", 7, None)
    assert resource.kind is Kind.REMOVED and not resource.body


def test_a_view_over_its_size_is_refused_with_the_tenant_and_the_bound() -> None:
    large = view(document=document("cork", note="x" * MAX_BODY_BYTES))
    with pytest.raises(ViewError, match=f"tenant u1: .* bytes, {MAX_BODY_BYTES} at most"):
        encode("u1", 7, large)


@pytest.mark.parametrize(
    ("body", "why"),
    [
        (b"", "can't be read"),
        (b"[]", "can't be read"),
        (b"{", "can't be read"),
        (b"{}", "can't be read"),
        (msgspec.json.encode(view())[:-1], "can't be read"),
        (msgspec.json.encode(view(uid="u2")), "it is the view of u2"),
        (msgspec.json.encode(view(document={})), "can't be read"),
        (msgspec.json.encode(view(document=None)), "can't be read"),
        (
            msgspec.json.encode(view(document={"name": "n", "classes": [], "servers": []})),
            "can't be read",
        ),
        (
            msgspec.json.encode({k: v for k, v in view().items() if k != "keys"}),
            "lacks status, version, since or keys",
        ),
    ],
)
def test_a_body_that_is_no_view_says_whose_and_why(body: bytes, why: str) -> None:
    with pytest.raises(ViewError, match=f"tenant u1: .*{why}"):
        decode("u1", body)
