"""What steps about interruptions share: the moment at which one comes, and a caller who pauses."""

import trio
from connection_world import BOUNDS
from gateway_runner import EVENT_SECONDS

from deckcourse.gateway.active_stream import Interruption
from deckcourse.http1.server import serve_connection


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


async def nothing(streams):
    """Change nothing of a site."""


def ask_held_up(context, change=nothing):
    """Play one stream that is taken from its upstream while its caller takes half of an event.

    Args:
      context: has the site; gets what the caller got.
      change: an async function of the watched streams, called while the write is held up.
    """
    near, inner = trio.testing.memory_stream_pair()
    far = HalfWay(inner)

    async def story(site):
        streams = set()
        watch_streams(site, streams)

        async def disturb():
            await trio.sleep(3.5 * EVENT_SECONDS)
            far.stuck = True
            await trio.sleep(EVENT_SECONDS)
            assert all(each.interrupt(Interruption.FIRST_SILENT) for each in streams)
            await change(streams)
            await trio.sleep(EVENT_SECONDS)
            far.go_on()

        async def dial(address):
            return NearEnd(near)

        async with trio.open_nursery() as nursery:
            handle = site.node.gateway.handle
            nursery.start_soon(serve_connection, far, handle, lambda: BOUNDS, lambda: False)
            nursery.start_soon(disturb)
            context.got = await site.ask(dial=dial)

    context.site.play(story)
