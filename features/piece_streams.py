"""Peers that send messages in pieces, as many as fit into a read, and a count of parsing turns."""

import trio

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a message without an end hands out before the test ends it.
MAX_HANDED_OUT_BYTES = 1024 * 1024


def raw_cell(text, names):
    """Return the bytes of a table cell, with names replaced by their values."""
    data = text.replace("\\r", "\r").replace("\\n", "\n").encode()
    for name, value in names.items():
        data = data.replace(name, value)
    return data


class PieceSource:
    """The bytes of a message.

    Args:
      start: sent first.
      piece: sent again and again.
      count: how many pieces there are, None without an end.
      pace: pieces a second that can be sent.
    """

    def __init__(self, start, piece, count=None, pace=1_000_000):
        self._unread = start
        self._piece = piece
        self._count = count
        self._pace = pace
        self._began_at = trio.current_time()
        self._sent_pieces = 0
        self._has_ended = False
        self.handed_out = 0

    @property
    def is_endless(self):
        return self._count is None

    async def take(self, max_bytes):
        """Return the next bytes; wait for good behind the last one."""
        await trio.lowlevel.checkpoint()
        while not self._unread:
            await self._produce(max_bytes)
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        self.handed_out += len(data)
        return data

    async def _produce(self, max_bytes):
        if self._has_ended:
            await trio.sleep_forever()
        if self._sent_pieces == self._count:
            self._has_ended = True
            self._unread = b"0\r\n\r\n"
            return
        due = int((trio.current_time() - self._began_at) * self._pace) + 1
        wanted = min(due, self._count or due) - self._sent_pieces
        fitting = min(wanted, max_bytes // len(self._piece) + 1)
        if fitting <= 0:
            await trio.sleep(1 / self._pace)
            return
        self._sent_pieces += fitting
        self._unread = self._piece * fitting


class PiecesTransport:
    """An upstream's end of a connection that sends pieces; see `PieceSource`."""

    def __init__(self, start, piece, count=None, pace=1_000_000):
        self._source = PieceSource(start, piece, count, pace)
        self.max_bytes = MAX_HANDED_OUT_BYTES
        self.is_closed = False

    @property
    def handed_out(self):
        return self._source.handed_out

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes):
        if self.handed_out > self.max_bytes and self._source.is_endless:
            raise trio.BrokenResourceError("not given up")
        return await self._source.take(max_bytes)

    def readable(self):
        return True

    def is_open(self):
        return not self.is_closed

    def close(self):
        self.is_closed = True


class CallerStream(trio.abc.HalfCloseableStream):
    """The server's end of a connection whose caller sends pieces; see `PieceSource`."""

    def __init__(self, start, piece, count=None, pace=1_000_000):
        self._source = PieceSource(start, piece, count, pace)
        self.answer = b""
        self.answered_at = None
        self.handed_out_before_answer = 0

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        if not self.answer:
            self.handed_out_before_answer = self._source.handed_out
            self.answered_at = trio.current_time()
        self.answer += data

    async def receive_some(self, max_bytes=None):
        is_late = self._source.handed_out > MAX_HANDED_OUT_BYTES and not self.answer
        if is_late and self._source.is_endless:
            raise trio.BrokenResourceError("not refused")
        return await self._source.take(max_bytes)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def send_eof(self):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        await trio.lowlevel.checkpoint()


class TurnCounter:
    """Counts the pieces that parsers take between two turns of another task."""

    def __init__(self):
        self.longest_turn = 0
        self._pieces = 0

    def watch(self, parser):
        """Count the events of a parser; return it."""
        parse = parser.next_event

        def next_event():
            self._pieces += 1
            return parse()

        parser.next_event = next_event
        return parser

    async def run(self):
        """Take turns until cancelled."""
        while True:
            self.longest_turn = max(self.longest_turn, self._pieces)
            self._pieces = 0
            await trio.lowlevel.checkpoint()
