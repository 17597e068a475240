"""Command line, signal handling and shutdown of the daemons."""

import argparse
import contextlib
import os
import pathlib
import signal
import sys
import threading
import typing

from absl import logging

from cassiahold.core import logs, tracing
from cassiahold.core.conf.settings import Settings, load_settings
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.startup import start_when_disk_has_room

EXIT_FAILED: typing.Final = 1
EXIT_BAD_SETTINGS: typing.Final = 2
_LIVENESS_CHECK_INTERVAL_S: typing.Final = 0.2
_SIGNAL_EXIT_BASE: typing.Final = 128  # plus signal number, as in a shell


class DaemonProgram(typing.Protocol):
    """The interface of a running program that ``run_daemon`` uses."""

    @property
    def is_alive(self) -> bool:
        """Return whether all threads and servers are running."""

    def drain(self) -> None:
        """Refuse new work and return once no work is in progress."""


StartProgram = typing.Callable[[Settings, contextlib.ExitStack], DaemonProgram]


class DaemonSignals:
    """Events set by the signals of a daemon; installs the handlers.

    The first SIGTERM or SIGINT requests a graceful stop, the second one exits
    at once.  SIGHUP requests that the settings file be read again.
    """

    def __init__(self) -> None:
        self.stop_requested = threading.Event()
        self.reload_requested = threading.Event()
        signal.signal(signal.SIGHUP, self._on_hangup)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def _on_hangup(self, number: int, _: typing.Any) -> None:
        self.reload_requested.set()

    def _on_signal(self, number: int, _: typing.Any) -> None:
        if self.stop_requested.is_set():
            # Exit without running exit handlers, which could block.
            os._exit(_SIGNAL_EXIT_BASE + number)
        self.stop_requested.set()


def run_daemon(
    name: str,
    description: str,
    start: StartProgram,
    argv: list[str] | None = None,
) -> int:
    """Read the settings, run a program until a signal, then drain it.

    ``start`` registers its clean-up on the given stack.  Returns the exit
    status: 0, ``EXIT_FAILED`` or ``EXIT_BAD_SETTINGS``.
    """
    parser = argparse.ArgumentParser(prog=name, description=description)
    parser.add_argument(
        '--settings',
        required=True,
        type=pathlib.Path,
        help="the host's settings file (YAML)",
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings, print the result and exit',
    )
    arguments = parser.parse_args(argv)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('info')
    try:
        settings = load_settings(arguments.settings)
    except CassiaholdError as exc:
        return _report_start_failure(name, exc, EXIT_BAD_SETTINGS)
    if arguments.check:
        sys.stdout.write(f'{arguments.settings}: no errors\n')
        return 0
    signals = DaemonSignals()
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            tracing.set_up_tracing(
                name,
                settings.host.trace_exporter,
                str(settings.folder / settings.host.trace_file),
            )
        )
        try:
            program = start_when_disk_has_room(
                lambda: _start_on(stack, start, settings),
                signals.stop_requested,
            )
        except CassiaholdError as exc:
            return _report_start_failure(name, exc, EXIT_FAILED)
        if program is None:
            return 0
        logs.info('started', program=name, host=settings.own_host.name)
        return _run(name, program, signals)


def _start_on(
    stack: contextlib.ExitStack, start: StartProgram, settings: Settings
) -> DaemonProgram:
    """Start a program; what it has registered is closed if it fails."""
    with contextlib.ExitStack() as startup:
        program = start(settings, startup)
        stack.push(startup.pop_all())
        return program


def _run(name: str, program: DaemonProgram, signals: DaemonSignals) -> int:
    while not signals.stop_requested.wait(_LIVENESS_CHECK_INTERVAL_S):
        if not program.is_alive:
            logs.error('stopped_by_failure', program=name)
            return EXIT_FAILED
    logs.info('draining', program=name)
    program.drain()
    logs.info('stopped', program=name)
    return 0


def _report_start_failure(name: str, exc: CassiaholdError, status: int) -> int:
    logs.error('cannot_start', program=name, kind=exc.kind.value)
    sys.stderr.write(f'{name}: {exc.detail}\n')
    return status
