"""Frames with table updates, which a source sends to its subscribers, and the request for them.

Each frame follows its length in four bytes; a large one is compressed. Times are given in seconds
after the source read the request. The subscriber counts them from when it sent the request, which
was earlier, so it never takes a time for later than it was, however long the frame was in transit.
"""

import zlib
from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.loads import MAX_NUMBER, LoadRow
from deckcourse.peers.replica import TableUpdate, Version

__all__ = [
    "Frame",
    "FrameReader",
    "MalformedFrameError",
    "ChangesRequest",
    "decode_request",
    "encode_frame",
    "encode_request",
]

LENGTH_BYTES = 4
# Frames of this size and above are compressed. A desired state of 1,500 routes shrinks from 300 to
# 20 KB: a link of 20 Mbit/s carries it to 20 other processes in 0.2 s instead of 2.4.
COMPRESSION_THRESHOLD_BYTES = 2048
# Favours speed over size: 3 ms for 300 KB.
COMPRESSION_LEVEL = 1
# Well above any table of a site of 1,000 upstreams.
MAX_FRAME_BYTES = 16 * 1024 * 1024
_UNCOMPRESSED = b"\x00"
_COMPRESSED = b"\x01"
# Largest numbers of tables and loads in one message: they bound the memory that any message takes.
MAX_TABLES = 64
MAX_LOADS = 65_536
# Characters of a decoder error that are kept in the message of a MalformedFrameError.
MAX_ERROR_LENGTH = 200

# Seconds relative to the origin of the times of a frame.
_RelativeSeconds = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for changes: the subscriber, and the version of each table that it holds.

    The version of a table is None if the subscriber holds no snapshot of it yet.
    """

    name: str
    versions: Annotated[dict[str, Version | None], Meta(max_length=MAX_TABLES)]


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Table updates, and how current the sender's replicas are.

    Attributes:
      updates: the changes since the last frame.
      as_of: for each table, the version that the sender holds and the time before which that
        version includes every change.
      recovered: the time at which the store last recovered, None if there was no outage.
      loads: the loads of upstreams received since the last frame.
      is_cut_off: whether the sender cannot reach the store and received nothing newer from others.
    """

    updates: Annotated[tuple[TableUpdate, ...], Meta(max_length=MAX_TABLES)]
    as_of: Annotated[dict[str, tuple[Version, _RelativeSeconds]], Meta(max_length=MAX_TABLES)]
    recovered: _RelativeSeconds | None = None
    loads: Annotated[tuple[LoadRow, ...], Meta(max_length=MAX_LOADS)] = ()
    is_cut_off: bool = False


class MalformedFrameError(Exception):
    """The received bytes are not a valid frame."""


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_request_decoder = msgspec.msgpack.Decoder(ChangesRequest)


def encode_request(request: ChangesRequest) -> bytes:
    """Encode a request for changes."""
    return _encoder.encode(request)


def decode_request(data: bytes) -> ChangesRequest | None:
    """Decode a request for changes; return None if it is malformed."""
    try:
        return _request_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown trailing fields may be nested too deeply.


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, preceded by its length."""
    body = _encoder.encode(frame)
    kind = _UNCOMPRESSED
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        body = zlib.compress(body, COMPRESSION_LEVEL)
        kind = _COMPRESSED
    return (len(body) + 1).to_bytes(LENGTH_BYTES) + kind + body


def _decode(content: bytes) -> Frame:
    kind, body = content[:1], content[1:]
    if kind not in (_UNCOMPRESSED, _COMPRESSED):
        raise MalformedFrameError("unknown frame kind")
    try:
        return _frame_decoder.decode(_decompress(body) if kind == _COMPRESSED else body)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise MalformedFrameError(str(error)[:MAX_ERROR_LENGTH]) from error
    except RecursionError as error:
        raise MalformedFrameError("nested too deeply") from error


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(body, MAX_FRAME_BYTES)
    if not decompressor.eof or decompressor.unused_data:
        raise MalformedFrameError(
            "compressed frame is truncated, too large or followed by other bytes"
        )
    return content


class FrameReader:
    """Assembles frames from the bytes of a connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._frame_bytes = 0

    @property
    def is_incomplete(self) -> bool:
        """Whether a part of a frame is buffered."""
        return bool(self._buffer)

    @property
    def frame_bytes(self) -> int:
        """The size of the latest frame with its length, bytes."""
        return self._frame_bytes

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that are now complete.

        Raises:
          MalformedFrameError: the bytes are not valid frames.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES])
            if not 0 < length <= MAX_FRAME_BYTES:
                raise MalformedFrameError(f"invalid frame length: {length} bytes")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            content = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            self._frame_bytes = end
            yield _decode(content)
