"""Runs experiments from a YAML file and reports their results.

The results are printed and written to a CSV file and a plot.
"""

import csv
import pathlib
import sys
import time
import typing

import msgspec

from cassiahold.bench.experiments import (
    advised,
    crashing_jobs,
    faulty_workers,
    live,
    packing,
    placement,
    refused_callers,
    shares,
    urgent,
)
from cassiahold.bench.experiments.results import BenchmarkResult
from cassiahold.core.conf.loading import load_yaml


class ExperimentSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Contents of a YAML file with a section for each experiment."""

    placement: placement.PlacementSettings
    packing: packing.PackingSettings
    shares: shares.SharesSettings
    urgent: urgent.UrgentSettings
    live: live.LiveSettings
    faulty_workers: faulty_workers.FaultyWorkersSettings
    advised: advised.AdvisedSettings
    crashing_jobs: crashing_jobs.CrashingJobsSettings
    refused_callers: refused_callers.RefusedCallersSettings


EXPERIMENT_BY_NAME: typing.Final[
    dict[str, typing.Callable[[typing.Any], list[BenchmarkResult]]]
] = {
    'placement': placement.run,
    'packing': packing.run,
    'shares': shares.run,
    'urgent': urgent.run,
    'live': live.run,
    'faulty_workers': faulty_workers.run,
    'advised': advised.run,
    'crashing_jobs': crashing_jobs.run,
    'refused_callers': refused_callers.run,
}


def run_experiments(
    path: pathlib.Path, report_folder: pathlib.Path, selected_names: list[str]
) -> list[BenchmarkResult]:
    """Run experiments, write their report and return their results.

    An empty ``selected_names`` selects every experiment.
    """
    experiments = load_yaml(path, ExperimentSettings)
    report_folder.mkdir(parents=True, exist_ok=True)
    results: list[BenchmarkResult] = []
    for name, run_experiment in EXPERIMENT_BY_NAME.items():
        if selected_names and name not in selected_names:
            continue
        started_at = time.monotonic()
        experiment_results = run_experiment(getattr(experiments, name))
        for result in experiment_results:
            _print_result(result)
        sys.stdout.write(f'  {name}: {time.monotonic() - started_at:.1f} s\n')
        results.extend(experiment_results)
    _write_csv(report_folder / 'bench.csv', results)
    _write_plot(report_folder / 'bench.png', results)
    missed = [result for result in results if not result.is_met]
    sys.stdout.write(
        f'{len(results) - len(missed)} of {len(results)} targets met\n'
    )
    for result in missed:
        sys.stdout.write(
            f'missed: {result.name}: {result.measured:.4g} {result.unit}, '
            f'target {result.sense.value} {result.target:g}\n'
        )
    return results


def _print_result(result: BenchmarkResult) -> None:
    verdict = 'met   ' if result.is_met else 'MISSED'
    baseline = ''
    if result.baseline:
        baseline = f'  ({result.baseline}: {result.baseline_measured:.4g})'
    sys.stdout.write(
        f'{verdict} {result.name:<58} {result.measured:>10.4g} '
        f'{result.unit:<6} {result.sense.value} {result.target:g}{baseline}\n'
    )
    sys.stdout.flush()


def _write_csv(path: pathlib.Path, results: list[BenchmarkResult]) -> None:
    with path.open('w', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(BenchmarkResult.__struct_fields__)
        for result in results:
            fields = msgspec.to_builtins(result)
            writer.writerow(fields.values())


def _write_plot(path: pathlib.Path, results: list[BenchmarkResult]) -> None:
    # Agg renders without a display.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 0.5 * len(results) + 1.5))
    relative_values = [
        result.measured / result.target if result.target else 0.0
        for result in results
    ]
    colours = [
        'tab:green' if result.is_met else 'tab:red' for result in results
    ]
    axes.barh(
        [result.name for result in results], relative_values, color=colours
    )
    axes.axvline(1.0, color='black', linewidth=0.8)
    axes.set_xscale('log')
    axes.set_xlabel('measured, as a multiple of the target (log scale)')
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
