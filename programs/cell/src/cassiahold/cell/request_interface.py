"""Interface through which the leader sends requests to workers and advisors."""

import typing

from cassiahold.cell.clients import StartRequest, StopRequest
from cassiahold.workflows.model import AttemptKey, WorkerInfo
from cassiahold.workflows.plans import AdvisorQuery


class RequestSender(typing.Protocol):
    """Sends requests to workers and advisors asynchronously.

    Methods return at once; outcomes arrive as local requests.
    """

    def start_polling(self, worker: WorkerInfo, fence: int) -> None:
        """Start to poll a worker under a fence."""

    def send_start(self, request: StartRequest) -> None:
        """Send a start with a limited number of tries."""

    def withdraw_start(self, attempt: AttemptKey) -> None:
        """Repeat a start no more: the worker has listed its attempt."""

    def withdraw_starts(self, fence: int) -> None:
        """Send and repeat no start of a session that has ended."""

    def send_stop(self, request: StopRequest) -> None:
        """Send a stop with a limited number of tries."""

    def stop_leading(self) -> None:
        """Close the idle connections to workers: another replica may lead."""

    def query_advisor(self, query: AdvisorQuery) -> None:
        """Queue a query to the advisor."""
