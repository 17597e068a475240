"""API keys, which consist of a public id and a secret.

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
    """A new key; ``presented`` is ``ID.SECRET``, shown once and not stored."""

    key: Key
    presented: str


def hash_key_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_key(key_id: str) -> NewKey:
    """Return a key with a new random secret."""
    secret = secrets.token_hex(_SECRET_BYTES)
    key = Key(id=key_id, sha256=hash_key_secret(secret))
    return NewKey(key, f'{key_id}.{secret}')


def matches_key_hash(secret: str, expected_sha256: str) -> bool:
    """Tell whether a secret has a stored hash; takes constant time."""
    return hmac.compare_digest(hash_key_secret(secret), expected_sha256)
