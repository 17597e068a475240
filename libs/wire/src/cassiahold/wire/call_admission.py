"""Admission control for the calls that a server handles at the same time.

Calls are told apart by *flow*, for instance the key of a team or the type of
an internal request.  While few calls are in progress, all are admitted.  The
last places are kept for flows below their fair share, so a burst of one flow
does not push out the others.
"""

import collections
import threading
import typing

# One place in this many is kept for flows below their fair share.
PLACES_PER_RESERVED_PLACE: typing.Final = 8


class CallAdmission:
    """Counts the calls in progress by flow and admits or refuses new ones.

    Without ``has_flows`` no places are reserved.  Thread-safe.
    """

    def __init__(self, max_calls: int, *, has_flows: bool) -> None:
        self.max_calls = max_calls
        reserved = max_calls // PLACES_PER_RESERVED_PLACE if has_flows else 0
        self._open_places = max_calls - reserved
        self._lock = threading.Lock()
        self._in_progress = 0
        self._in_progress_by_flow: collections.Counter[str]
        self._in_progress_by_flow = collections.Counter()

    def try_begin(self, flow: str) -> bool:
        """Count a call of a flow; return False if it is refused."""
        with self._lock:
            if not self._is_admitted(flow):
                return False
            self._in_progress += 1
            self._in_progress_by_flow[flow] += 1
            return True

    def end(self, flow: str) -> None:
        """Free the place of an admitted call."""
        with self._lock:
            self._in_progress -= 1
            self._in_progress_by_flow[flow] -= 1
            if not self._in_progress_by_flow[flow]:
                self._in_progress_by_flow.pop(flow)

    def _is_admitted(self, flow: str) -> bool:
        if self._in_progress < self._open_places:
            return True
        if self._in_progress >= self.max_calls:
            return False
        flows = len(self._in_progress_by_flow | {flow: 1})
        fair_share = max(self.max_calls // flows, 1)
        is_alone = flows == 1
        return not is_alone and self._in_progress_by_flow[flow] < fair_share
