"""Keys: an id that may be shown and a secret that may not.

A caller presents ``ID.SECRET``.  The secret has 256 random bits, so one
round of SHA-256 protects it; no slow hash is needed.
"""

import hashlib
import hmac
import secrets
import typing

import msgspec

from cassiahold.config.document import Key

_SECRET_BYTES: typing.Final = 32


class NewKey(msgspec.Struct, frozen=True):
    """A fresh key; ``presented`` is shown once and kept nowhere."""

    key: Key
    presented: str


def hash_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_key(key_id: str) -> NewKey:
    """Return a key with a fresh random secret."""
    secret = secrets.token_hex(_SECRET_BYTES)
    key = Key(id=key_id, sha256=hash_secret(secret))
    return NewKey(key, f'{key_id}.{secret}')


def matches_key_hash(secret: str, expected_sha256: str) -> bool:
    """Compare in constant time."""
    return hmac.compare_digest(hash_secret(secret), expected_sha256)
