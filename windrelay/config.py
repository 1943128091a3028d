"""What a node is told at its start, checked once and frozen."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from flinthatch import Settings
from flinthatch.settings_reader import InvalidSettingError, SettingsObject, format_value
from flinthatch.simulator_adapter import ProtocolError, settings_from_json

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
    max_descriptors: int
    initial_list: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    backend_idle_timeout: int
    max_open_requests: int
    load_reports_enabled: bool
    raw: dict[str, Any]  # the file's words but for the list of backends; for the next reload
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
    """Read the file anew: what a running node goes on under, and what waits for a restart.

    It is taken whole or turned down whole, with ConfigError. The environment is that of the
    start, so the file goes before what it says of discovery. `known` is older than the list in
    hand, and the addresses in use stay.
    """
    new = _load(environ, ("name", "listen", "mgmt"))
    _compare(new.raw, old.raw, "")
    kept = [key for key in ("name", "listen", "mgmt") if getattr(new, key) != getattr(old, key)]
    config = replace(
        new,
        name=old.name,
        listen=old.listen,
        mgmt=old.mgmt,
        seed=old.seed,
        initial_list=old.initial_list,
    )
    return config, kept


MAY_LACK = frozenset(("aim_stretch",))


def _compare(new: Any, old: Any, place: str) -> None:
    """ConfigError where a key is gone that the file in force has: it was cut, or is another's."""
    if isinstance(old, dict):
        if not isinstance(new, dict):
            raise ConfigError(f"{place or 'the file'} is no object any more")
        for key, value in old.items():
            at = f"{place}.{key}" if place else key
            if key not in new or (new[key] is None and value is not None):
                raise ConfigError(f"the configuration lacks {at!r}")
            _compare(new[key], value, at)
    elif isinstance(old, list) and old and all(isinstance(row, dict) for row in old):
        # Rows come and go; what all of them had, each has.
        common = set.intersection(*(set(row) for row in old)) - MAY_LACK
        for i, row in enumerate(new if isinstance(new, list) else ()):
            lacking = sorted(common - set(row)) if isinstance(row, dict) else sorted(common)
            if lacking:
                raise ConfigError(f"the configuration lacks {f'{place}[{i}].{lacking[0]}'!r}")


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
    words = raw | {"known": None}
    for key in told:
        raw[key] = environ.get(f"PROXY_{key.upper()}") or raw.get(key)
    try:
        return _config(SettingsObject(raw, ""), words)
    except (InvalidSettingError, ProtocolError) as err:
        raise ConfigError(f"{path}: {err}") from None


def _address(raw: SettingsObject, key: str) -> Address:
    text = raw.value(key)
    try:
        return parse_address(text)
    except ValueError:
        raise InvalidSettingError(
            f"{raw.path_of(key)} is {format_value(text)}: host:port is wanted"
        ) from None


def _seed(raw: SettingsObject) -> int:
    word = raw.raw.get("seed") or "0"
    try:
        return int(str(word), 16)
    except ValueError:
        raise InvalidSettingError(
            f"{raw.path_of('seed')} is {format_value(word)}: hexadecimal is wanted"
        ) from None


def _config(raw: SettingsObject, words: dict[str, Any]) -> Config:
    limits = raw.child("limits")
    settings = raw.child("settings", required=True)
    theirs = settings.child("limits")
    initial_list = raw.raw.get("known") or {"rev": 0, "all": True, "targets": []}
    return Config(
        name=raw.string("name"),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        seed=_seed(raw),
        memory_mb=limits.integer("memory_mb", DEFAULT_MEMORY_MB, minimum=1),
        max_descriptors=limits.integer("sockets", DEFAULT_SOCKETS, minimum=MIN_SOCKETS),
        initial_list=dict(SettingsObject(initial_list, "known").raw),
        settings=settings_from_json(json.dumps(settings.raw).encode()),
        zones=settings.strings("areas"),
        kinds=settings.strings("skus"),
        backend_idle_timeout=theirs.integer("idle_close", 15_000_000_000),
        max_open_requests=theirs.integer("open_cap", 20_000, minimum=1),
        load_reports_enabled=settings.child("load_info").string("how", "off") != "off",
        raw=words,
        mgmt=_address(raw, "mgmt") if raw.raw.get("mgmt") else None,
    )
