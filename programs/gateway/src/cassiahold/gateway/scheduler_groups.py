"""Routing of calls to the scheduler group that owns a job.

There is one scheduler group for each data centre.  A job is owned by the
group that its request id names as a prefix, as in ``vienna:order-17``, or
else by one chosen by a hash.  Every gateway makes the same choice, so a
request that is resent through another gateway finds the same job.
"""

import hashlib
import time
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, JobId, TeamName
from cassiahold.routing.refusal_hints import RefusalHints
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.messages import (
    Cancel,
    CancelResult,
    CancelResults,
    Reply,
    Request,
)

MAX_CANCELS_PER_CALL: typing.Final = 1000
_CALL_TIMEOUT_S: typing.Final = 5.0


class SchedulerGroups:
    """Clients of all scheduler groups, by group name."""

    def __init__(
        self,
        client_by_group: dict[GroupName, GroupClient],
        election_s: float,
        min_rate_per_s: float,
    ) -> None:
        self._client_by_group = client_by_group
        self._names = sorted(client_by_group)
        self._hints_by_group = {
            name: RefusalHints(election_s, min_rate_per_s)
            for name in client_by_group
        }
        # When the first of the latest failed calls of each group began.
        self._failing_since_by_group: dict[GroupName, float] = {}

    @property
    def names(self) -> list[GroupName]:
        """Return the names of all groups."""
        return list(self._names)

    def owning_group(self, team: TeamName, request_id: str) -> GroupName:
        """Return the group that owns the job of a submission."""
        prefix, separator, _ = request_id.partition(':')
        if separator and prefix in self._client_by_group:
            return GroupName(prefix)
        digest = hashlib.sha256(f'{team}/{request_id}'.encode()).digest()
        return self._names[int.from_bytes(digest[:8]) % len(self._names)]

    def group_of_job(self, job: JobId) -> GroupName:
        """Return the group named in a job id; raises ``NOT_FOUND``."""
        name = GroupName(job.rpartition('.')[0])
        if name not in self._client_by_group:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'job {job!r} does not exist'
            )
        return name

    def call(
        self,
        group: GroupName,
        request: Request,
        timeout_s: float,
        traceparent: str = '',
    ) -> Reply:
        """Call the leader of a group.

        Raises ``NOT_FOUND`` when there is no such group.
        """
        client = self._client_by_group.get(group)
        if client is None:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND,
                f'data centre {group!r} does not exist; known data centres: '
                f'{", ".join(self._names)}',
            )
        started_at = time.monotonic()
        try:
            reply = client.call(request, timeout_s, traceparent)
        except CassiaholdError as exc:
            self._complete_hint(exc, group, started_at)
            raise
        self._failing_since_by_group.pop(group, None)
        self._hints_by_group[group].record_reply(time.monotonic())
        return reply

    def _complete_hint(
        self, exc: CassiaholdError, group: GroupName, started_at: float
    ) -> None:
        failing_since = started_at
        if exc.kind is ErrorKind.NO_QUORUM:
            failing_since = self._failing_since_by_group.setdefault(
                group, started_at
            )
        now = time.monotonic()
        self._hints_by_group[group].complete(exc, now - failing_since, now)

    def cancel_jobs(
        self, jobs: list[JobId], team: TeamName | None
    ) -> list[CancelResult]:
        """Cancel jobs of any groups; return results in the given order.

        With a team, only its own jobs are found.
        """
        result_by_job: dict[JobId, CancelResult] = {}
        jobs_by_group: dict[GroupName, list[JobId]] = {}
        for job in jobs:
            name = GroupName(job.rpartition('.')[0])
            if name in self._client_by_group:
                jobs_by_group.setdefault(name, []).append(job)
        for group, group_jobs in jobs_by_group.items():
            for first in range(0, len(group_jobs), MAX_CANCELS_PER_CALL):
                batch = group_jobs[first : first + MAX_CANCELS_PER_CALL]
                reply = self.call(group, Cancel(batch, team), _CALL_TIMEOUT_S)
                if isinstance(reply, CancelResults):
                    result_by_job.update(
                        {
                            cancelled.job: cancelled
                            for cancelled in reply.results
                        }
                    )
        return [
            result_by_job.get(job, CancelResult(job, found=False))
            for job in jobs
        ]
