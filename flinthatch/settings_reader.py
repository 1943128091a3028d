"""Reads JSON settings key by key, with errors that name the key and the value that is wanted there.

A value of null counts as missing: some writers of settings write absent values so. Times are
integer nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

MAX_NUMBER = 1 << 53  # bound of every number in settings: a hundred days in nanoseconds
T = TypeVar("T")


class InvalidSettingError(ValueError):
    """A setting that can't be used; the text names its key and the value that is wanted there."""


def format_value(value: object) -> str:
    """The value as errors show it, cut to 60 characters."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class SettingsObject:
    """A JSON object of the settings and its path, such as `settings.classes[1]`.

    Each reader takes a key, and raises InvalidSettingError for a value of another type or outside
    its bounds, or where the key is missing and has no default.
    """

    __slots__ = ("path", "raw")

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, Mapping):
            raise InvalidSettingError(
                f"{path} is {format_value(raw)}: an object with its keys is wanted"
            )
        self.raw = raw
        self.path = path

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def has(self, key: str) -> bool:
        """Whether the key is there and its value is not null."""
        return self.raw.get(key) is not None

    def value(self, key: str) -> Any:
        """The value of a required key, of any type."""
        if not self.has(key):
            raise InvalidSettingError(f"{self.path_of(key)} is missing: it has no default")
        return self.raw[key]

    def number(
        self,
        key: str,
        default: float | None = None,
        minimum: float = 0,
        maximum: float = MAX_NUMBER,
    ) -> float:
        """A finite number within these bounds; the key is required without a default."""
        if default is not None and not self.has(key):
            return default
        value = self.value(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(value)}: a number is wanted"
            )
        if not (math.isfinite(value) and minimum <= value <= maximum):
            bounds = f"from {minimum:g} to {maximum:g}"
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(value)}: a number {bounds} is wanted"
            )
        return float(value) if isinstance(value, float) else value

    def integer(
        self, key: str, default: int | None = None, minimum: int = 0, maximum: int = MAX_NUMBER
    ) -> int:
        """A number within these bounds, with its fraction cut off."""
        return int(self.number(key, default, minimum, maximum))

    def boolean(self, key: str, default: bool = False) -> bool:
        if not self.has(key):
            return default
        value = self.value(key)
        if not isinstance(value, bool):
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(value)}: true or false is wanted"
            )
        return value

    def string(self, key: str, default: str | None = None) -> str:
        """A string that is not empty; the key is required without a default."""
        if default is not None and not self.has(key):
            return default
        value = self.value(key)
        if not isinstance(value, str) or not value:
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(value)}: a word is wanted"
            )
        return value

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        """The choice that the key's value names; the key is required without a default."""
        name = self.string(key, default)
        if name not in choices:
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(name)}: "
                f"one of {', '.join(choices)} is wanted"
            )
        return choices[name]

    def child(self, key: str, required: bool = False) -> SettingsObject:
        """The object at this key; an empty one where an optional key is missing."""
        raw = self.value(key) if required or self.has(key) else {}
        return SettingsObject(raw, self.path_of(key))

    def strings(self, key: str) -> tuple[str, ...]:
        """A list of strings; numbers that serve as names become strings. Empty where missing."""
        raw = self.raw[key] if self.has(key) else []
        if not isinstance(raw, list) or not all(isinstance(item, str | int) for item in raw):
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(raw)}: a list of words is wanted"
            )
        return tuple(str(item) for item in raw)

    def children(self, key: str, required: bool = False) -> Iterator[SettingsObject]:
        """The objects of a list; none where an optional key is missing.

        Their names differ; an object without a name is named by its index.
        """
        raw = self.value(key) if required or self.has(key) else []
        if not isinstance(raw, list):
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(raw)}: a list of objects is wanted"
            )
        paths_by_name: dict[object, str] = {}
        for i, item in enumerate(raw):
            child = SettingsObject(item, f"{self.path_of(key)}[{i}]")
            name = child.string("name", str(i))
            if name in paths_by_name:
                raise InvalidSettingError(
                    f"{child.path_of('name')} is {format_value(name)}, as in {paths_by_name[name]}"
                )
            paths_by_name[name] = child.path
            yield child
