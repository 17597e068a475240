"""File operations of the journal, behind a protocol that tests replace."""

import contextlib
import errno
import os
import pathlib
import typing

OWNER_ONLY_MODE: typing.Final = 0o600
_OUT_OF_SPACE_ERRNOS: typing.Final = frozenset((errno.ENOSPC, errno.EDQUOT))


def is_out_of_space(exc: OSError) -> bool:
    """Tell whether a file operation failed for lack of room or quota."""
    return exc.errno in _OUT_OF_SPACE_ERRNOS


class Disk(typing.Protocol):
    """File operations; each raises ``OSError`` when it fails."""

    def read(self, path: pathlib.Path) -> bytes:
        """Return the whole content of a file."""

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        """Append bytes to a file, without a sync."""

    def sync(self, path: pathlib.Path) -> None:
        """Write the file's content to the disk before returning."""

    def replace(self, path: pathlib.Path, payload: bytes) -> None:
        """Create or replace a whole file atomically and sync it."""

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""

    def remove(self, path: pathlib.Path) -> None:
        """Delete a file."""

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Return the sorted names of the files in a folder."""

    def close(self) -> None:
        """Close the open file, if any."""


class OsDisk:
    """Files of the operating system in one folder, created if missing.

    The file that was last written stays open.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._open_path: pathlib.Path | None = None
        self._descriptor = -1

    def read(self, path: pathlib.Path) -> bytes:
        """Return the whole content of a file."""
        return path.read_bytes()

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        """Append bytes to a file, without a sync."""
        descriptor = self._open(path)
        remaining = memoryview(payload)
        while remaining:
            written = os.write(descriptor, remaining)
            if not written:
                raise OSError(errno.ENOSPC, 'no byte was written')
            remaining = remaining[written:]

    def sync(self, path: pathlib.Path) -> None:
        """Write the file's content to the disk before returning."""
        os.fdatasync(self._open(path))

    def replace(self, path: pathlib.Path, payload: bytes) -> None:
        """Create or replace a whole file atomically and sync it."""
        partial_path = path.with_suffix('.partial')
        try:
            _write_and_sync(partial_path, payload)
        except OSError:
            # It would keep the room that a full disk lacks.
            with contextlib.suppress(OSError):
                partial_path.unlink()
            raise
        partial_path.replace(path)
        self._sync_folder()

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""
        descriptor = self._open(path)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def remove(self, path: pathlib.Path) -> None:
        """Delete a file."""
        if path == self._open_path:
            self.close()
        path.unlink()

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(path.name for path in folder.iterdir())

    def close(self) -> None:
        """Close the open file, if any."""
        if self._open_path is not None:
            os.close(self._descriptor)
            self._open_path = None

    def _open(self, path: pathlib.Path) -> int:
        if path != self._open_path:
            self.close()
            is_new = not path.exists()
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptor = os.open(path, flags, OWNER_ONLY_MODE)
            self._open_path = path
            if is_new:
                self._sync_new_name(path)
        return self._descriptor

    def _sync_new_name(self, path: pathlib.Path) -> None:
        try:
            self._sync_folder()
        except OSError:
            # The next use has to create the file and sync its name again.
            self.remove(path)
            raise

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_and_sync(path: pathlib.Path, payload: bytes) -> None:
    with path.open('wb') as stream:
        stream.write(payload)
        stream.flush()
        os.fsync(stream.fileno())
