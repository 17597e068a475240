"""Writes the tables of ``docs/CAPACITY.md`` from the committed slopes."""

import pathlib
import re
import typing

import msgspec

from cassiahold.bench.capacity.estimates import Estimate, estimate_requirements
from cassiahold.bench.capacity.sizes import PLANNED, TODAY
from cassiahold.bench.capacity.slopes import Slope

SLOPES_FILE: typing.Final = pathlib.Path('docs/capacity/slopes.json')
PAGE: typing.Final = pathlib.Path('docs/CAPACITY.md')
_TABLE_BLOCK: typing.Final = re.compile(
    r'(<!-- table (\w+) -->\n).*?(<!-- end -->)', re.DOTALL
)


def read_slopes(path: pathlib.Path) -> dict[str, Slope]:
    """Return the slopes of a JSON file by name."""
    slopes = msgspec.json.decode(path.read_bytes(), type=list[Slope])
    return {slope.name: slope for slope in slopes}


def write_slopes(path: pathlib.Path, slopes: list[Slope]) -> None:
    """Write the slopes as formatted JSON, so that changes are readable."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(slopes)) + b'\n')


def render_page(page: str, slope_by_name: dict[str, Slope]) -> str:
    """Return the page with the contents of every table block replaced."""
    table_by_name = {
        'slopes': _slopes_table(slope_by_name),
        'today': _estimates_table(estimate_requirements(TODAY, slope_by_name)),
        'planned': _estimates_table(
            estimate_requirements(PLANNED, slope_by_name)
        ),
    }
    return _TABLE_BLOCK.sub(
        lambda match: (
            match.group(1) + table_by_name[match.group(2)] + match.group(3)
        ),
        page,
    )


def _slopes_table(slope_by_name: dict[str, Slope]) -> str:
    lines = [
        '| slope | unit | sizes | base | for each | spread over runs |',
        '|---|---|---|---|---|---|',
    ]
    for slope in slope_by_name.values():
        sizes = ', '.join(f'{point.size:g}' for point in slope.points)
        lines.append(
            f'| {slope.name} | {slope.unit} | {sizes} | {slope.base:.3g} | '
            f'{slope.slope:.3g} for each {slope.per} | '
            f'{slope.relative_spread:.0%} |'
        )
    return '\n'.join(lines) + '\n'


def _estimates_table(estimates: list[Estimate]) -> str:
    lines = [
        '| role | what | figure | limit | from | carried by |',
        '|---|---|---|---|---|---|',
    ]
    for estimate in estimates:
        limit = ''
        if estimate.limit is not None:
            verdict = 'fits' if estimate.is_within_limit else 'DOES NOT FIT'
            limit = f'{estimate.limit:g}, {verdict}'
        lines.append(
            f'| {estimate.role} | {estimate.quantity} | {estimate.value:.3g} '
            f'{estimate.unit} | {limit} | {estimate.source} | '
            f'{estimate.mechanism} |'
        )
    return '\n'.join(lines) + '\n'
