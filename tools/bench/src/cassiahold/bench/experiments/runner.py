"""Runs experiments from their YAML file; prints a table, draws plots."""

import csv
import pathlib
import sys
import time
import typing

import msgspec

from cassiahold.bench.experiments import (
    advised,
    faults_at_work,
    live,
    packing,
    placement,
    shares,
    urgent,
)
from cassiahold.bench.experiments.rows import Row
from cassiahold.core.conf.loading import load_yaml


class Experiments(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """One YAML file: each section is one experiment."""

    placement: placement.PlacementSettings
    packing: packing.PackingSettings
    shares: shares.SharesSettings
    urgent: urgent.UrgentSettings
    live: live.LiveSettings
    faulty_workers: faults_at_work.FaultySettings
    advised: advised.AdvisedSettings


RUN_BY_NAME: typing.Final[
    dict[str, typing.Callable[[typing.Any], list[Row]]]
] = {
    'placement': placement.run,
    'packing': packing.run,
    'shares': shares.run,
    'urgent': urgent.run,
    'live': live.run,
    'faulty_workers': faults_at_work.run,
    'advised': advised.run,
}


def run_file(
    path: pathlib.Path, report: pathlib.Path, only: list[str]
) -> list[Row]:
    """Run the experiments of a file and write the report folder."""
    experiments = load_yaml(path, Experiments)
    report.mkdir(parents=True, exist_ok=True)
    rows: list[Row] = []
    for name, run in RUN_BY_NAME.items():
        if only and name not in only:
            continue
        began = time.monotonic()
        found = run(getattr(experiments, name))
        for row in found:
            _print(row)
        sys.stdout.write(f'  {name}: {time.monotonic() - began:.1f} s\n')
        rows.extend(found)
    _write_csv(report / 'bench.csv', rows)
    _plot(report / 'bench.png', rows)
    missed = [row for row in rows if not row.is_met]
    sys.stdout.write(f'{len(rows) - len(missed)} of {len(rows)} targets met\n')
    for row in missed:
        sys.stdout.write(
            f'missed: {row.name}: {row.measured:.4g} {row.unit}, target '
            f'{row.sense.value} {row.target:g}\n'
        )
    return rows


def _print(row: Row) -> None:
    mark = 'met   ' if row.is_met else 'MISSED'
    baseline = ''
    if row.baseline:
        baseline = f'  ({row.baseline}: {row.baseline_measured:.4g})'
    sys.stdout.write(
        f'{mark} {row.name:<58} {row.measured:>10.4g} {row.unit:<6} '
        f'{row.sense.value} {row.target:g}{baseline}\n'
    )
    sys.stdout.flush()


def _write_csv(path: pathlib.Path, rows: list[Row]) -> None:
    with path.open('w', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(Row.__struct_fields__)
        for row in rows:
            fields = msgspec.to_builtins(row)
            writer.writerow(fields.values())


def _plot(path: pathlib.Path, rows: list[Row]) -> None:
    # Drawing needs no screen.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 0.5 * len(rows) + 1.5))
    parts = [row.measured / row.target if row.target else 0.0 for row in rows]
    colours = ['tab:green' if row.is_met else 'tab:red' for row in rows]
    axes.barh([row.name for row in rows], parts, color=colours)
    axes.axvline(1.0, color='black', linewidth=0.8)
    axes.set_xscale('log')
    axes.set_xlabel('measured, as a multiple of the target (log scale)')
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
