"""Resource estimates for each role at a cell size, from measured slopes."""

import msgspec

from cassiahold.bench.capacity.sizes import CellSize
from cassiahold.bench.capacity.slopes import Slope


class Estimate(msgspec.Struct, frozen=True):
    """Estimated quantity of one role.

    ``source`` names the slopes behind it, and ``mechanism`` what keeps it low.
    """

    role: str
    quantity: str
    value: float
    unit: str
    source: str
    mechanism: str
    limit: float | None = None

    @property
    def is_within_limit(self) -> bool:
        """Whether the value is within its limit, if it has one."""
        return self.limit is None or self.value <= self.limit


def estimate_requirements(
    size: CellSize, slope_by_name: dict[str, Slope]
) -> list[Estimate]:
    """Return the estimates of every role at a size."""
    return [
        *_estimate_worker_node(size, slope_by_name),
        *_estimate_gateways(size, slope_by_name),
        *_estimate_scheduler_group(size, slope_by_name),
        *_estimate_coordinator_group(size, slope_by_name),
        *_estimate_hosts(size, slope_by_name),
    ]


def _reports_per_s(size: CellSize) -> float:
    # Workers also report when a task ends; the reply starts the next one.
    return size.workers / size.report_interval_s + size.starts_per_s


def _estimate_worker_node(
    size: CellSize, slopes: dict[str, Slope]
) -> list[Estimate]:
    wire_bytes = slopes['report and answer on the wire']
    bytes_per_report = wire_bytes.cost_at(size.tasks_per_worker)
    reports = _reports_per_s(size) / size.workers
    return [
        Estimate(
            'worker node',
            'bytes a second for control',
            bytes_per_report * reports / 1000,
            'KB/s',
            wire_bytes.name,
            'one lease for each worker, commands in the answers',
            limit=3.0,
        )
    ]


def _estimate_gateways(
    size: CellSize, slopes: dict[str, Slope]
) -> list[Estimate]:
    reports = slopes['gateway, worker reports']
    live = slopes['gateway, live requests']
    submit = slopes['gateway, submissions']
    jobs_per_s = size.jobs_per_day / 86_400 * 10
    cores = (
        reports.slope * _reports_per_s(size)
        + live.slope * size.live_requests_per_s
        + submit.slope * jobs_per_s
    )
    memory = slopes['gateway memory']
    idle = slopes['gateway, idle']
    return [
        Estimate(
            'gateways together',
            'reports and announcements a second',
            _reports_per_s(size) + size.targets,
            '1/s',
            'from the size',
            'one report for each worker and second, more when tasks end',
        ),
        Estimate(
            'gateways together',
            'processor time',
            cores + idle.slope * size.entry_hosts,
            'cores',
            f'{reports.name}; {live.name}; {submit.name}',
            'several gateway processes on each entry host',
        ),
        Estimate(
            'gateway on one entry host',
            'memory of one process',
            memory.base / measured_gateway_count()
            + memory.slope * (size.workers + size.targets) / size.entry_hosts,
            'MB',
            memory.name,
            'soft state only; connections of its data centre',
        ),
    ]


def measured_gateway_count() -> int:
    """Return the number of gateway processes in the measured cell."""
    return 8


def _estimate_scheduler_group(
    size: CellSize, slopes: dict[str, Slope]
) -> list[Estimate]:
    centres = size.data_centres
    reports = _reports_per_s(size) / centres
    starts = size.starts_per_s / centres
    report = slopes['scheduler, worker reports']
    start_and_end = slopes['scheduler, start and end']
    agreement = slopes['agreement, batches of 64']
    memory = slopes['scheduler memory']
    leader_start = slopes['new leader ready']
    restore = slopes['restart from snapshot']
    log_bytes = slopes['log bytes, start and end']
    sync = slopes['log, synced in batches of 64']
    tasks = size.running_tasks / centres
    return [
        Estimate(
            'leader of one scheduler group',
            'processor time',
            report.slope * reports
            + (start_and_end.slope + 2 * agreement.slope) * starts / 1e6,
            'cores',
            f'{report.name}; {start_and_end.name}; {agreement.name}',
            'one group for each data centre; batched entries',
            limit=1.0,
        ),
        Estimate(
            'replica of one scheduler group',
            'state in memory',
            memory.cost_at(tasks),
            'MB',
            memory.name,
            'small records, finished jobs forgotten after a day',
        ),
        Estimate(
            'leader of one scheduler group',
            'log written',
            log_bytes.slope * starts / 1000,
            'KB/s',
            log_bytes.name,
            'batches, snapshots and truncation',
        ),
        Estimate(
            'leader of one scheduler group',
            'time at the disk for each second',
            sync.slope * 2 * starts,
            's',
            sync.name,
            'one sync for many entries',
            limit=1.0,
        ),
        Estimate(
            'new leader of one scheduler group',
            'indexes built after an election',
            leader_start.cost_at(tasks),
            's',
            leader_start.name,
            'indexes from the state, leases assumed for one term',
            limit=3.0,
        ),
        Estimate(
            'replica of one scheduler group',
            'restart from its snapshot',
            restore.cost_at(tasks),
            's',
            restore.name,
            'binary snapshot of plain records',
            limit=5.0,
        ),
    ]


def _estimate_coordinator_group(
    size: CellSize, slopes: dict[str, Slope]
) -> list[Estimate]:
    change = slopes['coordinator, one change']
    wire_bytes = slopes['configuration on the wire']
    replay = slopes['restart from log']
    changes = size.configuration_changes_per_day / 86_400
    fan_out = size.entry_hosts + size.data_centres
    return [
        Estimate(
            'leader of the coordinator group',
            'processor time for changes',
            change.cost_at(size.teams) * changes / 1e6,
            'cores',
            change.name,
            'low rate, off every hot path',
            limit=1.0,
        ),
        Estimate(
            'leader of the coordinator group',
            'configuration sent',
            wire_bytes.cost_at(size.teams) * changes * fan_out / 1000,
            'KB/s',
            wire_bytes.name,
            'sent whole to each gateway and group, only when it changed',
        ),
        Estimate(
            'replica of the coordinator group',
            'restart a day of changes behind',
            replay.cost_at(size.configuration_changes_per_day),
            's',
            replay.name,
            'log replay; a snapshot is shorter',
            limit=5.0,
        ),
    ]


def _estimate_hosts(size: CellSize, slopes: dict[str, Slope]) -> list[Estimate]:
    estimates = [
        *_estimate_gateways(size, slopes),
        *_estimate_scheduler_group(size, slopes),
        *_estimate_coordinator_group(size, slopes),
    ]
    gateway = _find_value(estimates, 'gateways together', 'processor time')
    leader = _find_value(
        estimates, 'leader of one scheduler group', 'processor time'
    )
    # Followers write and apply the same entries, but handle no reports.
    start_and_end = slopes['scheduler, start and end'].slope / 1e6
    follower = start_and_end * size.starts_per_s / size.data_centres
    cores = gateway + size.data_centres * (leader + 2 * follower)
    return [
        Estimate(
            'all entry hosts',
            'processor time',
            cores,
            'cores',
            'sum of the above',
            'plain processes on every entry host',
        ),
        Estimate(
            'one entry host',
            'processor time',
            cores / size.entry_hosts,
            'cores',
            'sum of the above, spread evenly',
            'data centres of unequal size need unequal hosts',
        ),
    ]


def _find_value(estimates: list[Estimate], role: str, what: str) -> float:
    for estimate in estimates:
        if (estimate.role, estimate.quantity) == (role, what):
            return estimate.value
    raise KeyError(f'{role}: {what}')
