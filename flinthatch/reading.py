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


class Unusable(ValueError):
    """A value that can't be used; the text names its place and what is wanted there."""


def shown(value: object) -> str:
    """A value as an error shows it, cut where it is long."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class Place:
    """An object of the settings, and where it stands."""

    __slots__ = ("at", "raw")

    def __init__(self, raw: object, at: str) -> None:
        if not isinstance(raw, Mapping):
            raise Unusable(f"{at} is {shown(raw)}: an object with its keys is wanted")
        self.raw = raw
        self.at = at

    def where(self, key: str) -> str:
        return f"{self.at}.{key}" if self.at else key

    def has(self, key: str) -> bool:
        return self.raw.get(key) is not None

    def value(self, key: str) -> Any:
        """Raises Unusable where there is none."""
        if not self.has(key):
            raise Unusable(f"{self.where(key)} is missing: it has no default")
        return self.raw[key]

    def number(
        self, key: str, default: float | None = None, least: float = 0, most: float = MOST
    ) -> float:
        """A finite number within these bounds; without a default it has to be there."""
        if default is not None and not self.has(key):
            return default
        value = self.value(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise Unusable(f"{self.where(key)} is {shown(value)}: a number is wanted")
        if not (math.isfinite(value) and least <= value <= most):
            bounds = f"from {least:g} to {most:g}"
            raise Unusable(f"{self.where(key)} is {shown(value)}: a number {bounds} is wanted")
        return float(value) if isinstance(value, float) else value

    def whole(self, key: str, default: int | None = None, least: int = 0, most: int = MOST) -> int:
        """As `number`, without its fraction."""
        return int(self.number(key, default, least, most))

    def flag(self, key: str, default: bool = False) -> bool:
        if not self.has(key):
            return default
        value = self.value(key)
        if not isinstance(value, bool):
            raise Unusable(f"{self.where(key)} is {shown(value)}: true or false is wanted")
        return value

    def word(self, key: str, default: str | None = None) -> str:
        if default is not None and not self.has(key):
            return default
        value = self.value(key)
        if not isinstance(value, str) or not value:
            raise Unusable(f"{self.where(key)} is {shown(value)}: a word is wanted")
        return value

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        word = self.word(key, default)
        if word not in choices:
            raise Unusable(
                f"{self.where(key)} is {shown(word)}: one of {', '.join(choices)} is wanted"
            )
        return choices[word]

    def under(self, key: str, needed: bool = False) -> Place:
        """The object at this key; an empty one where it may be missing and is."""
        raw = self.value(key) if needed or self.has(key) else {}
        return Place(raw, self.where(key))

    def words(self, key: str) -> tuple[str, ...]:
        """A list of words, or of numbers that are names; none where it is missing."""
        raw = self.raw[key] if self.has(key) else []
        if not isinstance(raw, list) or not all(isinstance(word, str | int) for word in raw):
            raise Unusable(f"{self.where(key)} is {shown(raw)}: a list of words is wanted")
        return tuple(str(word) for word in raw)

    def rows(self, key: str, needed: bool = False) -> Iterator[Place]:
        """The objects of a list, whose names differ; none where it may be missing and is."""
        raw = self.value(key) if needed or self.has(key) else []
        if not isinstance(raw, list):
            raise Unusable(f"{self.where(key)} is {shown(raw)}: a list of objects is wanted")
        names: dict[object, str] = {}
        for i, row in enumerate(raw):
            place = Place(row, f"{self.where(key)}[{i}]")
            name = place.word("name", str(i))
            if name in names:
                raise Unusable(f"{place.where('name')} is {shown(name)}, as in {names[name]}")
            names[name] = place.at
            yield place
