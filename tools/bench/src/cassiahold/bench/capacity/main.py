"""Measures every slope and writes the slopes file, the page and a report."""

import csv
import pathlib
import sys

from cassiahold.bench.capacity import in_process, processes
from cassiahold.bench.capacity.page import (
    PAGE,
    SLOPES_FILE,
    read_slopes,
    render_page,
    write_slopes,
)
from cassiahold.bench.capacity.slopes import Slope


def measure_all(report_folder: pathlib.Path) -> int:
    """Measure every slope and write all outputs; return the exit code."""
    slopes = [
        *in_process.all_slopes(),
        *processes.all_slopes(
            pathlib.Path('examples/rollwerk'),
            pathlib.Path('var/capacity').resolve(),
        ),
    ]
    for slope in slopes:
        sys.stdout.write(
            f'{slope.name:<36} {slope.base:>10.4g} + {slope.slope:.4g} '
            f'{slope.unit} for each {slope.per}\n'
        )
    write_slopes(SLOPES_FILE, slopes)
    _write_csv(report_folder / 'capacity.csv', slopes)
    _write_plot(report_folder / 'capacity.png', slopes)
    return write_page()


def write_page() -> int:
    """Write the page's tables from the slopes file; return the exit code."""
    PAGE.write_text(render_page(PAGE.read_text(), read_slopes(SLOPES_FILE)))
    return 0


def _write_csv(path: pathlib.Path, slopes: list[Slope]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open('w', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(('slope', 'unit', 'size', 'median', 'least', 'most'))
        for slope in slopes:
            for point in slope.points:
                writer.writerow(
                    (
                        slope.name,
                        slope.unit,
                        point.size,
                        point.median,
                        point.least,
                        point.most,
                    )
                )


def _write_plot(path: pathlib.Path, slopes: list[Slope]) -> None:
    # Agg renders without a display.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    columns = 4
    rows = -(-len(slopes) // columns)
    figure, grid = pyplot.subplots(rows, columns, figsize=(16, 3 * rows))
    for axes, slope in zip(grid.flat, slopes, strict=False):
        sizes = [point.size for point in slope.points]
        medians = [point.median for point in slope.points]
        axes.errorbar(
            sizes,
            medians,
            yerr=[
                [point.median - point.least for point in slope.points],
                [point.most - point.median for point in slope.points],
            ],
            fmt='o',
        )
        axes.plot(sizes, [slope.cost_at(size) for size in sizes])
        axes.set_title(slope.name, fontsize=9)
        axes.set_xlabel(slope.per, fontsize=8)
        axes.set_ylabel(slope.unit, fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
