"""Storage of a replica's hard state, log entries and snapshot in a journal."""

import typing

import msgspec

from cassiahold.agreement.log import ReplicatedLog
from cassiahold.agreement.messages import (
    Entry,
    HardState,
    Membership,
    SavedSnapshot,
    Snapshot,
    decode_record,
    decode_saved_snapshot,
    encode,
)
from cassiahold.journal import Journal


class RecoveredState(msgspec.Struct):
    """The log and hard state that a replica read from its disk."""

    log: ReplicatedLog
    hard_state: HardState


class ReplicaStorage:
    """Writes a replica's durable state to its journal.

    Everything that ``save`` was given is durable once it returns.  After a
    ``DiskFullError`` call ``recover`` before any other use.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._hard_state = HardState()
        self._record_count = 0
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the records written since the last snapshot.

        Hard states count only when they were read by ``recover``.
        """
        return self._size_bytes

    @property
    def record_count(self) -> int:
        """Return the number of entries after the last snapshot.

        Hard states read by ``recover`` are counted as well.
        """
        return self._record_count

    def recover(self, initial_membership: Membership) -> RecoveredState:
        """Load the journal; ``initial_membership`` applies if it is empty.

        What ``save`` could not write for lack of room is forgotten.
        """
        raw_snapshot, records = self._journal.load()
        self._hard_state = HardState()
        snapshot = Snapshot(0, 0, initial_membership)
        entries: list[Entry] = []
        if raw_snapshot is not None:
            saved = decode_saved_snapshot(raw_snapshot)
            snapshot, entries = saved.snapshot, saved.entries
            self._hard_state = saved.hard_state
        log = ReplicatedLog(snapshot, entries)
        for payload in records:
            record = decode_record(payload)
            if isinstance(record, HardState):
                self._hard_state = record
            else:
                log.append(record)
        self._record_count = len(records)
        self._size_bytes = sum(map(len, records))
        return RecoveredState(log, self._hard_state)

    def save(
        self, hard_state: HardState | None, entries: typing.Sequence[Entry]
    ) -> None:
        """Append the hard state and entries and sync them to disk."""
        if hard_state is not None:
            self._hard_state = hard_state
            self._journal.append(encode(hard_state))
        for entry in entries:
            payload = encode(entry)
            self._size_bytes += len(payload)
            self._journal.append(payload)
        self._record_count += len(entries)
        if hard_state is not None or entries:
            self._journal.sync()

    def save_snapshot(self, log: ReplicatedLog) -> None:
        """Write the log's snapshot together with the entries after it."""
        entries = log.entries_between(log.snapshot.index + 1, log.last_index)
        self._journal.save_snapshot(
            encode(SavedSnapshot(log.snapshot, self._hard_state, list(entries)))
        )
        self._record_count = len(entries)
        self._size_bytes = 0

    def has_room(self, size: int) -> bool:
        """Tell whether the disk takes ``size`` more bytes."""
        return self._journal.has_room(size)

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()
