"""How often the leader plans a placement pass.

A pass over a large backlog takes longer than a pass over a small one.  The
pause grows with it, so that planning leaves half of the processor to requests
and replies, without which nothing that was planned starts.
"""

import typing

PAUSE_WITH_CHANGES_S: typing.Final = 0.008
PAUSE_WITHOUT_CHANGES_S: typing.Final = 0.05
MAX_PLANNING_SHARE: typing.Final = 0.5  # of the time


def pause_after_pass(pass_duration_s: float, *, has_changes: bool) -> float:
    """Return the seconds from the start of a pass to the start of the next.

    ``has_changes`` tells whether the state has changed since the pass.
    """
    pause_s = PAUSE_WITH_CHANGES_S if has_changes else PAUSE_WITHOUT_CHANGES_S
    return max(pause_s, pass_duration_s / MAX_PLANNING_SHARE)
