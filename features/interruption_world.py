"""What steps about interruptions share: the moment at which one comes, and a caller who pauses."""

import trio


def watch_streams(site, streams):
    """Add to `streams` each one that the gateway watches from now on."""
    monitor = site.node.gateway.context.monitor
    add = monitor.add

    def add_and_keep(stream):
        streams.add(stream)
        add(stream)

    monitor.add = add_and_keep


class Meeting:
    """An interruption of all watched streams that comes once, with the bytes that are sought."""

    def __init__(self, why):
        self._why = why
        self.streams = set()
        self.happened = False

    def interrupt(self):
        """Interrupt all streams, the first time."""
        if not self.happened:
            self.happened = True
            for stream in list(self.streams):
                stream.interrupt(self._why)

    def on(self, transport, sought):
        """Return a connection on which it comes with some bytes, or before any where none are."""
        return _MeetingTransport(transport, sought, self)


class _MeetingTransport:
    def __init__(self, transport, sought, meeting):
        self._transport = transport
        self._sought = sought
        self._meeting = meeting
        self.send_all = transport.send_all
        self.readable = transport.readable
        self.close = transport.close

    async def receive_some(self, most):
        if not self._sought:
            self._meeting.interrupt()
        data = await self._transport.receive_some(most)
        if self._sought in data:
            self._meeting.interrupt()
        return data


class HalfWay(trio.abc.HalfCloseableStream):
    """A caller's connection that takes a write whole, or half of it and then pauses."""

    def __init__(self, inner):
        self._inner = inner
        self._may_go_on = trio.Event()
        self.stuck = False

    def go_on(self):
        """Take whole writes again, beginning with the one that is held up."""
        self.stuck = False
        self._may_go_on.set()

    async def send_all(self, data):
        if not self.stuck:
            await self._inner.send_all(data)
            return
        half = len(data) // 2
        await self._inner.send_all(data[:half])
        await self._may_go_on.wait()
        await self._inner.send_all(data[half:])

    async def receive_some(self, max_bytes=None):
        return await self._inner.receive_some(max_bytes)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def send_eof(self):
        await self._inner.send_eof()

    async def aclose(self):
        await self._inner.aclose()


class NearEnd:
    """The caller's side of a connection in memory."""

    def __init__(self, stream):
        self._stream = stream
        self.receive_some = stream.receive_some
        self.send_all = stream.send_all

    def readable(self):
        return False

    def close(self):
        self._stream.send_stream.close()
        self._stream.receive_stream.close()
