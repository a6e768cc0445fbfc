"""What a process that follows the store sends to those that ask it: frames with updates of tables.

A frame stands behind its length in four bytes; a large one is compressed. Moments are given in
seconds after the question was read: the one that asks knows when it sent the question, so that it
takes no moment for later than it was, whatever the frame waited on its way.
"""

import zlib
from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.loads import LARGEST_NUMBER, LoadRow
from deckcourse.peers.replica import TableUpdate, Version

__all__ = [
    "Frame",
    "FrameReader",
    "MalformedFrameError",
    "Question",
    "decode_question",
    "encode_frame",
    "encode_question",
]

LENGTH_BYTES = 4
# A frame larger than this is compressed, bytes. A desired state of 1,500 routes shrinks from 300 to
# 20 KB, so that a link of 20 Mbit/s carries it to 20 others in 0.2 s, not in 2.4.
COMPRESSED_FROM = 2048
# Quick rather than small: 3 ms for 300 KB.
COMPRESSION_LEVEL = 1
# No table of a site of 1,000 upstreams comes near this, bytes.
LARGEST_FRAME = 16 * 1024 * 1024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"
# Tables and loads that a message tells of at the most: whatever comes, the memory that it takes is
# bounded.
MOST_TABLES = 64
MOST_LOADS = 65_536
# Letters of what is wrong with a frame that are passed on.
LONGEST_PROBLEM = 200

# Seconds from the moment that a frame counts from.
_Moment = Annotated[float, Meta(ge=-LARGEST_NUMBER, le=LARGEST_NUMBER)]


class Question(msgspec.Struct, frozen=True, array_like=True):
    """Who asks, and up to which version it knows each table; None where it knows none of it."""

    name: str
    versions: Annotated[dict[str, Version | None], Meta(max_length=MOST_TABLES)]


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Updates of tables, and how true the sender's copies are.

    Attributes:
      updates: what changed.
      as_of: for each table the version that the sender knows and the moment before which every
        change is in it.
      returned: the moment at which the store last came back, None where it was never away.
      loads: what upstreams said since the last frame.
      lost: whether the sender lost the store and heard nothing newer from others.
    """

    updates: Annotated[tuple[TableUpdate, ...], Meta(max_length=MOST_TABLES)]
    as_of: Annotated[dict[str, tuple[Version, _Moment]], Meta(max_length=MOST_TABLES)]
    returned: _Moment | None = None
    loads: Annotated[tuple[LoadRow, ...], Meta(max_length=MOST_LOADS)] = ()
    lost: bool = False


class MalformedFrameError(Exception):
    """What was received is no frame."""


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_question_decoder = msgspec.msgpack.Decoder(Question)


def encode_question(question: Question) -> bytes:
    """Return a question as bytes."""
    return _encoder.encode(question)


def decode_question(data: bytes) -> Question | None:
    """Return the question that was received, None where it is none."""
    try:
        return _question_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Fields that nobody reads may be nested without end.


def encode_frame(frame: Frame) -> bytes:
    """Return a frame behind its length."""
    body = _encoder.encode(frame)
    kind = _PLAIN
    if len(body) >= COMPRESSED_FROM:
        body = zlib.compress(body, COMPRESSION_LEVEL)
        kind = _COMPRESSED
    return (len(body) + 1).to_bytes(LENGTH_BYTES) + kind + body


def _decode(content: bytes) -> Frame:
    kind, body = content[:1], content[1:]
    if kind not in (_PLAIN, _COMPRESSED):
        raise MalformedFrameError("a frame of no kind that is known")
    try:
        return _frame_decoder.decode(_decompressed(body) if kind == _COMPRESSED else body)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise MalformedFrameError(str(error)[:LONGEST_PROBLEM]) from error
    except RecursionError as error:
        raise MalformedFrameError("nested too deep") from error


def _decompressed(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    whole = decompressor.decompress(body, LARGEST_FRAME)
    if not decompressor.eof or decompressor.unused_data:
        raise MalformedFrameError("a compressed frame that is cut, too large or followed by more")
    return whole


class FrameReader:
    """Puts frames together from the bytes of a connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are whole with these bytes.

        Raises:
          MalformedFrameError: the bytes are no frames.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES])
            if not 0 < length <= LARGEST_FRAME:
                raise MalformedFrameError(f"a frame of {length} bytes")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            content = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            yield _decode(content)
