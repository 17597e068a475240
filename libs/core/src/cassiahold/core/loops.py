"""Steps of loops that go on after an unexpected error.

Nothing starts a thread again that has ended, and what it renews, sends or
reports would stay as it was.
"""

import typing

from cassiahold.core import logs
from cassiahold.core.exceptions import detail_of, kind_name

StepResult = typing.TypeVar('StepResult')


def run_step(
    loop: str, step: typing.Callable[[], StepResult]
) -> StepResult | None:
    """Call one step of a loop; log an error that it raises.

    Returns None after an error.
    """
    try:
        return step()
    except Exception as exc:  # noqa: BLE001
        log_failure(loop, exc)
    return None


def log_failure(loop: str, exc: Exception) -> None:
    """Log an error of a loop that goes on."""
    logs.error(
        'step_failed', loop=loop, kind=kind_name(exc), reason=detail_of(exc)
    )
