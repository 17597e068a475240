"""Queues of the requests that wait for a slot of one service, by team.

They are served by weighted fair queueing: the team goes first that has been
served least in proportion to its weight, its virtual time.
"""

import collections
import typing

from cassiahold.core.ids import TeamName
from cassiahold.routing.slots import SlotRequest


class TeamQueues:
    """Waiting requests of one service; each team has a queue."""

    def __init__(self) -> None:
        self._queue_by_team: dict[TeamName, collections.deque[SlotRequest]] = {}
        # Requests served divided by the team's weight.
        self._virtual_time_by_team: dict[TeamName, float] = {}
        self._request_count = 0

    def __len__(self) -> int:
        return self._request_count

    @property
    def teams(self) -> typing.Iterable[TeamName]:
        """Return the teams with waiting requests."""
        return self._queue_by_team.keys()

    def requests_of(self, team: TeamName) -> typing.Sequence[SlotRequest]:
        """Return the waiting requests of a team, the oldest first."""
        return self._queue_by_team.get(team, _NO_REQUESTS)

    def virtual_time(self, team: TeamName) -> float:
        """Return the virtual time of a team's first request.

        A team that joins or returns starts at the present minimum or later,
        so it cannot claim service for the time when it had no requests.
        """
        virtual_time = self._virtual_time_by_team
        if team in self._queue_by_team:
            return virtual_time[team]
        minimum = min(
            (virtual_time[waiting] for waiting in self._queue_by_team),
            default=0.0,
        )
        return max(virtual_time.get(team, 0.0), minimum)

    def append(self, request: SlotRequest) -> None:
        """Add a request at the end of its team's queue."""
        queue = self._queue_by_team.get(request.team)
        if queue is None:
            queue = self._add_queue(request.team)
        queue.append(request)
        self._request_count += 1

    def teams_in_turn(self) -> list[TeamName]:
        """Return the teams with waiting requests, the one to serve first."""
        virtual_time = self._virtual_time_by_team
        return sorted(self._queue_by_team, key=lambda name: virtual_time[name])

    def serve(
        self,
        team: TeamName,
        position: int,
        weight: float,
        passed_teams: list[TeamName],
    ) -> SlotRequest:
        """Remove and return the request at a position of a team's queue.

        ``passed_teams`` were before it in turn, but none of their requests
        may use the free slots.  They must not claim the service of this time
        later, nor may a team that joins meanwhile.
        """
        virtual_time = self._virtual_time_by_team
        for passed in passed_teams:
            virtual_time[passed] = virtual_time[team]
        virtual_time[team] += 1 / weight
        queue = self._queue_by_team[team]
        queue.rotate(-position)
        request = queue.popleft()
        queue.rotate(position)
        self._request_count -= 1
        if not queue:
            self._remove_queue(team)
        return request

    def pop_expired(self, now: float) -> list[SlotRequest]:
        """Remove and return the requests past their deadline."""
        all_expired: list[SlotRequest] = []
        for team, queue in list(self._queue_by_team.items()):
            expired = [request for request in queue if now >= request.deadline]
            if expired:
                all_expired.extend(expired)
                self._keep_unexpired(team, now)
        self._request_count -= len(all_expired)
        return all_expired

    def _keep_unexpired(self, team: TeamName, now: float) -> None:
        kept = collections.deque(
            request
            for request in self._queue_by_team[team]
            if now < request.deadline
        )
        self._queue_by_team[team] = kept
        if not kept:
            self._remove_queue(team)

    def _add_queue(self, team: TeamName) -> collections.deque[SlotRequest]:
        self._virtual_time_by_team[team] = self.virtual_time(team)
        queue: collections.deque[SlotRequest] = collections.deque()
        self._queue_by_team[team] = queue
        return queue

    def _remove_queue(self, team: TeamName) -> None:
        self._queue_by_team.pop(team)
        if not self._queue_by_team:
            self._virtual_time_by_team.clear()


_NO_REQUESTS: typing.Final[collections.deque[SlotRequest]] = collections.deque()
