"""Reads one answer byte by byte as HTTP/1.1 has it, with nothing of the gateway's own code.

It takes no byte that a strict reader would not: no answer without a length, no two lengths, no
chunk extension, no trailer, nothing behind the end.
"""

import re

__all__ = ["AnswerReader", "UnreadableError"]

PROTOCOL = b"HTTP/1.1 "
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e]*")
HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\x20-\x7e\t]*)")
CHUNK_LINE = re.compile(rb"[0-9A-Fa-f]{1,8}")
DIGITS = re.compile(rb"[0-9]{1,10}")
# Longer lines than this are no head that the gateway writes, bytes.
LONGEST_LINE = 16 * 1024
LINE_END = b"\r\n"
# So many of the bytes that can't be read are told, bytes.
SHOWN_BYTES = 80
# The first status of an answer that is final.
FINAL = 200


class UnreadableError(Exception):
    """The bytes are no HTTP/1.1 answer."""


class AnswerReader:
    """The answer to one request, as far as it came.

    `head_whole` says that all headers came, `settled` how much of the body came in chunks that
    ended, or in a body that did.
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
        """Return the only header of a lower-case name, empty where there is none.

        Raises:
          UnreadableError: there are several.
        """
        values = [value for each, value in self.headers if each == name]
        if len(values) > 1:
            raise UnreadableError(f"{name!r} came {len(values)} times")
        return values[0] if values else b""

    def feed(self, data: bytes) -> None:
        """Take in bytes.

        Raises:
          UnreadableError: they are no answer, or go on behind its end.
        """
        self._rest += data
        while self._rest and not self.whole and self._read():
            pass
        if self.whole and self._rest:
            raise UnreadableError(f"behind the end: {self._rest[:SHOWN_BYTES]!r}")

    def _line(self) -> bytes | None:
        """Return the next line, None where its end isn't here yet."""
        line, found, rest = self._rest.partition(LINE_END)
        if not found:
            if len(self._rest) > LONGEST_LINE:
                raise UnreadableError(f"an endless line: {self._rest[:SHOWN_BYTES]!r}")
            return None
        self._rest = rest
        return line

    def _read_status(self) -> bool:
        if not PROTOCOL.startswith(self._rest[: len(PROTOCOL)]):
            raise UnreadableError(f"no status line: {self._rest[:SHOWN_BYTES]!r}")
        line = self._line()
        if line is None:
            return False
        match = STATUS_LINE.fullmatch(line)
        if match is None or int(match[1]) < FINAL:
            raise UnreadableError(f"no status line: {line[:SHOWN_BYTES]!r}")
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
            raise UnreadableError(f"no header: {line[:SHOWN_BYTES]!r}")
        self.headers.append((match[1].lower(), match[2].rstrip()))
        return True

    def _begin_body(self) -> None:
        length, coding = self.header(b"content-length"), self.header(b"transfer-encoding")
        if bool(length) == bool(coding):
            raise UnreadableError(f"length {length!r} and coding {coding!r}")
        if coding:
            if coding.lower() != b"chunked":
                raise UnreadableError(f"coding {coding!r}")
            self._read = self._read_chunk_line
            return
        if DIGITS.fullmatch(length) is None:
            raise UnreadableError(f"length {length!r}")
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
            raise UnreadableError(f"no chunk's length: {line[:SHOWN_BYTES]!r}")
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
            raise UnreadableError(f"no end of a chunk: {self._rest[:SHOWN_BYTES]!r}")
        if len(self._rest) < len(LINE_END):
            return False
        self._rest = self._rest[len(LINE_END) :]
        self.settled = len(self.body)
        self._read = self._read_chunk_line
        return True

    def _read_last_line(self) -> bool:
        if not LINE_END.startswith(self._rest[:2]):
            raise UnreadableError(f"a trailer: {self._rest[:SHOWN_BYTES]!r}")
        if len(self._rest) < len(LINE_END):
            return False
        self._rest = self._rest[len(LINE_END) :]
        self.whole = True
        return True
