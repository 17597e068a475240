"""Start of a program whose disk is full: it waits instead of exiting.

A process that exits would only be started again on the same full disk.
"""

import threading
import typing

from cassiahold.core import logs
from cassiahold.core.exceptions import DiskFullError

START_RETRY_INTERVAL_S: typing.Final = 0.25

Started = typing.TypeVar('Started')


def start_when_disk_has_room(
    start: typing.Callable[[], Started], stop_requested: threading.Event
) -> Started | None:
    """Call ``start`` until it finds room; return what it returns.

    ``start`` has to release everything when it fails.  Returns None when a
    stop is requested before.
    """
    is_logged = False
    while not stop_requested.is_set():
        try:
            return start()
        except DiskFullError as exc:
            if not is_logged:
                logs.error('start_waits_for_room', reason=exc.detail)
            is_logged = True
        stop_requested.wait(START_RETRY_INTERVAL_S)
    return None
