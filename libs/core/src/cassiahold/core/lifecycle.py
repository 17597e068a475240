"""Starting and stopping of the daemons."""

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

EXIT_FAILED: typing.Final = 1
EXIT_BAD_SETTINGS: typing.Final = 2
_POLL_S: typing.Final = 0.2
_SIGNAL_EXIT: typing.Final = 128  # a shell's code for death by signal


class Program(typing.Protocol):
    """What a daemon provides to ``run_daemon``."""

    @property
    def is_alive(self) -> bool:
        """Tell whether every part is running."""

    def drain(self) -> None:
        """Refuse new work and return once nothing is in progress."""


Start = typing.Callable[[Settings, contextlib.ExitStack], Program]


class DaemonSignals:
    """The first signal asks for a drain, the second stops at once.

    A hang-up only sets ``reload``: the settings file has changed.
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
            # Nothing may delay the second signal, not even exit handlers.
            os._exit(_SIGNAL_EXIT + number)
        self.stop_requested.set()


def run_daemon(
    name: str, description: str, start: Start, argv: list[str] | None = None
) -> int:
    """Read settings, run a program until a signal, and drain it."""
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
        help='check the settings, print the result and stop',
    )
    arguments = parser.parse_args(argv)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('info')
    try:
        settings = load_settings(arguments.settings)
    except CassiaholdError as exc:
        return _fail(name, exc, EXIT_BAD_SETTINGS)
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
            program = start(settings, stack)
        except CassiaholdError as exc:
            return _fail(name, exc, EXIT_FAILED)
        logs.info('started', program=name, host=settings.own_host.name)
        return _run(name, program, signals)


def _run(name: str, program: Program, signals: DaemonSignals) -> int:
    while not signals.stop_requested.wait(_POLL_S):
        if not program.is_alive:
            logs.error('stopped_by_failure', program=name)
            return EXIT_FAILED
    logs.info('draining', program=name)
    program.drain()
    logs.info('stopped', program=name)
    return 0


def _fail(name: str, exc: CassiaholdError, status: int) -> int:
    logs.error('cannot_start', program=name, kind=exc.kind.value)
    sys.stderr.write(f'{name}: {exc.detail}\n')
    return status
