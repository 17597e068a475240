"""Runs a case: starts the cell, calls the scenario and returns the status."""

import os
import pathlib
import sys
import time
import traceback

from cell import CannotRunError, Cell, Record

HELD = 0
BROKEN = 1
CANNOT_RUN = 2


def run(scenario, folder):
    """Run a scenario, which returns whether the rule held, and exit.

    The scenario is called with the cell, the record and whether the
    disruption is to happen (not with ``TROUBLE=0``).
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.write(
        f'the disruption {"happens" if has_trouble else "is left out"}'
    )
    status = CANNOT_RUN
    try:
        with Cell(record) as cell:
            status = _judge(scenario, cell, record, has_trouble)
    except CannotRunError as exc:
        record.write(f'cannot run: {exc}')
    except Exception:
        record.write(f'cannot run: {traceback.format_exc()}')
    record.write(f'exit status {status}')
    record.close()
    sys.stdout.write((pathlib.Path(folder) / 'record.txt').read_text()[-2000:])
    sys.stdout.flush()
    # Threads of the stand-ins may still wait for calls.
    os._exit(status)


def _judge(scenario, cell, record, has_trouble):
    held = scenario(cell, record, has_trouble)
    for machine in (*cell.cores, *cell.edges):
        if machine.ended_by_itself():
            record.write(f'{machine.name} has ended by itself')
    return HELD if held else BROKEN


def wait_for(check, timeout_s, what):
    """Wait until a check is true; raise ``CannotRunError`` otherwise."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.05)
    raise CannotRunError(f'not within {timeout_s} s: {what}')
