"""Settings as JSON gives them, read key by key: an error names the place and what is wanted there.

A value of null counts as missing, as in settings that write absent values so. Times are integer
nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

MOST = 1 << 53  # what every number here stays under: a hundred days in nanoseconds
T = TypeVar("T")


class InvalidSettingError(ValueError):
    """A value that can't be used; the text names its place and what is wanted there."""


def format_value(value: object) -> str:
    """A value as an error shows it, cut where it is long."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class SettingsObject:
    """An object of the settings, and where it stands."""

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
        return self.raw.get(key) is not None

    def value(self, key: str) -> Any:
        """Raises Unusable where there is none."""
        if not self.has(key):
            raise InvalidSettingError(f"{self.path_of(key)} is missing: it has no default")
        return self.raw[key]

    def number(
        self, key: str, default: float | None = None, minimum: float = 0, maximum: float = MOST
    ) -> float:
        """A finite number within these bounds; without a default it has to be there."""
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
        self, key: str, default: int | None = None, minimum: int = 0, maximum: int = MOST
    ) -> int:
        """As `number`, without its fraction."""
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
        if default is not None and not self.has(key):
            return default
        value = self.value(key)
        if not isinstance(value, str) or not value:
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(value)}: a word is wanted"
            )
        return value

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        word = self.string(key, default)
        if word not in choices:
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(word)}: "
                f"one of {', '.join(choices)} is wanted"
            )
        return choices[word]

    def child(self, key: str, required: bool = False) -> SettingsObject:
        """The object at this key; an empty one where it may be missing and is."""
        raw = self.value(key) if required or self.has(key) else {}
        return SettingsObject(raw, self.path_of(key))

    def strings(self, key: str) -> tuple[str, ...]:
        """A list of words, or of numbers that are names; none where it is missing."""
        raw = self.raw[key] if self.has(key) else []
        if not isinstance(raw, list) or not all(isinstance(word, str | int) for word in raw):
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(raw)}: a list of words is wanted"
            )
        return tuple(str(word) for word in raw)

    def children(self, key: str, required: bool = False) -> Iterator[SettingsObject]:
        """The objects of a list, whose names differ; none where it may be missing and is."""
        raw = self.value(key) if required or self.has(key) else []
        if not isinstance(raw, list):
            raise InvalidSettingError(
                f"{self.path_of(key)} is {format_value(raw)}: a list of objects is wanted"
            )
        names: dict[object, str] = {}
        for i, row in enumerate(raw):
            place = SettingsObject(row, f"{self.path_of(key)}[{i}]")
            name = place.string("name", str(i))
            if name in names:
                raise InvalidSettingError(
                    f"{place.path_of('name')} is {format_value(name)}, as in {names[name]}"
                )
            names[name] = place.path
            yield place
