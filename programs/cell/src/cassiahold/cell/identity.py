"""Identity of a replica's disk, stored in a file beside its journal.

A replica that comes back with an empty disk gets a new identity and is a new
replica for the group.
"""

import pathlib
import secrets
import typing

import msgspec

from cassiahold.core.exceptions import (
    CassiaholdError,
    DiskFullError,
    ErrorKind,
)
from cassiahold.journal import OsDisk, is_out_of_space

# Name of every disk that belongs to a voter of the cell's first start.
FIRST_VOTER_NAME: typing.Final = 'first'
_IDENTITY_FILE: typing.Final = 'identity.json'
_RANDOM_BYTES: typing.Final = 6


class DiskIdentity(msgspec.Struct, frozen=True):
    """Name of a disk and the addresses of the group's first voters.

    ``first_voters`` is empty for a replica that is admitted later.
    """

    name: str
    first_voters: tuple[str, ...] = ()


def load_identity(
    folder: pathlib.Path, address: str, first_voters: tuple[str, ...]
) -> DiskIdentity:
    """Return the disk's identity; create and sync one for an empty disk.

    ``first_voters`` is empty except at the cell's first start.  Raises
    ``STORAGE_FAILED`` when the file cannot be read, decoded or written, as a
    ``DiskFullError`` if only room is lacking.
    """
    path = folder / _IDENTITY_FILE
    try:
        return _load_or_write(path, address, first_voters)
    except (OSError, msgspec.DecodeError) as exc:
        detail = f'{path}: {exc}'
        if isinstance(exc, OSError) and is_out_of_space(exc):
            raise DiskFullError(detail, needed_bytes=0) from exc
        raise CassiaholdError(ErrorKind.STORAGE_FAILED, detail) from exc


def _load_or_write(
    path: pathlib.Path, address: str, first_voters: tuple[str, ...]
) -> DiskIdentity:
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=DiskIdentity)
    new_identity = _new_identity(address, first_voters)
    OsDisk(path.parent).replace(path, msgspec.json.encode(new_identity))
    return new_identity


def _new_identity(address: str, first_voters: tuple[str, ...]) -> DiskIdentity:
    if address in first_voters:
        return DiskIdentity(FIRST_VOTER_NAME, tuple(sorted(first_voters)))
    return DiskIdentity(secrets.token_hex(_RANDOM_BYTES))
