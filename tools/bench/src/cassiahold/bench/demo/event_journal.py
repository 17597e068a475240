"""Reads the journals of the fake workers and targets.

Checks the starts and ends in them against the guaranteed properties.
"""

import collections
import pathlib
import typing

import msgspec

from cassiahold.fakes.worker import JournalEvent


class SubmittedJob(msgspec.Struct):
    """An accepted job as its caller knows it; ``submitted_at`` is Unix time."""

    job: str
    team: str
    kind: str
    task_count: int
    cores: float
    is_idempotent: bool
    is_urgent: bool
    submitted_at: float
    outcome: str = ''
    done_task_count: int = 0


class EventJournal:
    """All events of the journal files in a folder, in order of time."""

    def __init__(self, folder: pathlib.Path) -> None:
        decoder = msgspec.json.Decoder(JournalEvent)
        self.events = sorted(
            (
                decoder.decode(line)
                for path in folder.glob('*.jsonl')
                for line in path.read_bytes().splitlines()
            ),
            key=lambda event: event.unix_time_s,
        )

    def violations_seen_by_fakes(self) -> list[str]:
        """Return the violations that the fakes recorded themselves."""
        return [
            event.attempt for event in self.events if event.kind == 'broken'
        ]

    def concurrent_task_runs(self) -> list[str]:
        """Return a line for each task that ran on two workers at once."""
        worker_by_task: dict[str, str] = {}
        violations = []
        for event in self.events:
            task = event.attempt.rpartition('/')[0]
            if event.kind == 'start':
                if task in worker_by_task:
                    violations.append(
                        f'property 2: {task} on {event.worker} and '
                        f'{worker_by_task[task]}'
                    )
                worker_by_task[task] = event.worker
            elif event.kind.startswith('end'):
                worker_by_task.pop(task, None)
        return violations

    def starts_by_task(self) -> dict[str, list[JournalEvent]]:
        """Return the start events of each task in order of time."""
        starts: dict[str, list[JournalEvent]] = collections.defaultdict(list)
        for event in self.events:
            if event.kind == 'start':
                starts[event.attempt.rpartition('/')[0]].append(event)
        return starts

    def serve_count_by_request(self) -> collections.Counter[str]:
        """Return how often a target started to serve each live request."""
        return collections.Counter(
            event.attempt
            for event in self.events
            if event.kind.startswith('serve')
        )

    def teams_over_limit(
        self,
        jobs: typing.Iterable[SubmittedJob],
        core_limit_by_team: dict[str, float],
    ) -> list[str]:
        """Return a line for each team that ran more cores than its limit."""
        job_by_id = {job.job: job for job in jobs}
        used_millicores: collections.Counter[str] = collections.Counter()
        running_attempts: set[str] = set()
        violation_by_team: dict[str, str] = {}
        for event in self.events:
            job = job_by_id.get(event.attempt.partition('/')[0])
            if job is None:
                continue
            if event.kind == 'start':
                running_attempts.add(event.attempt)
                used_millicores[job.team] += int(job.cores * 1000)
            elif event.attempt in running_attempts:
                running_attempts.discard(event.attempt)
                used_millicores[job.team] -= int(job.cores * 1000)
            limit_millicores = core_limit_by_team[job.team] * 1000
            if used_millicores[job.team] > limit_millicores:
                violation_by_team[job.team] = (
                    f'property 4: team {job.team} ran '
                    f'{used_millicores[job.team]} '
                    f'millicores of {limit_millicores:g}'
                )
        return list(violation_by_team.values())


def percentile(samples: typing.Sequence[float], fraction: float) -> float:
    """Return the sample at a fraction from 0 to 1; NaN without samples."""
    if not samples:
        return float('nan')
    ordered = sorted(samples)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
