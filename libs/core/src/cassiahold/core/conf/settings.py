"""All settings with their types, units and defaults.

A program reads the settings file of its own host.  That file names the cell
file, which all hosts of the cell share.
"""

import ipaddress
import pathlib
import typing

import msgspec

from cassiahold.core.conf.loading import load_yaml
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GroupName, HostName
from cassiahold.core.tracing import TraceExporter

MAX_SECONDS: typing.Final = 86_400
MAX_COUNT: typing.Final = 1_000_000_000
MAX_PORT: typing.Final = 65_535
_Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
_Count = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class HostEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A host that runs the system's programs.

    ``gateway``, ``scheduler`` and ``coordinator`` are the addresses
    (``ip:port``) of these programs; one without an address does not run on
    this host.
    """

    name: HostName
    data_centre: DataCentre
    gateway: str = ''
    scheduler: str = ''
    coordinator: str = ''


class GroupEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A consensus group and the hosts of its initial replicas."""

    name: GroupName
    replicas: list[HostName]


class Timing(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Durations and clock error, which must be equal on all hosts of a cell."""

    # Interval between heartbeats of a leader.
    heartbeat_s: _Seconds = 0.15
    # A follower without contact to a leader starts an election after a random
    # time between this and twice this.
    election_s: _Seconds = 1.0
    # How long a worker may run tasks after it sent the last report to which it
    # got a reply.
    worker_lease_s: _Seconds = 10.0
    # Interval between reports of a worker or target.
    report_s: _Seconds = 1.0
    # How long a gateway may use the configuration without a renewed lease.
    configuration_lease_s: _Seconds = 3.0
    # How long a gateway may use a slot without a renewed grant.
    slot_lease_s: _Seconds = 3.0
    # Interval between a gateway's synchronisations with its groups.
    sync_s: _Seconds = 0.4
    # Largest relative error of any clock, as a fraction.
    clock_drift: typing.Annotated[float, msgspec.Meta(ge=0, le=0.5)] = 0.01


class CellSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings that all hosts of a cell share."""

    name: str
    hosts: list[HostEntry]
    # One scheduler group for each data centre, named after it.
    scheduler_groups: list[GroupEntry]
    coordinator_group: GroupEntry
    timing: Timing = msgspec.field(default_factory=Timing)
    # SHA-256, in hexadecimal, of the keys of operators and of workers.
    operator_key_sha256: str = ''
    worker_key_sha256: str = ''

    @property
    def host_by_name(self) -> dict[HostName, HostEntry]:
        """Return the hosts by name."""
        return {host.name: host for host in self.hosts}


class RetrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """When refused callers are told to try again."""

    # Shortest pause before another try.
    min_delay_s: _Seconds = 0.05
    # Pause when nothing is known about the cause of the refusal.
    default_delay_s: _Seconds = 0.5
    # Longest pause; must be less than callers are ready to wait.
    max_delay_s: _Seconds = 30.0
    # Callers with less time left than this return before others.
    urgent_time_left_s: _Seconds = 2.0
    # Drain rate of a process that has had few requests.
    default_rate_per_s: typing.Annotated[
        float, msgspec.Meta(gt=0, le=MAX_COUNT)
    ] = 50.0


class TlsSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Encryption of the connections between the system's processes."""

    # 'mutual' requires the three files; plain text has to be set explicitly.
    mode: typing.Literal['mutual', 'plain'] = 'mutual'
    ca_file: str = ''
    certificate_file: str = ''
    key_file: str = ''


class HostSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the programs on one host."""

    host: HostName
    cell_file: str
    # Folder of the journals and other durable data.
    data_folder: str
    tls: TlsSettings = msgspec.field(default_factory=TlsSettings)
    # Threads that serve HTTP requests; a live request occupies one.
    http_threads: _Count = 48
    # Threads that serve calls from other processes of the system.
    call_threads: _Count = 64
    # Largest body of a request or response, in bytes.
    max_body_bytes: _Count = 1_000_000
    # Live requests of one team that may wait at one gateway.
    team_queue_length: _Count = 200
    retry: RetrySettings = msgspec.field(default_factory=RetrySettings)
    # How long a graceful stop waits for requests in progress.
    drain_s: _Seconds = 30.0
    # Number of log records after which a snapshot replaces them.
    snapshot_records: _Count = 20_000
    # Size of log records in bytes after which a snapshot replaces them.
    snapshot_bytes: _Count = 16_000_000
    # Address of a statsd server as ip:port; without one no metrics are sent.
    statsd_address: str = ''
    trace_exporter: TraceExporter = TraceExporter.NONE
    # File for spans when trace_exporter is 'file'.
    trace_file: str = ''


class Settings(msgspec.Struct, frozen=True):
    """The validated settings of one program."""

    host: HostSettings
    cell: CellSettings
    own_host: HostEntry
    # Folder of the settings file; paths in it are relative to this folder.
    folder: pathlib.Path

    @property
    def data_folder(self) -> pathlib.Path:
        """Return the path of the data folder."""
        return self.folder / self.host.data_folder


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate the settings of a host and of its cell.

    Raises ``CassiaholdError`` of kind ``BAD_SETTINGS`` that names the file,
    the setting and its value, and the line of a malformed value.
    """
    host = load_yaml(path, HostSettings)
    cell_path = path.parent / host.cell_file
    cell = load_yaml(cell_path, CellSettings)
    _check_cell(cell, cell_path)
    own = cell.host_by_name.get(host.host)
    if own is None:
        raise _settings_error(
            path, f'host {host.host!r} is not listed in {cell_path}'
        )
    _check_host(host, path)
    return Settings(host, cell, own, path.parent)


def check_retry_settings(retry: RetrySettings) -> None:
    """Raise ``BAD_SETTINGS`` unless the pauses are in ascending order."""
    if not retry.min_delay_s <= retry.default_delay_s <= retry.max_delay_s:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'retry.default_delay_s is {retry.default_delay_s} but must be '
            f'from min_delay_s ({retry.min_delay_s}) to max_delay_s '
            f'({retry.max_delay_s})',
        )


def _settings_error(path: pathlib.Path, detail: str) -> CassiaholdError:
    return CassiaholdError(ErrorKind.BAD_SETTINGS, f'{path}: {detail}')


def _check_host(host: HostSettings, path: pathlib.Path) -> None:
    tls = host.tls
    if tls.mode == 'mutual':
        for name in ('ca_file', 'certificate_file', 'key_file'):
            if not getattr(tls, name):
                raise _settings_error(
                    path, f'tls.{name} is empty but tls.mode is mutual'
                )
    if host.trace_exporter is TraceExporter.FILE and not host.trace_file:
        raise _settings_error(
            path, 'trace_file is empty but trace_exporter is file'
        )
    if host.statsd_address:
        _check_address(host.statsd_address, 'statsd_address', path)
    try:
        check_retry_settings(host.retry)
    except CassiaholdError as exc:
        raise _settings_error(path, exc.detail) from exc


def _check_cell(cell: CellSettings, path: pathlib.Path) -> None:
    host_names = [host.name for host in cell.hosts]
    for name in host_names:
        if host_names.count(name) > 1:
            raise _settings_error(path, f'host {name!r} is listed twice')
    for entry in cell.hosts:
        _check_addresses(entry, path)
    for group in (*cell.scheduler_groups, cell.coordinator_group):
        _check_group(group, cell, path)
    data_centres = {entry.data_centre for entry in cell.hosts}
    group_names = {str(group.name) for group in cell.scheduler_groups}
    if group_names != data_centres:
        raise _settings_error(
            path,
            f'scheduler_groups {sorted(group_names)} must be named after the '
            f'data centres {sorted(data_centres)}',
        )
    _check_timing(cell.timing, path)


def _check_addresses(entry: HostEntry, path: pathlib.Path) -> None:
    for role in ('gateway', 'scheduler', 'coordinator'):
        address = getattr(entry, role)
        if address:
            _check_address(address, f'{entry.name}.{role}', path)


def _check_group(
    group: GroupEntry, cell: CellSettings, path: pathlib.Path
) -> None:
    role = 'coordinator' if group is cell.coordinator_group else 'scheduler'
    for name in group.replicas:
        host = cell.host_by_name.get(name)
        if host is None:
            raise _settings_error(
                path, f'group {group.name!r}: unknown host {name!r}'
            )
        if not getattr(host, role):
            raise _settings_error(
                path,
                f'group {group.name!r}: host {name!r} has no {role} address',
            )
    if not group.replicas:
        raise _settings_error(path, f'group {group.name!r} has no replicas')


def _check_timing(timing: Timing, path: pathlib.Path) -> None:
    if timing.election_s < 3 * timing.heartbeat_s:
        raise _settings_error(
            path,
            f'timing.election_s is {timing.election_s} but must be at least '
            f'3 times heartbeat_s ({timing.heartbeat_s})',
        )
    if timing.worker_lease_s < 2 * timing.report_s:
        raise _settings_error(
            path,
            f'timing.worker_lease_s is {timing.worker_lease_s} but must be '
            f'at least twice report_s ({timing.report_s})',
        )


def _check_address(address: str, name: str, path: pathlib.Path) -> None:
    ip, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(ip)
    except ValueError as exc:
        raise _settings_error(
            path, f'{name} is {address!r}; expected an IP address and a port'
        ) from exc
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise _settings_error(
            path, f'{name} is {address!r}; the port is not in 1-65535'
        )
