"""The page against the results that are committed, and the results against their own fits."""

from __future__ import annotations

import re

import pytest

from benchmarks.scale import page
from benchmarks.scale.fit import SIZES_LEAST
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Event, Run, load


@pytest.fixture(scope="module")
def run() -> Run:
    return load()


def test_the_page_is_made_from_the_results(run: Run) -> None:
    text = page.PAGE.read_text()
    assert page.render(text, run) == text, "run python -m benchmarks.scale.page"


def test_findings_follow_from_their_points(run: Run) -> None:
    """Nobody has written a fit, a full size or a verdict by hand."""
    for role in run.roles:
        for found in role.findings:
            assert judge(found.series) == found, f"{role.name}, {found.series.what}"


def test_every_slope_has_four_sizes(run: Run) -> None:
    for role in run.roles:
        for found in role.findings:
            sizes = {p.size for p in found.series.points}
            assert len(sizes) >= SIZES_LEAST, f"{role.name}, {found.series.what}"


def test_every_role_answers_for_every_event(run: Run) -> None:
    for role in run.roles:
        missing = set(Event) - {e.event for e in role.effects}
        assert not missing, f"{role.name} says nothing of {missing}"


def test_the_results_are_of_a_full_run(run: Run) -> None:
    assert not run.quick


def test_a_changed_figure_is_found(run: Run) -> None:
    text = page.PAGE.read_text()
    changed = re.sub(r"\d", lambda m: str((int(m.group()) + 1) % 10), text, count=0)
    assert page.render(changed, run) != changed


def test_a_missing_table_is_found(run: Run) -> None:
    text = page.PAGE.read_text().replace("<!-- table gaps -->", "")
    with pytest.raises(page.PageError):
        page.render(text, run)


@pytest.mark.parametrize(
    ("value", "text"), [(0, "0"), (0.00012, "1.2e-04"), (1.234, "1.23"), (12_345.6, "12,346")]
)
def test_numbers(value: float, text: str) -> None:
    assert page.number(value) == text
