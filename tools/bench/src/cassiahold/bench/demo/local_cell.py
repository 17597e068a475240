"""Runs an example deployment as real processes on loopback."""

import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import typing

import msgspec
import urllib3
import yaml

from cassiahold.core.conf.loading import load_yaml
from cassiahold.core.conf.settings import CellSettings, HostEntry, TlsSettings
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import GroupName
from cassiahold.wire.messages import GetReplicas, Replicas
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel

HOST_PROGRAMS: typing.Final = ('coordinator', 'scheduler', 'gateway')
_STOP_TIMEOUT_S: typing.Final = 15.0
_READY_TIMEOUT_S: typing.Final = 30.0
_TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')


class Cost(msgspec.Struct):
    """CPU time and resident memory of the running processes of one role.

    ``cpu_s`` also counts processes that were stopped or killed.
    """

    processes: int = 0
    cpu_s: float = 0.0
    memory_mb: float = 0.0


class LocalCell:
    """The processes of one deployment, named ``<program>/<host>``.

    Copies the example into ``folder``, which is emptied first, and writes
    logs and journals there.
    """

    def __init__(self, example: pathlib.Path, folder: pathlib.Path) -> None:
        shutil.rmtree(folder, ignore_errors=True)
        shutil.copytree(
            example, folder, ignore=shutil.ignore_patterns('data', '*.py')
        )
        self.folder = folder
        self.settings = load_yaml(folder / 'cell.yaml', CellSettings)
        self.journal_folder = folder / 'journal'
        self.journal_folder.mkdir()
        self._log_folder = folder / 'logs'
        self._log_folder.mkdir()
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._ended_cost_by_role: dict[str, Cost] = {}

    @property
    def hosts(self) -> list[HostEntry]:
        """Return the hosts of the cell file."""
        return self.settings.hosts

    def gateways(self, centre: str = '') -> list[str]:
        """Return gateway addresses, of one data centre or, by default, all."""
        return [
            host.gateway
            for host in self.hosts
            if host.gateway and centre in {'', host.data_centre}
        ]

    def update_host_settings(self, settings: dict[str, str]) -> None:
        """Merge settings into each host's file; call before ``start_all``."""
        for path in (self.folder / 'hosts').iterdir():
            current = yaml.safe_load(path.read_text())
            path.write_text(yaml.safe_dump({**current, **settings}))

    def start_all(self) -> None:
        """Start every program and the fakes of every data centre."""
        for host in self.hosts:
            for program in HOST_PROGRAMS:
                if getattr(host, program):
                    self.start(program, host.name)
        for plan in sorted((self.folder / 'stand-ins').iterdir()):
            self._spawn(
                f'stand-ins/{plan.stem}',
                [
                    '-m',
                    'cassiahold.fakes.main',
                    '--plan',
                    str(plan),
                    '--journal',
                    str(self.journal_folder / f'{plan.stem}.jsonl'),
                ],
            )

    def start(self, program: str, host: str) -> None:
        """Start one program of one host, also again after it ended."""
        settings = self.folder / 'hosts' / f'{host}.yaml'
        self._spawn(
            f'{program}/{host}',
            ['-m', f'cassiahold.{program}.main', '--settings', str(settings)],
        )

    def kill(self, program: str, host: str) -> None:
        """Send SIGKILL to one program, which models a power failure."""
        self._signal_and_wait(f'{program}/{host}', signal.SIGKILL)

    def suspend(self, program: str, host: str) -> None:
        """Send SIGSTOP to one program; it continues after ``resume``."""
        process = self._process_by_name[f'{program}/{host}']
        process.send_signal(signal.SIGSTOP)

    def resume(self, program: str, host: str) -> None:
        """Send SIGCONT to a suspended program."""
        process = self._process_by_name[f'{program}/{host}']
        process.send_signal(signal.SIGCONT)

    def stop(self, program: str, host: str) -> int:
        """Send SIGTERM to one program and return its exit code."""
        return self._signal_and_wait(f'{program}/{host}', signal.SIGTERM)

    def is_running(self, program: str, host: str) -> bool:
        """Return whether a program was started and has not ended."""
        process = self._process_by_name.get(f'{program}/{host}')
        return process is not None and process.poll() is None

    def wait_until_ready(self) -> None:
        """Wait until every gateway is healthy.

        Raises ``RuntimeError`` when this takes longer than 30 seconds.
        """
        deadline = time.monotonic() + _READY_TIMEOUT_S
        pools = urllib3.PoolManager(retries=False)
        for address in self.gateways():
            while not _is_healthy(pools, address):
                if time.monotonic() > deadline:
                    raise RuntimeError(f'gateway {address} is not healthy')
                time.sleep(0.1)

    def find_leader(self, group: str, program: str = 'scheduler') -> str:
        """Return the host whose replica leads a group, or '' without one."""
        security = TransportSecurity(TlsSettings(mode='plain'), self.folder)
        for host in self.hosts:
            if not self.is_running(program, host.name):
                continue
            channel = Channel(getattr(host, program), security)
            with contextlib.closing(channel):
                try:
                    reply = channel.call(GroupName(group), GetReplicas(), 1.0)
                except CassiaholdError:
                    continue
            if isinstance(reply, Replicas) and any(
                replica.group == group and replica.role == 'leader'
                for replica in reply.replicas
            ):
                return host.name
        return ''

    def cost_by_role(self) -> dict[str, Cost]:
        """Return the resource usage of each role since the start."""
        costs = {
            role: msgspec.structs.replace(cost)
            for role, cost in self._ended_cost_by_role.items()
        }
        for name, process in self._process_by_name.items():
            if process.poll() is not None:
                continue
            cost = costs.setdefault(name.partition('/')[0], Cost())
            cost.processes += 1
            cost.cpu_s += _cpu_s(process.pid)
            cost.memory_mb += _memory_mb(process.pid)
        return costs

    def close(self) -> None:
        """Stop every running process, by SIGKILL after 15 seconds."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + _STOP_TIMEOUT_S
        for process in self._process_by_name.values():
            remaining_s = max(deadline - time.monotonic(), 0.1)
            try:
                process.wait(remaining_s)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log_path = self._log_folder / f'{name.replace("/", "-")}.log'
        with log_path.open('ab') as stream:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )

    def _signal_and_wait(self, name: str, number: signal.Signals) -> int:
        process = self._process_by_name[name]
        if process.poll() is None:
            cost = self._ended_cost_by_role.setdefault(
                name.partition('/')[0], Cost()
            )
            cost.cpu_s += _cpu_s(process.pid)
        process.send_signal(number)
        return process.wait(_STOP_TIMEOUT_S)


def _is_healthy(pools: urllib3.PoolManager, address: str) -> bool:
    try:
        response = pools.request(
            'GET', f'http://{address}/healthz', timeout=1.0
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def _memory_mb(pid: int) -> float:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES / 1e6
