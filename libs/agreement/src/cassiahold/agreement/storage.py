"""Keeps a replica's hard state, entries and snapshot in a journal."""

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
    decode_saved,
    encode,
)
from cassiahold.journal import Journal


class Recovered(msgspec.Struct):
    """What a replica found on its disk."""

    log: ReplicatedLog
    hard_state: HardState


class ReplicaStorage:
    """Writes what must survive; the journal decides when it counts."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._hard_state = HardState()
        self._records = 0
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the bytes of the records since the last snapshot."""
        return self._bytes

    @property
    def records(self) -> int:
        """Return the number of records since the last snapshot."""
        return self._records

    def recover(self, first_membership: Membership) -> Recovered:
        """Load the journal; an empty one starts with ``first_membership``."""
        raw, records = self._journal.load()
        snapshot = Snapshot(0, 0, first_membership)
        tail: list[Entry] = []
        if raw is not None:
            saved = decode_saved(raw)
            snapshot, tail = saved.snapshot, saved.tail
            self._hard_state = saved.hard_state
        log = ReplicatedLog(snapshot, tail)
        for payload in records:
            record = decode_record(payload)
            if isinstance(record, HardState):
                self._hard_state = record
            else:
                log.append(record)
        self._records = len(records)
        self._bytes = sum(map(len, records))
        return Recovered(log, self._hard_state)

    def save(
        self, hard_state: HardState | None, entries: typing.Sequence[Entry]
    ) -> None:
        """Write and sync; returns once everything is on the disk."""
        if hard_state is not None:
            self._hard_state = hard_state
            self._journal.append(encode(hard_state))
        for entry in entries:
            payload = encode(entry)
            self._bytes += len(payload)
            self._journal.append(payload)
        self._records += len(entries)
        if hard_state is not None or entries:
            self._journal.sync()

    def save_snapshot(self, log: ReplicatedLog) -> None:
        """Write the log's snapshot and the entries behind it."""
        tail = log.entries_between(log.snapshot.index + 1, log.last_index)
        self._journal.save_snapshot(
            encode(SavedSnapshot(log.snapshot, self._hard_state, list(tail)))
        )
        self._records = len(tail)
        self._bytes = 0

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()
