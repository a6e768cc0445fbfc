"""An incremental HTTP/1.1 answer parser that shares no code with the gateway.

It rejects what a strict client rejects: an answer without a length, two lengths, a chunk extension,
a trailer and bytes after the end.
"""

import re

__all__ = ["AnswerReader", "MalformedAnswerError"]

PROTOCOL = b"HTTP/1.1 "
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e]*")
HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\x20-\x7e\t]*)")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
DIGITS = re.compile(rb"[0-9]{1,10}")
# The gateway writes no longer lines in a head.
MAX_LINE_BYTES = 16 * 1024
LINE_END = b"\r\n"
# The length to which malformed bytes are cut in messages.
MAX_SHOWN_BYTES = 80
MIN_FINAL_STATUS = 200


class MalformedAnswerError(Exception):
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
        self.framed_bytes = 0
        self.is_head_complete = False
        self.is_complete = False
        self._buffer = b""
        self._remaining_bytes = 0
        self._parse_next = self._parse_status

    def header(self, name: bytes) -> bytes:
        """Return the value of a header by its lower-case name, or an empty value.

        Raises:
          MalformedAnswerError: the header was sent more than once.
        """
        values = [value for each, value in self.headers if each == name]
        if len(values) > 1:
            raise MalformedAnswerError(f"{name!r} was sent {len(values)} times")
        return values[0] if values else b""

    def feed(self, data: bytes) -> None:
        """Parse more bytes.

        Raises:
          MalformedAnswerError: the answer is malformed, or bytes follow its end.
        """
        self._buffer += data
        while self._buffer and not self.is_complete and self._parse_next():
            pass
        if self.is_complete and self._buffer:
            raise MalformedAnswerError(f"bytes after the end: {self._buffer[:MAX_SHOWN_BYTES]!r}")

    def _next_line(self) -> bytes | None:
        """Return the next line, or None if it is still incomplete."""
        line, line_end, remaining = self._buffer.partition(LINE_END)
        if not line_end:
            if len(self._buffer) > MAX_LINE_BYTES:
                raise MalformedAnswerError(f"line too long: {self._buffer[:MAX_SHOWN_BYTES]!r}")
            return None
        self._buffer = remaining
        return line

    def _parse_status(self) -> bool:
        if not PROTOCOL.startswith(self._buffer[: len(PROTOCOL)]):
            raise MalformedAnswerError(f"malformed status line: {self._buffer[:MAX_SHOWN_BYTES]!r}")
        line = self._next_line()
        if line is None:
            return False
        match = STATUS_LINE.fullmatch(line)
        if match is None or int(match[1]) < MIN_FINAL_STATUS:
            raise MalformedAnswerError(f"malformed status line: {line[:MAX_SHOWN_BYTES]!r}")
        self.status = int(match[1])
        self._parse_next = self._parse_header
        return True

    def _parse_header(self) -> bool:
        line = self._next_line()
        if line is None:
            return False
        if not line:
            self.is_head_complete = True
            self._start_body()
            return True
        match = HEADER_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswerError(f"malformed header: {line[:MAX_SHOWN_BYTES]!r}")
        self.headers.append((match[1].lower(), match[2].rstrip()))
        return True

    def _start_body(self) -> None:
        length, coding = self.header(b"content-length"), self.header(b"transfer-encoding")
        if bool(length) == bool(coding):
            raise MalformedAnswerError(
                f"content-length {length!r} and transfer-encoding {coding!r}"
            )
        if coding:
            if coding.lower() != b"chunked":
                raise MalformedAnswerError(f"transfer-encoding {coding!r}")
            self._parse_next = self._parse_chunk_size
            return
        if DIGITS.fullmatch(length) is None:
            raise MalformedAnswerError(f"content-length {length!r}")
        self._remaining_bytes = int(length)
        self._parse_next = self._parse_body
        self._finish_if_complete()

    def _consume_body(self) -> None:
        data = self._buffer[: self._remaining_bytes]
        self.body += data
        self._buffer = self._buffer[len(data) :]
        self._remaining_bytes -= len(data)

    def _parse_body(self) -> bool:
        self._consume_body()
        self._finish_if_complete()
        return bool(self._buffer)

    def _finish_if_complete(self) -> None:
        if self._remaining_bytes == 0:
            self.is_complete = True
            self.framed_bytes = len(self.body)

    def _parse_chunk_size(self) -> bool:
        line = self._next_line()
        if line is None:
            return False
        if CHUNK_SIZE.fullmatch(line) is None:
            raise MalformedAnswerError(f"malformed chunk size: {line[:MAX_SHOWN_BYTES]!r}")
        self._remaining_bytes = int(line, 16)
        self._parse_next = self._parse_chunk if self._remaining_bytes else self._parse_final_line
        return True

    def _parse_chunk(self) -> bool:
        self._consume_body()
        if self._remaining_bytes == 0:
            self._parse_next = self._parse_chunk_end
        return bool(self._buffer)

    def _parse_chunk_end(self) -> bool:
        if not LINE_END.startswith(self._buffer[:2]):
            raise MalformedAnswerError(
                f"malformed end of a chunk: {self._buffer[:MAX_SHOWN_BYTES]!r}"
            )
        if len(self._buffer) < len(LINE_END):
            return False
        self._buffer = self._buffer[len(LINE_END) :]
        self.framed_bytes = len(self.body)
        self._parse_next = self._parse_chunk_size
        return True

    def _parse_final_line(self) -> bool:
        if not LINE_END.startswith(self._buffer[:2]):
            raise MalformedAnswerError(f"unexpected trailer: {self._buffer[:MAX_SHOWN_BYTES]!r}")
        if len(self._buffer) < len(LINE_END):
            return False
        self._buffer = self._buffer[len(LINE_END) :]
        self.is_complete = True
        return True
