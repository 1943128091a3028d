"""What a node is told at its start, checked once and frozen."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from flinthatch import Settings
from flinthatch.drill import WireError, settings_from_json

DEFAULT_MEMORY_MB = 128
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64


class ConfigError(Exception):
    """The environment or the configuration can't be used; the text says why."""


class Address(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """Times in nanoseconds, as everywhere in the node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle_close: int
    max_open: int
    reports: bool
    raw: dict[str, Any]  # the file's words, without the list of backends
    mgmt: Address | None = None  # where the operators' calls come


def parse_address(text: object) -> Address:
    """Split "host:port"; ValueError on anything else. Port 0 lets the kernel choose."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is no host:port")
    return Address(host, int(port))


def load(environ: Mapping[str, str]) -> Config:
    """Read the file named by PROXY_CONFIG; the other variables go before what it says."""
    return _load(environ, ("name", "listen", "discovery", "mgmt"))


def reload(environ: Mapping[str, str], old: Config) -> tuple[Config, list[str]]:
    """Read the file anew: what a running node takes over, and what it can't.

    It takes discovery's address and the limits. The environment is that of the start,
    so the file goes before what it says of discovery. Requests under way hang on the
    settings (classes by number, rules, zones), so these wait for a restart, and
    `known` is older than the list in hand.
    """
    new = _load(environ, ("name", "listen"))
    kept = [key for key, value in new.raw.items() if value != old.raw[key]]
    config = replace(old, discovery=new.discovery, memory_mb=new.memory_mb, sockets=new.sockets)
    return config, kept


def _load(environ: Mapping[str, str], told: tuple[str, ...]) -> Config:
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as err:
        raise ConfigError(f"can't read {path}: {err.strerror}") from None
    except ValueError as err:
        raise ConfigError(f"{path} is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path} is not a JSON object")
    for key in told:
        raw[key] = environ.get(f"PROXY_{key.upper()}") or raw.get(key)
    try:
        return _config(raw)
    except KeyError as err:
        raise ConfigError(f"the configuration lacks {err.args[0]!r}") from None
    except WireError as err:
        raise ConfigError(str(err)) from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"the configuration holds an unusable value: {err}") from None


def _config(raw: dict[str, Any]) -> Config:
    for key in ("name", "listen", "discovery"):
        if not raw.get(key):
            raise KeyError(key)
    limits = raw.get("limits", {})
    settings = raw["settings"]
    known = raw.get("known") or {"rev": 0, "all": True, "targets": []}
    if not isinstance(known, dict):
        raise ValueError("known is no list of backends")
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise ValueError(f"sockets must be at least {MIN_SOCKETS}")
    return Config(
        name=str(raw["name"]),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(str(raw.get("seed", "0")), 16),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        sockets=sockets,
        known=known,
        settings=settings_from_json(json.dumps(settings).encode()),
        zones=tuple(str(z) for z in settings.get("areas", ())),
        kinds=tuple(str(k) for k in settings.get("skus", ())),
        idle_close=int(settings.get("limits", {}).get("idle_close", 15_000_000_000)),
        max_open=int(settings.get("limits", {}).get("open_cap", 20_000)),
        reports=settings.get("load_info", {}).get("how", "off") != "off",
        raw={key: raw.get(key) for key in ("name", "listen", "settings")},
        mgmt=parse_address(raw["mgmt"]) if raw.get("mgmt") else None,
    )
