"""Settings of the cell's processes; every default stands here."""

import pathlib
import typing

import msgspec

from cassiahold.agreement.node import Pace
from cassiahold.core.ids import DataCentre, GroupName, HostName

GROUP: typing.Final = GroupName('cell')

HEARTBEAT_S: typing.Final = 0.2
ELECTION_S: typing.Final = 0.7
SNAPSHOT_RECORDS: typing.Final = 20_000
SNAPSHOT_BYTES: typing.Final = 16_777_216  # 16 MiB
CALL_THREADS: typing.Final = 128
START_THREADS: typing.Final = 32
REQUEST_TIMEOUT_S: typing.Final = 0.4  # one try of a start or a stop
POLL_MAX_WAIT_S: typing.Final = 1.0  # how long a worker may wait for an end
POLL_TIMEOUT_SLACK_S: typing.Final = (
    0.5  # beyond the wait, until a look has failed
)
READY_SILENT_S: typing.Final = 1.5  # one touch missed: callers go elsewhere
LEADER_SILENT_S: typing.Final = 2.2  # two touches missed: refuse at once
FINISHED_JOB_RETENTION_S: typing.Final = 180.0


class WorkerBounds(msgspec.Struct, frozen=True):
    """What the workers guarantee.

    ``max_lease_s`` is the longest lease that a worker grants; a gang whose
    members are not all present within ``gang_timeout_s`` gives up.
    """

    max_lease_s: float = 6.0
    gang_timeout_s: float = 3.0


class CellSettings(msgspec.Struct, frozen=True):
    """What a process of the cell knows when it starts.

    ``address`` and ``seeds`` are ``ip:port`` of the traffic between the
    cell's processes.  ``is_first_start`` is True only when the whole cell
    starts for the first time; then the seeds are the first voters.
    ``listen_address`` is where the process listens when others reach it
    at ``address`` through something in between.
    """

    host: HostName
    data_centre: DataCentre
    address: str
    seeds: tuple[str, ...]
    data_folder: pathlib.Path | None = None
    is_bootstrap: bool = False
    losses_borne: int = 1
    heartbeat_s: float = HEARTBEAT_S
    election_s: float = ELECTION_S
    call_threads: int = CALL_THREADS
    start_threads: int = START_THREADS
    keep_finished_s: float = FINISHED_JOB_RETENTION_S
    worker: WorkerBounds = WorkerBounds()
    listen_address: str = ''

    @property
    def bind_address(self) -> str:
        """Return where the process listens for the others."""
        return self.listen_address or self.address

    @property
    def target_voters(self) -> int:
        """Return how many voters bear the losses."""
        return 2 * self.losses_borne + 1

    @property
    def pace(self) -> Pace:
        """Return the durations of the agreement protocol."""
        return Pace(self.heartbeat_s, self.election_s)
