"""An incremental HTTP/1.1 answer parser that shares no code with the gateway.

It rejects what a strict client rejects: an answer without a length, two lengths, a chunk extension,
a trailer and bytes after the end.
"""

import re

__all__ = ["AnswerReader", "UnreadableError"]

PROTOCOL = b"HTTP/1.1 "
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e]*")
HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\x20-\x7e\t]*)")
CHUNK_LINE = re.compile(rb"[0-9A-Fa-f]{1,8}")
DIGITS = re.compile(rb"[0-9]{1,10}")
# The gateway writes no longer lines in a head.
LONGEST_LINE = 16 * 1024
LINE_END = b"\r\n"
# The length to which malformed bytes are cut in messages.
SHOWN_BYTES = 80
FINAL = 200


class UnreadableError(Exception):
    """The bytes are not a well-formed HTTP/1.1 answer."""


class AnswerReader:
    """The received part of the answer to one request.

    `is_head_complete` says that all headers were received, `framed_bytes` how many bytes of the
    body came in complete chunks, or in a complete body.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.settled = 0
        self.head_whole = False
        self.whole = False
        self._rest = b""
        self._left = 0
        self._read = self._read_status

    def header(self, name: bytes) -> bytes:
        """Return the value of a header by its lower-case name, or an empty value.

        Raises:
          MalformedAnswerError: the header was sent more than once.
        """
        values = [value for each, value in self.headers if each == name]
        if len(values) > 1:
            raise UnreadableError(f"{name!r} was sent {len(values)} times")
        return values[0] if values else b""

    def feed(self, data: bytes) -> None:
        """Parse more bytes.

        Raises:
          MalformedAnswerError: the answer is malformed, or bytes follow its end.
        """
        self._rest += data
        while self._rest and not self.whole and self._read():
            pass
        if self.whole and self._rest:
            raise UnreadableError(f"bytes after the end: {self._rest[:SHOWN_BYTES]!r}")

    def _line(self) -> bytes | None:
        """Return the next line, or None if it is still incomplete."""
        line, found, rest = self._rest.partition(LINE_END)
        if not found:
            if len(self._rest) > LONGEST_LINE:
                raise UnreadableError(f"line too long: {self._rest[:SHOWN_BYTES]!r}")
            return None
        self._rest = rest
        return line

    def _read_status(self) -> bool:
        if not PROTOCOL.startswith(self._rest[: len(PROTOCOL)]):
            raise UnreadableError(f"malformed status line: {self._rest[:SHOWN_BYTES]!r}")
        line = self._line()
        if line is None:
            return False
        match = STATUS_LINE.fullmatch(line)
        if match is None or int(match[1]) < FINAL:
            raise UnreadableError(f"malformed status line: {line[:SHOWN_BYTES]!r}")
        self.status = int(match[1])
        self._read = self._read_header
        return True

    def _read_header(self) -> bool:
        line = self._line()
        if line is None:
            return False
        if not line:
            self.head_whole = True
            self._begin_body()
            return True
        match = HEADER_LINE.fullmatch(line)
        if match is None:
            raise UnreadableError(f"malformed header: {line[:SHOWN_BYTES]!r}")
        self.headers.append((match[1].lower(), match[2].rstrip()))
        return True

    def _begin_body(self) -> None:
        length, coding = self.header(b"content-length"), self.header(b"transfer-encoding")
        if bool(length) == bool(coding):
            raise UnreadableError(f"content-length {length!r} and transfer-encoding {coding!r}")
        if coding:
            if coding.lower() != b"chunked":
                raise UnreadableError(f"transfer-encoding {coding!r}")
            self._read = self._read_chunk_line
            return
        if DIGITS.fullmatch(length) is None:
            raise UnreadableError(f"content-length {length!r}")
        self._left = int(length)
        self._read = self._read_body
        self._end_if_none_left()

    def _take(self) -> None:
        taken = self._rest[: self._left]
        self.body += taken
        self._rest = self._rest[len(taken) :]
        self._left -= len(taken)

    def _read_body(self) -> bool:
        self._take()
        self._end_if_none_left()
        return bool(self._rest)

    def _end_if_none_left(self) -> None:
        if self._left == 0:
            self.whole = True
            self.settled = len(self.body)

    def _read_chunk_line(self) -> bool:
        line = self._line()
        if line is None:
            return False
        if CHUNK_LINE.fullmatch(line) is None:
            raise UnreadableError(f"malformed chunk size: {line[:SHOWN_BYTES]!r}")
        self._left = int(line, 16)
        self._read = self._read_chunk if self._left else self._read_last_line
        return True

    def _read_chunk(self) -> bool:
        self._take()
        if self._left == 0:
            self._read = self._read_chunk_end
        return bool(self._rest)

    def _read_chunk_end(self) -> bool:
        if not LINE_END.startswith(self._rest[:2]):
            raise UnreadableError(f"malformed end of a chunk: {self._rest[:SHOWN_BYTES]!r}")
        if len(self._rest) < len(LINE_END):
            return False
        self._rest = self._rest[len(LINE_END) :]
        self.settled = len(self.body)
        self._read = self._read_chunk_line
        return True

    def _read_last_line(self) -> bool:
        if not LINE_END.startswith(self._rest[:2]):
            raise UnreadableError(f"unexpected trailer: {self._rest[:SHOWN_BYTES]!r}")
        if len(self._rest) < len(LINE_END):
            return False
        self._rest = self._rest[len(LINE_END) :]
        self.whole = True
        return True
