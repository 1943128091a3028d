"""From a machine's settings to what its supervisor binds and starts. Pure."""

from __future__ import annotations

from tansywood.distribution.settings import DistributionSettings, Role
from tansywood.fleet.settings import FleetSettings
from tansywood.service.layout import Layout, PartLayout, SocketWord
from tansywood.service.settings import ServiceSettings

_LEAN = "tansywood.service.lean"  # starts what the next word names, in less memory


def lay_out(settings: ServiceSettings) -> Layout:
    """The parts that a machine of this role has, in the order in which they are started."""
    role = settings.role
    parts: list[PartLayout] = []
    if role in (None, Role.PUBLISHER):
        parts.append(_administration(settings))
    if role is Role.DISTRIBUTOR:
        parts.append(_distributor(settings))
    if role is Role.NODE:
        parts.append(_agent(settings))
    serves = role in (None, Role.NODE)
    if serves:
        parts += _traffic_side(settings)
    admin = settings.admin
    return Layout(
        run=str(settings.run),
        listeners={n: (a.host, a.port) for n, a in settings.listeners.items()} if serves else {},
        admin=(admin.host, admin.port) if admin is not None else None,
        parts=tuple(parts),
        role=_role_words(settings.distribution),
    )


def _administration(settings: ServiceSettings) -> PartLayout:
    """The API, its store and its feed; a publisher's speaks with distributors as well."""
    words: list[str | SocketWord] = [str(settings.run), str(settings.store), SocketWord(None)]
    words.append(str(settings.admin_rate_per_s))
    words += [f"--listener={name}" for name in settings.listeners]
    words += _iso(settings)
    if settings.distribution is not None:
        words.append(f"--publish={settings.distribution.listen}")
        words += _identity(settings.distribution)
    return PartLayout("admin", "tansywood.admin", tuple(words))


def _distributor(settings: ServiceSettings) -> PartLayout:
    d = settings.distribution
    assert d is not None
    words = [str(settings.run), d.listen, *_identity(d)]
    words += [f"--publisher={address}" for address in d.publisher]
    return PartLayout("distributor", "tansywood.service.distributor", tuple(words))


def _agent(settings: ServiceSettings) -> PartLayout:
    """What follows a distributor in the place of an administration."""
    d = settings.distribution
    assert d is not None
    words = ["tansywood.service.agent", str(settings.run), d.instance, d.fleet, str(d.key_file)]
    words += [f"--control={address}" for address in d.control]
    words += [f"--listener={name}" for name in settings.listeners]
    words += [f"--tenants={d.tenants}", f"--idle-s={d.idle_s}"]
    return PartLayout("agent", _LEAN, tuple(words))


def _traffic_side(settings: ServiceSettings) -> list[PartLayout]:
    """Door and workers, and the fleet's process where there is a fleet."""
    run = str(settings.run)
    workers = [f"worker-{i}" for i in range(settings.workers)]
    parts = []
    of_worker = [str(settings.records), *_iso(settings)]
    if settings.fleet is not None:
        parts.append(_fleet(settings, settings.fleet))
        of_worker.append(f"--fleet={len(settings.fleet.first)}:{settings.fleet.index}")
    parts += [PartLayout(n, "tansywood.service.worker", (run, n, *of_worker)) for n in workers]
    door: tuple[str | SocketWord, ...] = (
        run,
        *(SocketWord(name, f"--listener={name}=") for name in settings.listeners),
        *(f"--worker={name}" for name in workers),
        *_iso(settings),
    )
    return [*parts, PartLayout("door", "tansywood.service.door", door)]


def _fleet(settings: ServiceSettings, fleet: FleetSettings) -> PartLayout:
    words = ["tansywood.service.fleet", str(settings.run), fleet.name, fleet.instance]
    words += [fleet.address, str(fleet.key_file), fleet.zone]
    words += [f"--first={address}" for address in fleet.first]
    words += [f"--voter={name}" for name in fleet.voters]
    words += [f"--lease-ms={fleet.lease_ms}", f"--promises={settings.promises}"]
    words += ["--hand-on"] if fleet.hand_on else []
    return PartLayout("fleet", _LEAN, tuple(words))


def _iso(settings: ServiceSettings) -> list[str]:
    return [f"--iso-listener={name}" for name in sorted(settings.iso_listeners)]


def _identity(distribution: DistributionSettings) -> list[str]:
    """How a control machine's process is told who it is in the fleet."""
    return [
        f"--fleet={distribution.fleet}",
        f"--instance={distribution.instance}",
        f"--key-file={distribution.key_file}",
    ]


def _role_words(distribution: DistributionSettings | None) -> str:
    if distribution is None:
        return ""
    if distribution.role is Role.NODE:
        return f"configuration from {len(distribution.control)} control addresses"
    return f"{distribution.role.value} at {distribution.listen}"
