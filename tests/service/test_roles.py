"""What a service's file may say of its part in the distribution of configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tansywood.distribution.settings import DEFAULT_IDLE_S, DEFAULT_MAX_TENANTS, Role
from tansywood.service.settings import faults, load

SERVICE = {"run": "run", "store": "state"}
LISTENERS = [{"name": "public", "address": "127.0.0.1:8080"}]
ADMIN = {"address": "127.0.0.1:8081"}
COMMON = {"fleet": "f", "instance": "m1", "key_file": "fleet.key"}
LISTEN = "127.0.0.1:9000"
OTHER = "127.0.0.1:9001"

PUBLISHER: dict[str, Any] = {
    "service": SERVICE,
    "listeners": LISTENERS,
    "admin": ADMIN,
    "distribution": COMMON | {"role": "publisher", "listen": LISTEN},
}
DISTRIBUTOR: dict[str, Any] = {
    "service": {"run": "run"},
    "distribution": COMMON | {"role": "distributor", "listen": LISTEN, "publisher": [OTHER]},
}
NODE: dict[str, Any] = {
    "service": SERVICE,
    "listeners": LISTENERS,
    "distribution": COMMON | {"role": "node", "control": [LISTEN, OTHER]},
}


def said(raw: dict[str, Any]) -> list[str]:
    return [str(fault) for fault in faults(raw, Path("/tmp"))]


@pytest.mark.parametrize("raw", [PUBLISHER, DISTRIBUTOR, NODE], ids=["pub", "dist", "node"])
def test_each_role_needs_its_sections_and_no_others(raw: dict[str, Any]) -> None:
    assert said(raw) == []


def test_without_a_role_all_sections_of_one_machine_are_wanted() -> None:
    assert said({"service": {"run": "run"}}) == [
        "/admin: is missing",
        "/listeners: is missing",
        "/service/store: is missing",
    ]
    assert "/service: is missing" in said({})


@pytest.mark.parametrize(
    ("raw", "over", "place"),
    [
        (NODE, {"control": None}, "/distribution/control: is missing: a node needs it"),
        (NODE, {"listen": LISTEN}, "/distribution/listen: is not for a node"),
        (DISTRIBUTOR, {"publisher": None}, "/distribution/publisher: is missing"),
        (DISTRIBUTOR, {"tenants": 5}, "/distribution/tenants: is not for a distributor"),
        (PUBLISHER, {"listen": None}, "/distribution/listen: is missing"),
        (PUBLISHER, {"listen": ADMIN["address"]}, "/distribution/listen: "),
        (NODE, {"control": [LISTEN, LISTEN]}, "/distribution/control: "),
        (NODE, {"role": "oracle"}, "/distribution/role: "),
        (NODE, {"tenants": 0}, "/distribution/tenants: "),
    ],
)
def test_a_wrong_section_is_told_with_its_place(
    raw: dict[str, Any], over: dict[str, Any], place: str
) -> None:
    section = {k: v for k, v in (raw["distribution"] | over).items() if v is not None}
    assert any(text.startswith(place) for text in said(raw | {"distribution": section}))


def test_sections_that_are_not_for_a_role_are_told() -> None:
    assert any(t.startswith("/admin: is not for a node") for t in said(NODE | {"admin": ADMIN}))
    found = said(DISTRIBUTOR | {"listeners": LISTENERS, "admin": ADMIN})
    assert [text.partition(":")[0] for text in found] == ["/admin", "/listeners"]


def test_a_nodes_file_is_read_with_its_defaults(tmp_path: Path) -> None:
    path = tmp_path / "service.toml"
    path.write_text(
        '[service]\nrun = "run"\nstore = "state"\n'
        '[[listeners]]\nname = "public"\naddress = "127.0.0.1:0"\n'
        '[distribution]\nrole = "node"\nfleet = "f"\ninstance = "m1"\nkey_file = "fleet.key"\n'
        f'control = ["{LISTEN}"]\n'
    )
    settings = load(str(path))
    assert settings.role is Role.NODE
    assert settings.admin is None
    assert settings.distribution is not None
    assert (settings.distribution.tenants, settings.distribution.idle_s) == (
        DEFAULT_MAX_TENANTS,
        DEFAULT_IDLE_S,
    )
    assert settings.distribution.key_file == tmp_path / "fleet.key"
