"""The identity of a replica's disk, kept beside its journal."""

import pathlib
import secrets
import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.journal import OsDisk

FIRST_VOTER_NAME: typing.Final = (
    'first'  # the disk of a voter of the very first start
)
_IDENTITY_FILE: typing.Final = 'identity.json'
_RANDOM_BYTES: typing.Final = 6


class DiskIdentity(msgspec.Struct, frozen=True):
    """A disk's name and the addresses of the group's first voters.

    ``first_voters`` is empty for a replica that is admitted later.
    """

    name: str
    first_voters: tuple[str, ...] = ()


def load_identity(
    folder: pathlib.Path, address: str, first_voters: tuple[str, ...]
) -> DiskIdentity:
    """Return the disk's identity; an empty disk gets one, synced.

    ``first_voters`` is empty but at the cell's very first start.  Raises
    ``STORAGE_FAILED``.
    """
    path = folder / _IDENTITY_FILE
    try:
        return _load_or_write(path, address, first_voters)
    except (OSError, msgspec.DecodeError) as exc:
        raise CassiaholdError(
            ErrorKind.STORAGE_FAILED, f'{path}: {exc}'
        ) from exc


def _load_or_write(
    path: pathlib.Path, address: str, first_voters: tuple[str, ...]
) -> DiskIdentity:
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=DiskIdentity)
    fresh = _new_identity(address, first_voters)
    OsDisk(path.parent).replace(path, msgspec.json.encode(fresh))
    return fresh


def _new_identity(address: str, first_voters: tuple[str, ...]) -> DiskIdentity:
    if address in first_voters:
        return DiskIdentity(FIRST_VOTER_NAME, tuple(sorted(first_voters)))
    return DiskIdentity(secrets.token_hex(_RANDOM_BYTES))
