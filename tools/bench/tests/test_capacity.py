"""Tests that the capacity page matches the committed slopes."""

import pathlib

from cassiahold.bench.capacity.page import (
    PAGE,
    SLOPES_FILE,
    read_slopes,
    render_page,
)
from cassiahold.core.testing import function_tests

ROOT = pathlib.Path(__file__).parents[3]


def test_page_tables_match_committed_slopes() -> None:
    page = (ROOT / PAGE).read_text()
    assert render_page(page, read_slopes(ROOT / SLOPES_FILE)) == page


def test_every_slope_has_three_sizes_over_a_factor_of_ten() -> None:
    """Idle slopes measure durations, so they need no factor of ten."""
    for slope in read_slopes(ROOT / SLOPES_FILE).values():
        sizes = [point.size for point in slope.points]
        assert len(sizes) >= 3, slope.name
        if not slope.name.endswith('idle'):
            assert max(sizes) >= 10 * min(sizes), slope.name


load_tests = function_tests(globals())
