"""A disk in memory for tests: it fills up, loses power and fails to sync."""

import errno
import pathlib


class SimulatedDisk:
    """Files in memory, with what the last sync of each has made durable.

    ``is_full`` refuses every write that needs room; up to ``torn_bytes`` of
    a refused append are written nevertheless, never all of it.
    """

    def __init__(self) -> None:
        self.is_full = False
        self.torn_bytes = 0
        self.is_sync_failing = False
        self._content_by_path: dict[pathlib.Path, bytes] = {}
        self._synced_by_path: dict[pathlib.Path, bytes] = {}

    def read(self, path: pathlib.Path) -> bytes:
        """Return the whole content of a file."""
        return self._content_by_path[path]

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        """Append bytes to a file, or only some of them on a full disk."""
        content = self._content_by_path.get(path, b'')
        if self.is_full:
            torn_size = min(self.torn_bytes, len(payload) - 1)
            self._content_by_path[path] = content + payload[:torn_size]
        self._check_room()
        self._content_by_path[path] = content + payload

    def sync(self, path: pathlib.Path) -> None:
        """Make the file's content durable."""
        if self.is_sync_failing:
            raise OSError(errno.EIO, 'input/output error')
        self._synced_by_path[path] = self._content_by_path[path]

    def replace(self, path: pathlib.Path, payload: bytes) -> None:
        """Create or replace a whole file atomically and sync it."""
        self._check_room()
        self._content_by_path[path] = payload
        self.sync(path)

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""
        self._content_by_path[path] = self._content_by_path[path][:size]
        self.sync(path)

    def remove(self, path: pathlib.Path) -> None:
        """Delete a file."""
        self._content_by_path.pop(path)
        self._synced_by_path.pop(path, None)

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(
            path.name for path in self._content_by_path if path.parent == folder
        )

    def close(self) -> None:
        """Do nothing; no file stays open."""

    def lose_power(self) -> None:
        """Drop everything that was not synced."""
        self._content_by_path = dict(self._synced_by_path)

    def _check_room(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, 'no space left on device')
