"""The part of the replicated log that is held in memory."""

from cassiahold.agreement.messages import (
    Entry,
    EntryKind,
    Membership,
    Snapshot,
    decode_membership,
)


class ReplicatedLog:
    """Entries behind the latest snapshot."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self._entries: list[Entry] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, None where it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self._entries[index - self.snapshot.index - 1].term
        return None

    def append(self, entry: Entry) -> None:
        """Add an entry; it replaces its index and all that follows."""
        if entry.index <= self.snapshot.index:
            return
        offset = entry.index - self.snapshot.index - 1
        if offset > len(self._entries):
            raise ValueError(
                f'entry {entry.index} leaves a gap after {self.last_index}'
            )
        while len(self._entries) > offset:
            self._entries.pop()
        self._entries.append(entry)

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        base = self.snapshot.index + 1
        start = max(first - base, 0)
        stop = last - base + 1
        return tuple(self._entries[start:stop])

    def membership(self) -> tuple[int, Membership]:
        """Return the newest membership and the index that brought it."""
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.MEMBERSHIP:
                return entry.index, decode_membership(entry.payload)
        return self.snapshot.index, self.snapshot.membership

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at an index."""
        for entry in reversed(
            self.entries_between(self.snapshot.index + 1, index)
        ):
            if entry.kind is EntryKind.MEMBERSHIP:
                return decode_membership(entry.payload)
        return self.snapshot.membership

    def compact(self, snapshot: Snapshot) -> None:
        """Let a snapshot replace the entries that it covers."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = list(
                self.entries_between(snapshot.index + 1, self.last_index)
            )
        else:
            self._entries = []
        self.snapshot = snapshot
