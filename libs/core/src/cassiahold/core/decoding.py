"""Decoding of JSON and MessagePack content that other processes wrote."""

import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

# All that decoders raise for malformed content.  The decoders call themselves
# for each level of nested content, also within fields that nobody reads.
MALFORMED_ERRORS: typing.Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)
_ContentT = typing.TypeVar('_ContentT')


def decode_json(
    content: bytes, content_type: type[_ContentT], kind: ErrorKind
) -> _ContentT:
    """Decode JSON content; raises ``kind`` when it is malformed."""
    try:
        return msgspec.json.decode(content, type=content_type)
    except MALFORMED_ERRORS as exc:
        raise CassiaholdError(kind, f'malformed content: {exc}') from exc
