"""The few file operations that the journal needs, replaceable in tests."""

import os
import pathlib
import typing

OWNER_ONLY_MODE: typing.Final = 0o600


class Disk(typing.Protocol):
    """File operations; each raises ``OSError`` when the disk refuses."""

    def read(self, path: pathlib.Path) -> bytes:
        """Return the whole content of a file."""

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        """Add bytes to the end of a file, without a sync."""

    def sync(self, path: pathlib.Path) -> None:
        """Return once the file's content is on the disk."""

    def replace(self, path: pathlib.Path, payload: bytes) -> None:
        """Put a whole file in place atomically and synced."""

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""

    def remove(self, path: pathlib.Path) -> None:
        """Delete a file."""

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Return the sorted names of the files in a folder."""

    def close(self) -> None:
        """Close what is open."""


class OsDisk:
    """The operating system's files; keeps the last segment open."""

    def __init__(self, folder: pathlib.Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._open_path: pathlib.Path | None = None
        self._descriptor = -1

    def read(self, path: pathlib.Path) -> bytes:
        """Return the whole content of a file."""
        return path.read_bytes()

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        """Add bytes to the end of a file, without a sync."""
        descriptor = self._open(path)
        view = memoryview(payload)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, path: pathlib.Path) -> None:
        """Return once the file's content is on the disk."""
        os.fdatasync(self._open(path))

    def replace(self, path: pathlib.Path, payload: bytes) -> None:
        """Put a whole file in place atomically and synced."""
        partial = path.with_suffix('.partial')
        with partial.open('wb') as stream:
            stream.write(payload)
            stream.flush()
            os.fsync(stream.fileno())
        partial.replace(path)
        self._sync_folder()

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""
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
        return sorted(entry.name for entry in folder.iterdir())

    def close(self) -> None:
        """Close the open segment."""
        if self._open_path is not None:
            os.close(self._descriptor)
            self._open_path = None

    def _open(self, path: pathlib.Path) -> int:
        if path != self._open_path:
            self.close()
            fresh = not path.exists()
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptor = os.open(path, flags, OWNER_ONLY_MODE)
            self._open_path = path
            if fresh:
                self._sync_folder()
        return self._descriptor

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
