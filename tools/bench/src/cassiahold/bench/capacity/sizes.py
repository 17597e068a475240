"""Cell sizes that capacity is estimated for."""

import msgspec


class CellSize(msgspec.Struct, frozen=True):
    """Size of a whole cell, with its peak rates.

    ``entry_hosts`` run the control processes.  ``targets`` serve live
    requests.
    """

    name: str
    workers: int
    data_centres: int
    regions: int
    entry_hosts: int
    running_tasks: int
    starts_per_s: float
    jobs_per_day: float
    teams: int
    targets: int
    live_requests_per_s: float
    configuration_changes_per_day: float
    tasks_per_worker: float
    report_interval_s: float


TODAY = CellSize(
    name='today',
    workers=24,
    data_centres=4,
    regions=1,
    entry_hosts=8,
    running_tasks=400,
    starts_per_s=200,
    jobs_per_day=2000,
    teams=6,
    targets=24,
    live_requests_per_s=200,
    configuration_changes_per_day=50,
    tasks_per_worker=17,
    report_interval_s=1.0,
)
PLANNED = CellSize(
    name='planned',
    workers=8000,
    data_centres=9,
    regions=4,
    entry_hosts=9,
    running_tasks=64_000,
    starts_per_s=7800,
    jobs_per_day=64_000,
    teams=300,
    targets=1600,
    live_requests_per_s=2000,
    configuration_changes_per_day=9400,
    tasks_per_worker=8,
    report_interval_s=1.0,
)
