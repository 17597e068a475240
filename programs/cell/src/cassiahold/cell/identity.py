"""The identity of a replica's disk, kept beside its journal."""

import os
import pathlib
import secrets
import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

FIRST: typing.Final = 'first'  # the disk of a voter of the very first start
_FILE: typing.Final = 'identity.json'
_RANDOM_BYTES: typing.Final = 6


class Identity(msgspec.Struct, frozen=True):
    """A disk's name and the addresses of the group's first voters.

    ``first_voters`` is empty for a replica that is admitted later.
    """

    name: str
    first_voters: tuple[str, ...] = ()


def load_identity(
    folder: pathlib.Path, address: str, first_voters: tuple[str, ...]
) -> Identity:
    """Return the disk's identity; an empty disk gets one, synced.

    ``first_voters`` is empty but at the cell's very first start.  Raises
    ``STORAGE_FAILED``.
    """
    path = folder / _FILE
    try:
        return _load_or_write(path, address, first_voters)
    except (OSError, msgspec.DecodeError) as exc:
        raise CassiaholdError(
            ErrorKind.STORAGE_FAILED, f'{path}: {exc}'
        ) from exc


def _load_or_write(
    path: pathlib.Path, address: str, first_voters: tuple[str, ...]
) -> Identity:
    path.parent.mkdir(parents=True, exist_ok=True)
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    fresh = _fresh(address, first_voters)
    _write(path, msgspec.json.encode(fresh))
    return fresh


def _fresh(address: str, first_voters: tuple[str, ...]) -> Identity:
    if address in first_voters:
        return Identity(FIRST, tuple(sorted(first_voters)))
    return Identity(secrets.token_hex(_RANDOM_BYTES))


def _write(path: pathlib.Path, content: bytes) -> None:
    partial = path.with_suffix('.partial')
    with partial.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    partial.replace(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
