"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^tests/\S+\.py::\S+$")


def known_red() -> list[str]:
    """The ids of the listed tests; an entry begins with its test at the start of a line."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line for line in lines if ENTRY.match(line)]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = set(known_red())
    red = [item for item in items if item.nodeid in listed]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for test in known_red():
        terminalreporter.write_line(f"known red, not run: {test}")
