"""Logs and counts crashes of workers and the jobs given up for them."""

from cassiahold.cellstate import effects
from cassiahold.cellstate.jobs import JobRecord
from cassiahold.core import logs
from cassiahold.core.metrics import Metrics


def record_crash(effect: effects.WorkerCrashed, metrics: Metrics) -> None:
    """Log and count a crash of a worker under attempts."""
    metrics.incr('worker_crashed')
    logs.warning(
        'worker_crashed',
        worker=effect.worker,
        incarnation=effect.incarnation,
        attempts=effect.attempt_count,
        recent=effect.recent_count,
    )


def record_given_up(record: JobRecord, metrics: Metrics) -> None:
    """Log and count a job given up, with the crashes under its attempts."""
    metrics.incr('job_given_up')
    logs.warning(
        'job_given_up',
        job=record.id,
        team=record.team,
        crashes=len(record.crashes),
        workers=','.join(
            f'{crash.worker}/{crash.incarnation}' for crash in record.crashes
        ),
    )
