"""What the stand-ins saw, and whether it keeps the properties."""

import collections
import pathlib
import typing

import msgspec

from cassiahold.fakes.worker import JournalEvent


class SubmittedJob(msgspec.Struct):
    """What a caller knows of one of its jobs."""

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
    """Every start and end that the stand-ins wrote down."""

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
        """Return what the stand-ins themselves found wrong."""
        return [
            event.attempt for event in self.events if event.kind == 'broken'
        ]

    def concurrent_task_runs(self) -> list[str]:
        """Return tasks that ran in two places at once."""
        place_by_task: dict[str, str] = {}
        broken = []
        for event in self.events:
            task = event.attempt.rpartition('/')[0]
            if event.kind == 'start':
                if task in place_by_task:
                    broken.append(
                        f'property 2: {task} on {event.worker} and '
                        f'{place_by_task[task]}'
                    )
                place_by_task[task] = event.worker
            elif event.kind.startswith('end'):
                place_by_task.pop(task, None)
        return broken

    def starts_by_task(self) -> dict[str, list[JournalEvent]]:
        """Return the starts of each task, in order."""
        starts: dict[str, list[JournalEvent]] = collections.defaultdict(list)
        for event in self.events:
            if event.kind == 'start':
                starts[event.attempt.rpartition('/')[0]].append(event)
        return starts

    def serve_count_by_request(self) -> collections.Counter[str]:
        """Return how often each live request was begun."""
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
        """Return teams that ran more cores than their upper limit."""
        job_by_id = {job.job: job for job in jobs}
        used: collections.Counter[str] = collections.Counter()
        running: set[str] = set()
        broken: dict[str, str] = {}
        for event in self.events:
            job = job_by_id.get(event.attempt.partition('/')[0])
            if job is None:
                continue
            if event.kind == 'start':
                running.add(event.attempt)
                used[job.team] += int(job.cores * 1000)
            elif event.attempt in running:
                running.discard(event.attempt)
                used[job.team] -= int(job.cores * 1000)
            limit = core_limit_by_team[job.team] * 1000
            if used[job.team] > limit:
                broken[job.team] = (
                    f'property 4: team {job.team} ran {used[job.team]} '
                    f'millicores of {limit:g}'
                )
        return list(broken.values())


def percentile(samples: typing.Sequence[float], fraction: float) -> float:
    """Return the sample at a fraction of the sorted samples."""
    if not samples:
        return float('nan')
    ordered = sorted(samples)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
