"""Outcomes of submissions and cancellations, returned to their callers."""

import msgspec

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import JobId


class SubmitOutcome(msgspec.Struct, frozen=True):
    """Outcome of a submission; ``error`` is None when the job was accepted.

    ``is_first`` is False when the request id had been submitted before.
    """

    job: JobId
    is_first: bool = True
    error: ErrorKind | None = None
    detail: str = ''


class CancelOutcome(msgspec.Struct, frozen=True):
    """Outcome of a cancellation for one job.

    ``found`` is False when the job is unknown or of another team.
    """

    job: JobId
    found: bool
    was_finished: bool = False
