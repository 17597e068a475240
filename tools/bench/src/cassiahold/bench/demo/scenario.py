"""The faults and changes of the demo, and the measurements taken meanwhile."""

import statistics
import threading
import time
import typing

import msgspec

from cassiahold.bench.demo.local_cell import Cost, LocalCell
from cassiahold.bench.demo.statsd_listener import StatsdListener
from cassiahold.bench.demo.workload import Workload
from cassiahold.client import CallerClient, OperatorClient
from cassiahold.config import Configuration, new_key
from cassiahold.core.exceptions import CassiaholdError, ErrorKind

OPERATOR_KEY: typing.Final = 'example-operator-key'
LIVE_CALLER_COUNT: typing.Final = 8
_MAX_PROPAGATION_S: typing.Final = 9.0


class DemoMeasurements(msgspec.Struct):
    """Measurements of one demo; durations are in seconds.

    ``packing_samples`` and ``share_errors`` are fractions, sampled only
    while tasks wait; ``violations`` has a line for each violated property.
    """

    propagation_s: list[float] = msgspec.field(default_factory=list)
    key_withdrawal_s: float = float('nan')
    packing_samples: list[float] = msgspec.field(default_factory=list)
    share_errors: list[float] = msgspec.field(default_factory=list)
    killed_processes: list[str] = msgspec.field(default_factory=list)
    failover_s: float = float('nan')
    load_duration_s: float = 0.0
    cost_by_role: dict[str, Cost] = msgspec.field(default_factory=dict)
    bytes_by_role: dict[str, int] = msgspec.field(default_factory=dict)
    violations: list[str] = msgspec.field(default_factory=list)


class Scenario:
    """Runs the faults and changes in sequence while callers send load."""

    def __init__(
        self,
        cell: LocalCell,
        configuration: Configuration,
        listener: StatsdListener,
    ) -> None:
        self._listener = listener
        self._cell = cell
        self._configuration = configuration
        self._operator = OperatorClient(cell.gateways(), OPERATOR_KEY)
        self._stop = threading.Event()
        self.measurements = DemoMeasurements()

    def set_up(self) -> dict[str, str]:
        """Apply the configuration; return a new key for each team by name."""
        self._apply_configuration(self._configuration)
        keys = {}
        for team in self._configuration.teams:
            new_team_key = new_key(f'{team.name}-demo')
            self._operator.grant_key(
                team.name, new_team_key.key.id, new_team_key.key.sha256
            )
            keys[team.name] = new_team_key.presented
        self._wait_until_in_force()
        return keys

    def grant_key(self, team: str) -> str:
        """Grant a team one more key and wait until it is in force."""
        new_team_key = new_key(f'{team}-later')
        self._operator.grant_key(
            team, new_team_key.key.id, new_team_key.key.sha256
        )
        self._wait_until_in_force()
        return new_team_key.presented

    def explain_job(self, job: str) -> str:
        """Return the reasons why a job has not ended."""
        return '; '.join(self._operator.why(job)['reasons'])

    def run(self, workload: Workload, spare_key: str) -> None:
        """Run the load, kill processes, withdraw a key and change shares."""
        started_at = time.monotonic()
        usage_before = self._cell.cost_by_role()
        bytes_before = self._listener.bytes_by_role()
        workload.start(LIVE_CALLER_COUNT)
        sampler = threading.Thread(target=self._sample_status, daemon=True)
        sampler.start()
        time.sleep(10)
        self._kill_gateway()
        time.sleep(4)
        self._kill_scheduler()
        time.sleep(5)
        self._withdraw_key(spare_key)
        self._change_shares()
        time.sleep(8)
        self._stop.set()
        sampler.join()
        workload.stop()
        self.measurements.load_duration_s = time.monotonic() - started_at
        self._record_costs(usage_before)
        self.measurements.bytes_by_role = {
            role: count - bytes_before.get(role, 0)
            for role, count in self._listener.bytes_by_role().items()
        }

    def _apply_configuration(self, configuration: Configuration) -> None:
        document = msgspec.json.decode(msgspec.json.encode(configuration))
        base_version = self._operator.configuration()['version']
        self._operator.apply(document, base_version)
        self.measurements.propagation_s.append(self._wait_until_in_force())

    def _wait_until_in_force(self) -> float:
        started_at = time.monotonic()
        while True:
            waiting = self._operator.configuration()['waiting_for']
            took_s = time.monotonic() - started_at
            if not waiting:
                return took_s
            if took_s > 3 * _MAX_PROPAGATION_S:
                self.measurements.violations.append(
                    f'property 10: not in force after {took_s:.1f} s: {waiting}'
                )
                return took_s
            time.sleep(0.05)

    def _kill_gateway(self) -> None:
        host = self._cell.hosts[1].name
        self._cell.kill('gateway', host)
        self.measurements.killed_processes.append(f'gateway of {host}')
        threading.Timer(5.0, self._cell.start, ('gateway', host)).start()

    def _kill_scheduler(self) -> None:
        centre = self._cell.hosts[0].data_centre
        host = self._cell.find_leader(centre)
        if not host:
            self.measurements.violations.append(
                f'no leader of {centre} was found'
            )
            return
        self._cell.kill('scheduler', host)
        self.measurements.killed_processes.append(
            f'scheduler of {host}, leader of {centre}'
        )
        started_at = time.monotonic()
        while not self._cell.find_leader(centre):
            if time.monotonic() - started_at > 15:
                break
            time.sleep(0.05)
        self.measurements.failover_s = time.monotonic() - started_at
        self._cell.start('scheduler', host)

    def _withdraw_key(self, spare_key: str) -> None:
        clients = [
            CallerClient([address], spare_key)
            for address in self._cell.gateways()
        ]
        self._operator.withdraw_key(spare_key.partition('.')[0])
        started_at = time.monotonic()
        for client in clients:
            while not _is_key_refused(client):
                if time.monotonic() - started_at > 3 * _MAX_PROPAGATION_S:
                    self.measurements.violations.append(
                        'property 3: a withdrawn key still works'
                    )
                    return
                time.sleep(0.05)
        self.measurements.key_withdrawal_s = time.monotonic() - started_at

    def _change_shares(self) -> None:
        teams = tuple(
            msgspec.structs.replace(team, share=team.share + 1)
            for team in self._configuration.teams
        )
        self._apply_configuration(
            msgspec.structs.replace(self._configuration, teams=teams)
        )

    def _sample_status(self) -> None:
        while not self._stop.wait(1.0):
            try:
                status = self._operator.status()
            except CassiaholdError:
                continue
            for centre in status['centres']:
                if centre.get('status'):
                    self._sample_centre(centre['status'])

    def _sample_centre(self, status: dict[str, typing.Any]) -> None:
        waiting_teams = [
            team for team in status['teams'] if team['waiting_tasks']
        ]
        if not waiting_teams:
            return
        self.measurements.packing_samples.append(status['packing'])
        self.measurements.share_errors.append(
            statistics.fmean(
                abs(team['share'] - team['entitled_share'])
                for team in status['teams']
            )
        )

    def _record_costs(self, usage_before: dict[str, Cost]) -> None:
        after = self._cell.cost_by_role()
        for role, cost in after.items():
            cost.cpu_s -= usage_before.get(role, Cost()).cpu_s
        self.measurements.cost_by_role = after


def _is_key_refused(client: CallerClient) -> bool:
    try:
        client.submit({'queue': 'repairs'}, timeout_s=0.0)
    except CassiaholdError as exc:
        return exc.kind is ErrorKind.UNKNOWN_KEY
    return False
