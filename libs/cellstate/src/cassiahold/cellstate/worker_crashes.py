"""Records of crashes of workers and of attempts lost without explanation."""

import typing

import msgspec

from cassiahold.core.crashes import CrashEvidence
from cassiahold.core.ids import JobId, WorkerId

MAX_CRASHES_KEPT: typing.Final = 10  # of one job, the newest


class AttemptEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What the crash of its worker would tell about one attempt.

    ``is_proven`` marks a task of a service that had run for long, so that it
    is not the cause.
    """

    evidence: CrashEvidence
    is_proven: bool = False


NO_EVIDENCE: typing.Final = AttemptEvidence(CrashEvidence.NONE)


class LostAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that ended with its worker, and the evidence against it."""

    job: JobId
    index: int
    attempt: int
    evidence: AttemptEvidence


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a worker under an attempt of a job."""

    worker: WorkerId
    incarnation: int
    index: int
    attempt: int
    evidence: CrashEvidence
    crashed_at: float
