"""Prints the table of the demo and decides whether it passed."""

import collections
import statistics
import sys
import typing

from cassiahold.bench.demo.event_journal import (
    EventJournal,
    SubmittedJob,
    percentile,
)
from cassiahold.bench.demo.scenario import DemoMeasurements
from cassiahold.bench.demo.workload import Workload
from cassiahold.core.exceptions import ExecutionStatus

_MS_PER_S: typing.Final = 1000


class DemoReport:
    """Compares the replies to callers with the journal of the fakes.

    ``violations`` has a line for each violated property; a job without a
    final outcome is in ``unfinished_jobs``.
    """

    def __init__(
        self,
        workload: Workload,
        journal: EventJournal,
        measurements: DemoMeasurements,
        core_limit_by_team: dict[str, float],
    ) -> None:
        self._workload = workload
        self._journal = journal
        self._measurements = measurements
        self._starts_by_task = journal.starts_by_task()
        self._serve_count_by_request = journal.serve_count_by_request()
        self.violations = [
            *measurements.violations,
            *journal.violations_seen_by_fakes(),
            *journal.concurrent_task_runs(),
            *journal.teams_over_limit(workload.jobs, core_limit_by_team),
            *self._repeated_executions(),
            *self._false_refusals(),
            *self._truncated_responses(),
            *self._requests_after_leaving(),
        ]
        self.unfinished_jobs = [
            job.job
            for job in workload.jobs
            if job.outcome == 'still_running' or not job.outcome
        ]

    @property
    def has_passed(self) -> bool:
        """Return whether no property was violated and every job ended."""
        return not self.violations and not self.unfinished_jobs

    def print(self) -> None:
        """Print the table, the violations and the result."""
        for name, text in self._rows():
            sys.stdout.write(f'{name:<34} {text}\n')
        for line in self.violations:
            sys.stdout.write(f'BROKEN {line}\n')
        sys.stdout.write('good\n' if self.has_passed else 'NOT GOOD\n')

    def _rows(self) -> list[tuple[str, str]]:
        jobs = self._workload.jobs
        figures = self._measurements
        outcomes = collections.Counter(job.outcome for job in jobs)
        refused = collections.Counter(
            refusal.kind.value for refusal in self._workload.refused_requests
        )
        tasks = sum(job.task_count for job in jobs)
        rows = [
            ('jobs accepted', f'{len(jobs)} with {tasks} tasks'),
            ('tasks done once', str(sum(job.done_task_count for job in jobs))),
            ('jobs by outcome', _format_counts(outcomes)),
            (
                'live requests answered',
                str(len(self._workload.completed_live_requests)),
            ),
            ('refused or failed, told so', _format_counts(refused)),
            ('lost', str(len(self.unfinished_jobs))),
            ('doubled', str(len(self._repeated_executions()))),
            ('killed', '; '.join(figures.killed_processes)),
            ('new leader after', f'{figures.failover_s:.1f} s'),
            *self._wait_rows(),
            (
                'packing while work waits',
                _format_spread(figures.packing_samples),
            ),
            ('distance from shares', _format_spread(figures.share_errors)),
            (
                'withdrawn key refused after',
                f'{figures.key_withdrawal_s:.1f} s',
            ),
            (
                'change in force after',
                ', '.join(f'{took:.1f} s' for took in figures.propagation_s),
            ),
        ]
        rows.extend(self._cost_rows())
        return rows

    def _wait_rows(self) -> list[tuple[str, str]]:
        waits: dict[str, list[float]] = collections.defaultdict(list)
        for job in self._workload.jobs:
            for index in range(job.task_count):
                starts = self._starts_by_task.get(f'{job.job}/{index}')
                if starts:
                    waits[_wait_class(job)].append(
                        starts[0].unix_time_s - job.submitted_at
                    )
        waits['live'] = [
            live.latency_s for live in self._workload.completed_live_requests
        ]
        return [
            (
                f'wait {kind}, p50 and p99',
                f'{percentile(samples, 0.5) * _MS_PER_S:.0f} ms, '
                f'{percentile(samples, 0.99) * _MS_PER_S:.0f} ms',
            )
            for kind, samples in sorted(waits.items())
        ]

    def _cost_rows(self) -> list[tuple[str, str]]:
        return [
            (
                f'control cost, {role}',
                f'{cost.processes} processes, '
                f'{cost.cpu_s / self._measurements.load_duration_s:.2f} cores, '
                f'{cost.memory_mb:.0f} MB{self._format_byte_rate(role)}',
            )
            for role, cost in sorted(self._measurements.cost_by_role.items())
        ]

    def _format_byte_rate(self, role: str) -> str:
        count = self._measurements.bytes_by_role.get(role)
        if count is None:
            return ''
        return f', {count / self._measurements.load_duration_s / 1000:.0f} KB/s'

    def _repeated_executions(self) -> list[str]:
        doubled = []
        for job in self._workload.jobs:
            if job.is_idempotent:
                continue
            for index in range(job.task_count):
                starts = self._starts_by_task.get(f'{job.job}/{index}', [])
                if len(starts) > 1:
                    doubled.append(f'property 7: {job.job}/{index}')
        doubled.extend(
            f'property 7: live {live.request_id}'
            for live in self._workload.completed_live_requests
            if not live.is_idempotent
            and self._serve_count_by_request[live.request_id] > 1
        )
        return doubled

    def _false_refusals(self) -> list[str]:
        untrue = [
            f'property 6: live {refusal.request_id} was run'
            for refusal in self._workload.refused_requests
            if refusal.execution is ExecutionStatus.NOT_RUN
            and not refusal.is_job
            and self._serve_count_by_request[refusal.request_id]
        ]
        untrue.extend(
            f'property 6: {job.job} was run'
            for job in self._workload.jobs
            if job.outcome == 'refused_not_run'
            and any(
                f'{job.job}/{index}' in self._starts_by_task
                for index in range(job.task_count)
            )
        )
        return untrue

    def _truncated_responses(self) -> list[str]:
        return [
            f'property 5: live {live.request_id}'
            for live in self._workload.completed_live_requests
            if not live.is_response_complete
        ]

    def _requests_after_leaving(self) -> list[str]:
        return [
            f'property 8: {event.worker} served {event.attempt} while leaving'
            for event in self._journal.events
            if event.kind == 'serve late'
        ]


def _wait_class(job: SubmittedJob) -> str:
    return 'urgent' if job.is_urgent else job.kind


def _format_counts(counter: collections.Counter[str]) -> str:
    return (
        ', '.join(f'{count} {name}' for name, count in sorted(counter.items()))
        or '0'
    )


def _format_spread(samples: list[float]) -> str:
    if not samples:
        return 'no sample'
    return (
        f'mean {statistics.fmean(samples):.1%}, worst '
        f'{max(samples):.1%}, {len(samples)} samples'
    )
