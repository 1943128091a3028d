"""Views as resources: a view that can't be encoded or decoded names its tenant and the reason."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tansywood.distribution.messages import MAX_BODY_BYTES, Kind
from tansywood.distribution.resources import ViewError, aliases_of, decode, encode
from tests.tenancy.documents import document


def make_view(**overrides: Any) -> dict[str, Any]:
    tenant_document = document(
        "cork", callers={"hosts": ["cork.example.org"], "listeners": ["public"]}
    )
    return {
        "uid": "u1",
        "status": "active",
        "version": 3,
        "document": tenant_document,
        "since": 0,
        "keys": [{"id": "key1"}],
    } | overrides


def test_a_view_survives_encoding_and_has_every_alias() -> None:
    resource = encode("u1", 7, make_view())
    assert decode("u1", resource.body) == make_view()
    assert resource.revision == 7 and resource.kind is Kind.CONTENT
    assert sorted(resource.aliases) == ["h:cork.example.org", "k:key1", "l:public", "n:cork"]
    assert list(aliases_of(make_view())) == resource.aliases


def test_a_missing_view_is_encoded_as_a_removal() -> None:
    resource = encode("u1", 7, None)
    assert resource.kind is Kind.REMOVED and not resource.body


def test_an_oversize_view_is_refused_with_its_tenant_and_the_limit() -> None:
    large = make_view(document=document("cork", note="x" * MAX_BODY_BYTES))
    with pytest.raises(ViewError, match=f"tenant u1: .* bytes, {MAX_BODY_BYTES} at most"):
        encode("u1", 7, large)


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"", "can't be read"),
        (b"[]", "can't be read"),
        (b"{", "can't be read"),
        (b"{}", "can't be read"),
        (msgspec.json.encode(make_view())[:-1], "can't be read"),
        (msgspec.json.encode(make_view(uid="u2")), "it is the view of u2"),
        (msgspec.json.encode(make_view(document={})), "can't be read"),
        (msgspec.json.encode(make_view(document=None)), "can't be read"),
        (
            msgspec.json.encode(make_view(document={"name": "n", "classes": [], "servers": []})),
            "can't be read",
        ),
        (
            msgspec.json.encode({k: v for k, v in make_view().items() if k != "keys"}),
            "lacks status, version, since or keys",
        ),
    ],
)
def test_an_invalid_body_is_refused_with_its_tenant_and_the_reason(
    body: bytes, reason: str
) -> None:
    with pytest.raises(ViewError, match=f"tenant u1: .*{reason}"):
        decode("u1", body)
