"""The configuration of a node: read and checked once at its start or reload, then immutable."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from flinthatch import Settings
from flinthatch.settings_reader import InvalidSettingError, SettingsObject, format_value
from flinthatch.simulator_adapter import ProtocolError, settings_from_json

DEFAULT_MEMORY_MB = 128
DEFAULT_MAX_DESCRIPTORS = 1024
LEAST_MAX_DESCRIPTORS = 64


class ConfigError(Exception):
    """The environment or the configuration file can't be used; the text says why."""


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a node; times are in nanoseconds, as everywhere in the node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    max_descriptors: int
    initial_list: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]  # hardware models that rows of the list name, by their numbers
    backend_idle_timeout: int
    max_open_requests: int
    load_reports_enabled: bool
    raw: dict[str, Any]  # the file's content without `known`; the next reload is compared with it
    mgmt: Address | None = None  # where management calls are accepted; None: nowhere


def parse_address(text: object) -> Address:
    """Split "host:port"; raises ValueError on anything else.

    With port 0 the kernel chooses a port.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is no host:port")
    return Address(host, int(port))


def load(environ: Mapping[str, str]) -> Config:
    """Read the file named by PROXY_CONFIG; the other PROXY_ variables take precedence over it.
    Raises ConfigError."""
    return _load_file(environ, ("name", "listen", "discovery", "mgmt"))


def reload(environ: Mapping[str, str], old: Config) -> tuple[Config, list[str]]:
    """Read the file again for a running node.

    Returns the configuration to adopt, and the keys whose new values need a restart. The file is
    adopted as a whole or rejected as a whole with ConfigError. The environment still holds the
    values of the start, so for `discovery` the file takes precedence over it. The file's `known`
    list is older than the node's current list and is ignored, and the addresses that the node
    listens on stay.
    """
    new = _load_file(environ, ("name", "listen", "mgmt"))
    _check_keys_kept(new.raw, old.raw, "")
    ignored_keys = [
        key for key in ("name", "listen", "mgmt") if getattr(new, key) != getattr(old, key)
    ]
    config = replace(
        new,
        name=old.name,
        listen=old.listen,
        mgmt=old.mgmt,
        seed=old.seed,
        initial_list=old.initial_list,
    )
    return config, ignored_keys


OPTIONAL_ROW_KEYS = frozenset(("aim_stretch",))


def _check_keys_kept(new: Any, old: Any, path: str) -> None:
    """Raise ConfigError where a key of the current file is missing in the new one.

    Such a file was truncated, or belongs to another node.
    """
    if isinstance(old, dict):
        if not isinstance(new, dict):
            raise ConfigError(f"{path or 'the file'} is not an object any more")
        for key, value in old.items():
            key_path = f"{path}.{key}" if path else key
            if key not in new or (new[key] is None and value is not None):
                raise ConfigError(f"the configuration lacks {key_path!r}")
            _check_keys_kept(new[key], value, key_path)
    elif isinstance(old, list) and old and all(isinstance(row, dict) for row in old):
        # Rows may be added and removed; every new row needs the keys that all the old rows have.
        common = set.intersection(*(set(row) for row in old)) - OPTIONAL_ROW_KEYS
        for i, row in enumerate(new if isinstance(new, list) else ()):
            missing = sorted(common - set(row)) if isinstance(row, dict) else sorted(common)
            if missing:
                raise ConfigError(f"the configuration lacks {f'{path}[{i}].{missing[0]}'!r}")


def _load_file(environ: Mapping[str, str], overridable_keys: tuple[str, ...]) -> Config:
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
    file_settings = raw | {"known": None}
    for key in overridable_keys:
        raw[key] = environ.get(f"PROXY_{key.upper()}") or raw.get(key)
    try:
        return _read_config(SettingsObject(raw, ""), file_settings)
    except (InvalidSettingError, ProtocolError) as err:
        raise ConfigError(f"{path}: {err}") from None


def _read_address(raw: SettingsObject, key: str) -> Address:
    text = raw.value(key)
    try:
        return parse_address(text)
    except ValueError:
        raise InvalidSettingError(
            f"{raw.path_of(key)} is {format_value(text)}: host:port is wanted"
        ) from None


def _read_seed(raw: SettingsObject) -> int:
    text = raw.raw.get("seed") or "0"
    try:
        return int(str(text), 16)
    except ValueError:
        raise InvalidSettingError(
            f"{raw.path_of('seed')} is {format_value(text)}: hexadecimal is wanted"
        ) from None


def _read_config(raw: SettingsObject, file_settings: dict[str, Any]) -> Config:
    limits = raw.child("limits")
    settings = raw.child("settings", required=True)
    settings_limits = settings.child("limits")
    initial_list = raw.raw.get("known") or {"rev": 0, "all": True, "targets": []}
    return Config(
        name=raw.string("name"),
        listen=_read_address(raw, "listen"),
        discovery=_read_address(raw, "discovery"),
        seed=_read_seed(raw),
        memory_mb=limits.integer("memory_mb", DEFAULT_MEMORY_MB, minimum=1),
        max_descriptors=limits.integer(
            "sockets", DEFAULT_MAX_DESCRIPTORS, minimum=LEAST_MAX_DESCRIPTORS
        ),
        initial_list=dict(SettingsObject(initial_list, "known").raw),
        settings=settings_from_json(json.dumps(settings.raw).encode()),
        zones=settings.strings("areas"),
        kinds=settings.strings("skus"),
        backend_idle_timeout=settings_limits.integer("idle_close", 15_000_000_000),
        max_open_requests=settings_limits.integer("open_cap", 20_000, minimum=1),
        load_reports_enabled=settings.child("load_info").string("how", "off") != "off",
        raw=file_settings,
        mgmt=_read_address(raw, "mgmt") if raw.raw.get("mgmt") else None,
    )
