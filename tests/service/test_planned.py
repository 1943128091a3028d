"""Which parts a machine has by its settings, and what each of them is told."""

from __future__ import annotations

from pathlib import Path

from tansywood.distribution.settings import DistributionSettings, Role
from tansywood.fleet.settings import FleetSettings
from tansywood.service.layout import PartLayout, SocketWord
from tansywood.service.planned import lay_out
from tansywood.service.settings import ServiceSettings
from windrelay.config import Address

KEY = Path("/tmp/fleet.key")
FLEET = FleetSettings(
    "topup", "n1", "10.0.0.1:7000", ("10.0.0.9:7000", "10.0.0.1:7000"), KEY, "west"
)


def settings(
    distribution: DistributionSettings | None = None,
    fleet: FleetSettings | None = None,
    iso: frozenset[str] = frozenset(),
    admin: Address | None = None,
) -> ServiceSettings:
    listeners = {"public": Address("10.0.0.1", 8080), "cards": Address("10.0.0.1", 8090)}
    run, store = Path("/run/tw"), Path("/var/tw/state")
    return ServiceSettings(run, store, 2, listeners, admin, 50.0, iso, fleet, distribution)


def distribution(role: Role, **over: object) -> DistributionSettings:
    words = {"role": role, "fleet": "topup", "instance": "n1", "key_file": KEY} | over
    return DistributionSettings(**words)  # type: ignore[arg-type]


def names(parts: tuple[PartLayout, ...]) -> list[str]:
    return [part.name for part in parts]


def test_one_machine_has_its_own_administration_and_serves() -> None:
    made = lay_out(settings(admin=Address("127.0.0.1", 8081)))
    assert names(made.parts) == ["admin", "worker-0", "worker-1", "door"]
    assert made.admin == ("127.0.0.1", 8081)
    assert made.listeners == {"public": ("10.0.0.1", 8080), "cards": ("10.0.0.1", 8090)}
    assert made.role == ""
    admin, worker, _, door = made.parts
    assert admin.module == "tansywood.admin"
    assert admin.words == (
        "/run/tw", "/var/tw/state", SocketWord(None), "50.0", "--listener=public",
        "--listener=cards",
    )  # fmt: skip
    assert worker.words == ("/run/tw", "worker-0", "/var/tw/state-iso8583")
    assert door.words == (
        "/run/tw", SocketWord("public", "--listener=public="),
        SocketWord("cards", "--listener=cards="), "--worker=worker-0", "--worker=worker-1",
    )  # fmt: skip


def test_an_iso_listener_is_told_to_whoever_speaks_with_its_callers() -> None:
    admin = Address("127.0.0.1", 8081)
    made = lay_out(settings(iso=frozenset({"cards"}), admin=admin))
    assert all("--iso-listener=cards" in part.words for part in made.parts)


def test_a_node_has_an_agent_in_the_place_of_an_administration() -> None:
    node = distribution(Role.NODE, control=("10.0.1.1:7001", "10.0.1.2:7001"), tenants=300)
    made = lay_out(settings(node, FLEET))
    assert names(made.parts) == ["agent", "fleet", "worker-0", "worker-1", "door"]
    assert made.admin is None and made.listeners
    assert made.role == "configuration from 2 control addresses"
    agent, fleet, worker = made.parts[:3]
    assert agent.module == fleet.module == "tansywood.service.lean"
    assert agent.words == (
        "tansywood.service.agent", "/run/tw", "n1", "topup", "/tmp/fleet.key",
        "--control=10.0.1.1:7001", "--control=10.0.1.2:7001", "--listener=public",
        "--listener=cards", "--tenants=300", "--idle-s=600",
    )  # fmt: skip
    assert fleet.words == (
        "tansywood.service.fleet", "/run/tw", "topup", "n1", "10.0.0.1:7000", "/tmp/fleet.key",
        "west",
        "--first=10.0.0.9:7000", "--first=10.0.0.1:7000", "--lease-ms=4000",
        "--promises=/var/tw/state-lease",
    )  # fmt: skip
    assert worker.words[-1] == "--fleet=2:1"


def test_a_publisher_serves_nobody_and_names_listeners_without_binding_them() -> None:
    publisher = distribution(Role.PUBLISHER, listen="10.0.0.1:7000")
    made = lay_out(settings(publisher, admin=Address("127.0.0.1", 8081)))
    assert names(made.parts) == ["admin"] and made.listeners == {}
    assert made.role == "publisher at 10.0.0.1:7000"
    assert {"--listener=public", "--publish=10.0.0.1:7000", "--instance=n1"} <= set(
        made.parts[0].words
    )


def test_a_distributor_is_one_process() -> None:
    distributor = distribution(
        Role.DISTRIBUTOR, listen="10.0.0.2:7001", publisher=("10.0.0.1:7000",)
    )
    made = lay_out(settings(distributor))
    assert names(made.parts) == ["distributor"] and made.listeners == {} and made.admin is None
    assert made.parts[0].words == (
        "/run/tw", "10.0.0.2:7001", "--fleet=topup", "--instance=n1", "--key-file=/tmp/fleet.key",
        "--publisher=10.0.0.1:7000",
    )  # fmt: skip
