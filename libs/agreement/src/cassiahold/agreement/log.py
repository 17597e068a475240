"""The in-memory part of the replicated log: a snapshot and later entries."""

from cassiahold.agreement.messages import (
    Entry,
    EntryKind,
    Membership,
    Snapshot,
    decode_membership,
)


class ReplicatedLog:
    """The latest snapshot and the entries that follow it.

    The first entry has index ``snapshot.index + 1``.
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self._entries: list[Entry] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, else of the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry, else of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``.

        Returns None for an index before the snapshot or after the last entry.
        """
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self._entries[index - self.snapshot.index - 1].term
        return None

    def append(self, entry: Entry) -> None:
        """Append an entry; an existing one at its index is replaced.

        A replaced entry is removed together with every entry after it.
        Entries covered by the snapshot are ignored.  Raises ``ValueError``
        when entries between the last one and this one are missing.
        """
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

    def entries_between(
        self, first_index: int, last_index: int
    ) -> tuple[Entry, ...]:
        """Return the entries from ``first_index`` through ``last_index``."""
        first_stored_index = self.snapshot.index + 1
        start = max(first_index - first_stored_index, 0)
        stop = last_index - first_stored_index + 1
        return tuple(self._entries[start:stop])

    def latest_membership(self) -> tuple[int, Membership]:
        """Return the newest membership and the index of its entry."""
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.MEMBERSHIP:
                return entry.index, decode_membership(entry.payload)
        return self.snapshot.index, self.snapshot.membership

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at ``index``."""
        for entry in reversed(
            self.entries_between(self.snapshot.index + 1, index)
        ):
            if entry.kind is EntryKind.MEMBERSHIP:
                return decode_membership(entry.payload)
        return self.snapshot.membership

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries that ``snapshot`` covers.

        Later entries are kept only if the log has the snapshot's term at its
        index; otherwise they conflict with the snapshot.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = list(
                self.entries_between(snapshot.index + 1, self.last_index)
            )
        else:
            self._entries = []
        self.snapshot = snapshot
