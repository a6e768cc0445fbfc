"""Shared by steps for interruptions: interruptions triggered by bytes, and a caller that blocks."""

import trio
from connection_world import BOUNDS
from gateway_runner import EVENT_SECONDS

from deckcourse.gateway.active_stream import Interruption
from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.http1.server import serve_connection

# Earlier requests, enough that they have earned a retry for each stream: without one a stream is
# detached only once the issuer has granted it.
EARLIER_REQUESTS = 40


def watch_streams(site, streams):
    """Add each stream that the gateway monitors from now on to `streams`."""
    for _ in range(EARLIER_REQUESTS):
        site.node.gateway.context.budget("llm").earn()
    monitor = site.node.gateway.context.monitor
    add = monitor.add

    def add_and_record(stream):
        streams.add(stream)
        add(stream)

    monitor.add = add_and_record


class TriggeredInterruption:
    """An interruption of all monitored streams, triggered once by given bytes."""

    def __init__(self, why):
        self._why = why
        self.streams = set()
        self.happened = False

    def interrupt(self):
        """Interrupt all streams on the first call; do nothing on later ones."""
        if not self.happened:
            self.happened = True
            for stream in list(self.streams):
                stream.interrupt(self._why)

    def on(self, transport, trigger):
        """Return a connection on which given bytes trigger it; empty ones do before any come."""
        return _TriggeringTransport(transport, trigger, self)


class _TriggeringTransport:
    def __init__(self, transport, trigger, interruption):
        self._transport = transport
        self._trigger = trigger
        self._interruption = interruption
        self.send_all = transport.send_all
        self.readable = transport.readable
        self.is_open = transport.is_open
        self.close = transport.close

    async def receive_some(self, max_bytes):
        if not self._trigger:
            self._interruption.interrupt()
        data = await self._transport.receive_some(max_bytes)
        if self._trigger in data:
            self._interruption.interrupt()
        return data


class HalfWriteStream(trio.abc.HalfCloseableStream):
    """A caller's connection that accepts a write completely, or half of it and then blocks."""

    def __init__(self, inner):
        self._inner = inner
        self._unblocked = trio.Event()
        self.is_blocked = False

    def unblock(self):
        """Accept complete writes again, starting with the blocked one."""
        self.is_blocked = False
        self._unblocked.set()

    async def send_all(self, data):
        if not self.is_blocked:
            await self._inner.send_all(data)
            return
        half = len(data) // 2
        await self._inner.send_all(data[:half])
        await self._unblocked.wait()
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
    """The caller's end of an in-memory connection."""

    def __init__(self, stream):
        self._stream = stream
        self.receive_some = stream.receive_some
        self.send_all = stream.send_all

    def readable(self):
        return False

    def is_open(self):
        return True

    def close(self):
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


async def nothing(streams):
    """Change nothing."""


def play_blocked_caller(context, change=nothing):
    """Play one stream that is detached from its upstream while its caller reads half of an event.

    Args:
      context: holds the site; receives what the caller got.
      change: an async function of the monitored streams, called while the write is blocked.
    """
    near, inner = trio.testing.memory_stream_pair()
    far = HalfWriteStream(inner)

    async def story(site):
        streams = set()
        watch_streams(site, streams)

        async def interrupt_while_blocked():
            await trio.sleep(3.5 * EVENT_SECONDS)
            far.is_blocked = True
            await trio.sleep(EVENT_SECONDS)
            assert all(each.interrupt(Interruption.FIRST_SILENT) for each in streams)
            await change(streams)
            await trio.sleep(EVENT_SECONDS)
            far.unblock()

        async def dial(address):
            return NearEnd(near)

        async with trio.open_nursery() as nursery:
            handle = site.node.gateway.handle
            nursery.start_soon(serve_connection, far, handle, lambda: BOUNDS, lambda: False)
            nursery.start_soon(interrupt_while_blocked)
            context.got = await site.ask(dial=dial)

    context.site.play(story)


async def connect(site, nursery):
    """Return both ends of a connection to the gateway's server, and when it ended, in a list."""
    near, inner = trio.testing.memory_stream_pair()
    far, ended_at = HalfWriteStream(inner), []

    async def serve():
        with site.node.held.connection() as meter:
            handle, limits = site.node.gateway.handle, lambda: site.node.bounds
            await serve_connection(far, handle, limits, lambda: False, None, meter)
        ended_at.append(trio.current_time())

    async def dial(address):
        return NearEnd(near)

    nursery.start_soon(serve)
    return dial, far, ended_at


def record_peak(site, peak):
    """Record the most bytes that the process held."""
    note_change = HeldBytes.note_change

    def note(self, *change):
        note_change(self, *change)
        peak.append(self.total)

    site.node.held.note_change = note.__get__(site.node.held)
