"""The demo's one table and its verdict."""

import collections
import statistics
import sys
import typing

from cassiahold.bench.demo.evidence import Evidence, JobFacts, percentile
from cassiahold.bench.demo.scenario import Figures
from cassiahold.bench.demo.workload import Workload
from cassiahold.core.exceptions import ExecutionStatus

_MS: typing.Final = 1000


class Verdict:
    """Compares what callers were told with what the stand-ins saw."""

    def __init__(
        self,
        workload: Workload,
        evidence: Evidence,
        figures: Figures,
        cores_by_team: dict[str, float],
    ) -> None:
        self._workload = workload
        self._evidence = evidence
        self._figures = figures
        self._starts = evidence.starts_by_task()
        self._served = evidence.served_by_request()
        self.broken = [
            *figures.wrong,
            *evidence.broken_by_stand_ins(),
            *evidence.running_twice(),
            *evidence.over_limit(workload.jobs, cores_by_team),
            *self._doubled(),
            *self._untrue_refusals(),
            *self._cut_answers(),
            *self._late_to_leaving(),
        ]
        self.lost = [
            job.job
            for job in workload.jobs
            if job.outcome == 'still_running' or not job.outcome
        ]

    @property
    def is_good(self) -> bool:
        """Tell whether nothing was broken or lost."""
        return not self.broken and not self.lost

    def print(self) -> None:
        """Print the table."""
        for name, text in self._rows():
            sys.stdout.write(f'{name:<34} {text}\n')
        for line in self.broken:
            sys.stdout.write(f'BROKEN {line}\n')
        sys.stdout.write('good\n' if self.is_good else 'NOT GOOD\n')

    def _rows(self) -> list[tuple[str, str]]:
        jobs = self._workload.jobs
        figures = self._figures
        outcomes = collections.Counter(job.outcome for job in jobs)
        refused = collections.Counter(
            refusal.kind.value for refusal in self._workload.refused
        )
        tasks = sum(job.tasks for job in jobs)
        rows = [
            ('jobs accepted', f'{len(jobs)} with {tasks} tasks'),
            ('tasks done once', str(sum(job.done_tasks for job in jobs))),
            ('jobs by outcome', _counts(outcomes)),
            ('live requests answered', str(len(self._workload.live))),
            ('refused or failed, told so', _counts(refused)),
            ('lost', str(len(self.lost))),
            ('doubled', str(len(self._doubled()))),
            ('killed', '; '.join(figures.killed)),
            ('new leader after', f'{figures.failover_s:.1f} s'),
            *self._waits(),
            ('packing while work waits', _spread(figures.packing)),
            ('distance from shares', _spread(figures.share_errors)),
            ('withdrawn key refused after', f'{figures.withdrawn_s:.1f} s'),
            (
                'change in force after',
                ', '.join(f'{took:.1f} s' for took in figures.in_force_s),
            ),
        ]
        rows.extend(self._costs())
        return rows

    def _waits(self) -> list[tuple[str, str]]:
        waits: dict[str, list[float]] = collections.defaultdict(list)
        for job in self._workload.jobs:
            for index in range(job.tasks):
                starts = self._starts.get(f'{job.job}/{index}')
                if starts:
                    waits[_kind(job)].append(starts[0].at - job.submitted_at)
        waits['live'] = [live.took_s for live in self._workload.live]
        return [
            (
                f'wait {kind}, p50 and p99',
                f'{percentile(samples, 0.5) * _MS:.0f} ms, '
                f'{percentile(samples, 0.99) * _MS:.0f} ms',
            )
            for kind, samples in sorted(waits.items())
        ]

    def _costs(self) -> list[tuple[str, str]]:
        return [
            (
                f'control cost, {role}',
                f'{cost.processes} processes, '
                f'{cost.cpu_s / self._figures.loaded_s:.2f} cores, '
                f'{cost.memory_mb:.0f} MB{self._bytes_of(role)}',
            )
            for role, cost in sorted(self._figures.cost_by_role.items())
        ]

    def _bytes_of(self, role: str) -> str:
        count = self._figures.bytes_by_role.get(role)
        if count is None:
            return ''
        return f', {count / self._figures.loaded_s / 1000:.0f} KB/s'

    def _doubled(self) -> list[str]:
        doubled = []
        for job in self._workload.jobs:
            if job.is_idempotent:
                continue
            for index in range(job.tasks):
                starts = self._starts.get(f'{job.job}/{index}', [])
                if len(starts) > 1:
                    doubled.append(f'property 7: {job.job}/{index}')
        doubled.extend(
            f'property 7: live {live.request_id}'
            for live in self._workload.live
            if not live.is_idempotent and self._served[live.request_id] > 1
        )
        return doubled

    def _untrue_refusals(self) -> list[str]:
        untrue = [
            f'property 6: live {refusal.request_id} was run'
            for refusal in self._workload.refused
            if refusal.ran is ExecutionStatus.NOT_RUN
            and not refusal.is_job
            and self._served[refusal.request_id]
        ]
        untrue.extend(
            f'property 6: {job.job} was run'
            for job in self._workload.jobs
            if job.outcome == 'refused_not_run'
            and any(
                f'{job.job}/{index}' in self._starts
                for index in range(job.tasks)
            )
        )
        return untrue

    def _cut_answers(self) -> list[str]:
        return [
            f'property 5: live {live.request_id}'
            for live in self._workload.live
            if not live.is_whole
        ]

    def _late_to_leaving(self) -> list[str]:
        return [
            f'property 8: {event.worker} served {event.attempt} while leaving'
            for event in self._evidence.events
            if event.what == 'serve late'
        ]


def _kind(job: JobFacts) -> str:
    return 'urgent' if job.is_urgent else job.kind


def _counts(counter: collections.Counter[str]) -> str:
    return (
        ', '.join(f'{count} {name}' for name, count in sorted(counter.items()))
        or '0'
    )


def _spread(samples: list[float]) -> str:
    if not samples:
        return 'no sample'
    return (
        f'mean {statistics.fmean(samples):.1%}, worst '
        f'{max(samples):.1%}, {len(samples)} samples'
    )
