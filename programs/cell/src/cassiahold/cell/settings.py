"""Settings of the cell's processes and their defaults."""

import pathlib
import typing

import msgspec

from cassiahold.agreement.node import RaftTiming
from cassiahold.core.conf.settings import RetrySettings
from cassiahold.core.ids import DataCentre, GroupName, HostName

GROUP: typing.Final = GroupName('cell')

HEARTBEAT_S: typing.Final = 0.2
ELECTION_S: typing.Final = 0.7
SNAPSHOT_RECORDS: typing.Final = 20_000
SNAPSHOT_BYTES: typing.Final = 16_777_216  # 16 MiB
CALL_THREADS: typing.Final = 128
START_THREADS: typing.Final = 32
REQUEST_TIMEOUT_S: typing.Final = 0.4  # longest, of one try of a start or stop
POLL_MAX_WAIT_S: typing.Final = 1.0  # how long a worker may delay its reply
POLL_TIMEOUT_SLACK_S: typing.Final = 0.5  # beyond the wait, until a poll fails
# One missed contact with the leader: load balancers send callers elsewhere.
MAX_READY_SILENCE_S: typing.Final = 1.5
# Two missed contacts with the leader: requests are refused at once.
MAX_LEADER_SILENCE_S: typing.Final = 2.2
FINISHED_JOB_RETENTION_S: typing.Final = 180.0


class WorkerBounds(msgspec.Struct, frozen=True):
    """Bounds that the workers guarantee.

    ``max_lease_s`` is the longest lease that a worker accepts; a gang whose
    members are not all present within ``gang_timeout_s`` gives up.
    """

    max_lease_s: float = 6.0
    gang_timeout_s: float = 3.0


class CellSettings(msgspec.Struct, frozen=True):
    """Settings of one process of the cell.

    ``address`` and ``seeds`` are ``ip:port`` for the traffic between the
    cell's processes.  ``is_bootstrap`` is True only when the whole cell
    starts for the first time; then the seeds are the first voters.
    ``listen_address`` is set when others reach the process at ``address``
    through an intermediary.
    """

    host: HostName
    data_centre: DataCentre
    address: str
    seeds: tuple[str, ...]
    data_folder: pathlib.Path | None = None
    is_bootstrap: bool = False
    tolerated_failures: int = 1
    heartbeat_s: float = HEARTBEAT_S
    election_s: float = ELECTION_S
    call_threads: int = CALL_THREADS
    start_threads: int = START_THREADS
    finished_job_retention_s: float = FINISHED_JOB_RETENTION_S
    worker_bounds: WorkerBounds = WorkerBounds()
    listen_address: str = ''
    retry: RetrySettings = RetrySettings()

    @property
    def bind_address(self) -> str:
        """Return the address to listen on for the other processes."""
        return self.listen_address or self.address

    @property
    def target_voters(self) -> int:
        """Return how many voters tolerate the configured failures."""
        return 2 * self.tolerated_failures + 1

    @property
    def raft_timing(self) -> RaftTiming:
        """Return the timing of the consensus protocol."""
        return RaftTiming(self.heartbeat_s, self.election_s)
