"""What failed polls tell about the process of a worker."""

import enum


class PollFailure(enum.Enum):
    """Why a poll got no reply.

    ``CLOSED`` means that the worker's host closed an open connection in order,
    ``REFUSED`` that no process listens at the address, ``UNREACHABLE`` that no
    connection could be opened for another reason.
    """

    NO_REPLY = 'no_reply'
    CLOSED = 'closed'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'


class ProcessEvidence:
    """Tells from the polls of a worker whether its process has ended.

    A process that has ended has closed its connections and accepts no new
    ones.  A worker that is cut off closes none, and one that closes a
    connection for a reason of its own accepts the next.
    """

    def __init__(self) -> None:
        self._is_closed = False
        self.has_ended = False

    def record_alive(self) -> None:
        """Record that the process has accepted a connection or replied."""
        self._is_closed = False
        self.has_ended = False

    def record_failure(self, failure: PollFailure) -> None:
        """Record a failed poll."""
        if failure is PollFailure.NO_REPLY:
            self.record_alive()
        elif failure is PollFailure.CLOSED:
            self._is_closed = True
        else:
            self.has_ended |= self._is_closed or failure is PollFailure.REFUSED
