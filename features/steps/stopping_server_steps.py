"""Steps about what a server does with callers' connections while it stops."""

import socket
import time
from types import SimpleNamespace

import trio
from behave import given, then, when

from deckcourse.gateway import server
from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.settings import LoadSettings

STOP_GRACE_SECONDS = 8.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_REQUEST = REQUEST.replace(b" / ", b" /large ")
LARGE_BYTES = 300_000
SMALL_BUFFER_BYTES = 4096
SENT = {"nothing": b"", "half a head": REQUEST[:10]}
RETRY_AFTER = ((b"retry-after", b"0.1"),)


class StubNode:
    """A node that refuses or serves; one request runs until `finish_at`."""

    def __init__(self):
        self.bounds = CallerBounds()
        self.held = HeldBytes(LoadSettings, lambda *_: None, lambda *_: None, lambda *_: None)
        self.overload = SimpleNamespace(admit_connection=lambda: True)
        self.peers = SimpleNamespace(leave=trio.lowlevel.checkpoint)
        self.gateway = SimpleNamespace(requests=0, handle=self._handle, stop_bounds=StopBounds())
        self.run = self.watch_readers = self.watch_load = trio.sleep_forever
        self.stopping = False
        self.ready = True
        self._refuses = False
        self.finish_at = 0.0
        self.on_finish = lambda: None
        self.finished_at = 0.0

    def stop(self):
        self.stopping = True

    def refuse_new(self):
        self._refuses = True

    async def handle_peer(self, request, exchange):
        await exchange.respond(404, (), b"")

    async def _handle(self, request, exchange):
        if request.target == b"/large":
            self.gateway.requests += 1
            await exchange.respond(200, (), bytes(LARGE_BYTES))
            self.gateway.requests -= 1
            return
        if request.target != b"/long":
            await exchange.respond(503 if self._refuses else 200, RETRY_AFTER, b"")
            return
        self.gateway.requests += 1
        await trio.sleep_until(self.finish_at)
        await exchange.respond(200, (), b"")
        self.on_finish()
        self.finished_at = trio.current_time()
        self.gateway.requests -= 1


def free_address():
    """Return an address that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Caller:
    """A caller with a blocking socket, whose steps take no turn of the event loop."""

    def __init__(self, address, receive_buffer=None):
        self._address = address
        self._receive_buffer = receive_buffer
        self._socket = None

    def connect(self):
        host, port = self._address.split(":")
        self._socket = socket.socket()
        if self._receive_buffer is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        self._socket.connect((host, int(port)))

    def send(self, data):
        self._socket.sendall(data)

    def read(self):
        """Return what arrived until the end; the server has ended."""
        self._socket.settimeout(1.0)
        data = b""
        try:
            while part := self._socket.recv(4096):
                data += part
        except ConnectionResetError:
            data += b"{reset}"
        self._socket.close()
        return data


@given(
    "a server whose requests are refused {grace:g} s after its stop, "
    "and a request that runs for {seconds:g} s"
)
def stopping_server(context, grace, seconds):
    context.grace = grace
    context.running_seconds = seconds


@when("a caller connects {connects} and sends a request {sends}")
def caller_asks(context, connects, sends):
    run_stop(context, connects, sends, REQUEST)


@when("a caller connects before the stop and sends {sent}")
def caller_sends_less(context, sent):
    run_stop(context, "before the stop", "after 0.1 s", SENT[sent])


def run_stop(context, connects, sends, data):
    """Stop a server beside a running request; the caller does its steps at their times."""
    node = StubNode()
    addresses = server.ListenAddresses(*(free_address() for _ in range(4)))
    caller = Caller(addresses.callers)
    steps = [(connects, caller.connect), (sends, lambda: caller.send(data))]

    def at_end():
        for when_, step in steps:
            if when_ == "at the end":
                step()
        # Until the server has noticed that no request runs.
        time.sleep(2 * server.DRAIN_CHECK_INTERVAL_SECONDS)

    async def play():
        for when_, step in steps:
            if when_ == "at the end":
                continue
            if when_ != "before the stop":
                await trio.sleep_until(context.began_at + float(when_.split()[1]))
            step()
            if when_ == "before the stop":
                await trio.sleep(0.05)
                context.stop()

    async def work():
        under_test = server.GatewayServer(
            node, addresses, lambda: STOP_GRACE_SECONDS, bytes, b"/ready", lambda *_, **__: None
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(under_test.run)
            await trio.sleep(0.05)
            host, port = addresses.callers.split(":")
            long = await trio.open_tcp_stream(host, int(port))
            context.began_at = trio.current_time()
            node.finish_at = context.began_at + context.running_seconds
            node.on_finish = at_end
            await long.send_all(b"GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
            await trio.sleep(0.05)

            def stop():
                node.stop()
                under_test.stop()

            context.stop = stop
            if connects != "before the stop":
                stop()
            await play()
        context.ended_at = trio.current_time()

    usual, server.BALANCER_GRACE_SECONDS = server.BALANCER_GRACE_SECONDS, context.grace
    try:
        trio.run(work)
    finally:
        server.BALANCER_GRACE_SECONDS = usual
    context.answer = caller.read()
    context.exit_seconds = context.ended_at - node.finished_at


@then("it gets 503 with a Retry-After and a close")
def refused(context):
    answer = context.answer.lower()
    assert answer.startswith(b"http/1.1 503"), answer
    assert b"retry-after: 0.1" in answer and b"connection: close" in answer, answer
    assert not answer.endswith(b"{reset}"), answer


@then("it gets nothing")
def nothing(context):
    assert context.answer in (b"", b"{reset}"), context.answer


@then("the server ends at most {seconds:g} s after the running request")
def ends_soon(context, seconds):
    assert context.exit_seconds <= seconds, context.exit_seconds


@given("a server that has {grace:g} s to stop")
def server_with_grace(context, grace):
    context.grace = grace


@when("a caller has an answer of 300000 bytes and reads it once the server has ended")
def reads_after_the_end(context):
    node = StubNode()
    addresses = server.ListenAddresses(*(free_address() for _ in range(4)))
    under_test = server.GatewayServer(
        node, addresses, lambda: context.grace, bytes, b"/ready", lambda *_, **__: None
    )

    async def work():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(under_test.run)
            await trio.sleep(0.05)
            caller = context.caller = Caller(addresses.callers, SMALL_BUFFER_BYTES)
            caller.connect()
            caller.send(LARGE_REQUEST)
            await trio.sleep(0.1)
            under_test.stop()

    trio.run(work)


@then("it gets the whole answer")
def gets_whole_answer(context):
    head, _, body = context.caller.read().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and len(body) == LARGE_BYTES, (head, len(body))
