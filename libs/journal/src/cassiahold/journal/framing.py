"""Encoding of records as frames: length, checksum, payload.

Records that are synced together share one frame, so that an interrupted
write damages all of them or none.  A frame that follows another one was
written after that one was synced.
"""

import struct
import typing
import zlib

import msgspec

MAGIC: typing.Final = b'CSHJ\x00\x01'  # the last two bytes are the version
FRAME_HEADER: typing.Final = struct.Struct('<II')  # payload length, CRC-32
MAX_RECORD_BYTES: typing.Final = 67_108_864  # 64 MiB
_BATCH_FLAG: typing.Final = 0x80000000  # set in the length of a batch
_RECORD_LENGTH: typing.Final = struct.Struct('<I')


class SegmentScan(msgspec.Struct):
    """The records of a segment and the state of its end.

    ``valid_size`` is the offset after the last intact frame.  ``is_torn``
    means that the rest was left by an interrupted write, ``is_corrupt`` that
    an intact frame follows the damage.
    """

    records: list[bytes]
    valid_size: int
    is_torn: bool
    is_corrupt: bool


def encode_frame(payload: bytes) -> bytes:
    """Return a frame with one record."""
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def encode_batch(payloads: list[bytes]) -> bytes:
    """Return one frame with all records; a single one gets a plain frame."""
    if len(payloads) == 1:
        return encode_frame(payloads[0])
    inner = b''.join(
        _RECORD_LENGTH.pack(len(payload)) + payload for payload in payloads
    )
    return (
        FRAME_HEADER.pack(len(inner) | _BATCH_FLAG, zlib.crc32(inner)) + inner
    )


def scan_segment(content: bytes) -> SegmentScan:
    """Decode the records before the first damaged frame.

    The damage is classified as a torn write or as corruption.
    """
    if len(content) < len(MAGIC):
        return SegmentScan([], 0, is_torn=bool(content), is_corrupt=False)
    records: list[bytes] = []
    offset = len(MAGIC)
    while offset < len(content):
        decoded = _decode_frame_at(content, offset)
        if decoded is None:
            is_corrupt = _has_later_frame(content, offset)
            return SegmentScan(records, offset, not is_corrupt, is_corrupt)
        records.extend(decoded.records)
        offset = decoded.end_offset
    return SegmentScan(records, offset, is_torn=False, is_corrupt=False)


class _Frame(msgspec.Struct):
    records: list[bytes]
    end_offset: int


def _decode_frame_at(content: bytes, offset: int) -> _Frame | None:
    payload_offset = offset + FRAME_HEADER.size
    if payload_offset > len(content):
        return None
    flagged_length, checksum = FRAME_HEADER.unpack_from(content, offset)
    length = flagged_length & ~_BATCH_FLAG
    payload = content[payload_offset : payload_offset + length]
    if not length or len(payload) < length or length > MAX_RECORD_BYTES:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    records = (
        _split_batch(payload) if flagged_length & _BATCH_FLAG else [payload]
    )
    return _Frame(records, payload_offset + length)


def _split_batch(inner: bytes) -> list[bytes]:
    records: list[bytes] = []
    offset = 0
    while offset < len(inner):
        length = _RECORD_LENGTH.unpack_from(inner, offset)[0]
        offset += _RECORD_LENGTH.size
        records.append(inner[offset : offset + length])
        offset += length
    return records


def _has_later_frame(content: bytes, offset: int) -> bool:
    # No intact frame can follow an interrupted write, so a later frame with
    # a matching checksum means that synced data is damaged.
    return any(
        _decode_frame_at(content, candidate) is not None
        for candidate in range(offset + 1, len(content) - FRAME_HEADER.size)
    )
