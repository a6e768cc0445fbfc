"""Steps for the soak's proxies."""

import socket
from contextlib import suppress

import trio
from behave import given, then, when

from soak.proxy import Mode, Proxy
from soak.wire import BACKLOG, HOST, free_port, is_listening

# What a client waits for at most: the end of its connection, or what the proxy does later.
WAIT_SECONDS = 5.0
# The time from the end of a connection to the end of the listener of a process that exits.
EXIT_SECONDS = 0.05
POLL_SECONDS = 0.005


class Target:
    """A process behind a proxy: its listener and its one connection."""

    def __init__(self, port):
        self._port = port
        self._listener = None
        self._connection = None

    def start(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, self._port))
        self._listener.listen(BACKLOG)

    async def accept(self):
        self._connection, _ = await trio.to_thread.run_sync(self._listener.accept)

    def send(self, data):
        self._connection.sendall(data)

    def close_connection(self):
        self._connection.close()

    def end(self):
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


async def connect(proxy):
    """Return a connection through a proxy once it accepts one."""
    with trio.fail_after(WAIT_SECONDS):
        while True:
            with suppress(OSError):
                return await trio.open_tcp_stream(HOST, proxy.port)
            await trio.sleep(POLL_SECONDS)


async def wait_for_end(client):
    """Wait until a client's connection has ended in any way."""
    with trio.fail_after(WAIT_SECONDS), suppress(trio.BrokenResourceError):
        while await client.receive_some():
            pass


async def is_accepted(proxy):
    """Return whether a proxy accepts a connection at once."""
    try:
        await (await trio.open_tcp_stream(HOST, proxy.port)).aclose()
    except OSError:
        return False
    return True


@given("a proxy of a target that {state}")
def proxied_target(context, state):
    context.is_connected = state == "has an open connection"


@when("the target {event}")
def target_event(context, event):
    context.event = event


@then("a client that sees this connects to the proxy and is {outcome}")
def client_connects(context, outcome):
    assert trio.run(play, context.is_connected, context.event) == (outcome == "accepted")


async def play(is_connected, event):
    """Return whether a client's connection is accepted after an event."""
    proxy = Proxy(free_port(), free_port(), follows_target=True)
    target = Target(proxy.target)
    client = None
    async with trio.open_nursery() as nursery:
        await nursery.start(proxy.run)
        if is_connected:
            target.start()
            client = await connect(proxy)
            await target.accept()
        await cause(event, proxy, target, client)
        accepted = await is_accepted(proxy)
        if is_listening(proxy.target):
            target.end()
        nursery.cancel_scope.cancel()
    return accepted


async def cause(event, proxy, target, client):
    """Let an event happen; return once a client has seen it."""
    match event:
        case "has still to start":
            await trio.sleep(EXIT_SECONDS)
        case "starts":
            target.start()
            await (await connect(proxy)).aclose()
        case "ends":
            target.end()
            await wait_for_end(client)
        case "ends with unread bytes":
            await client.send_all(b"x")
            await trio.sleep(EXIT_SECONDS)
            target.end()
            await wait_for_end(client)
        case "closes its connection":
            target.close_connection()
            await wait_for_end(client)
        case "closes its connection, then ends":
            target.close_connection()
            await wait_for_end(client)
            await trio.sleep(EXIT_SECONDS)
            target.end()
            await trio.sleep(EXIT_SECONDS)
        case "ends and starts again":
            target.end()
            await wait_for_end(client)
            target.start()
            await (await connect(proxy)).aclose()
        case "ends behind a link that is silent":
            proxy.set_mode(Mode.SILENT)
            target.end()
            await trio.sleep(EXIT_SECONDS)
        case "ends while its link is silent for a time":
            proxy.set_mode(Mode.SILENT)
            target.end()
            await trio.sleep(EXIT_SECONDS)
            proxy.set_mode(Mode.PASS)
        case _:
            raise AssertionError(event)


@when("the client's bytes reach the proxy {when}")
def bytes_reach_proxy(context, when):
    context.when = when


@then("they count as passed on: {counts}")
def bytes_count(context, counts):
    assert trio.run(pass_bytes, context.when) == (counts == "yes")


async def pass_bytes(when):
    """Return whether bytes that reach a proxy at some time count as passed on."""
    proxy = Proxy(free_port(), free_port())
    target = Target(proxy.target)
    async with trio.open_nursery() as nursery:
        await nursery.start(proxy.run)
        target.start()
        client = await connect(proxy)
        await target.accept()
        if "sent bytes" in when:
            target.send(b"x")
        if "closed" in when:
            target.close_connection()
            await wait_for_end(client)
        await client.send_all(b"x")
        await trio.sleep(EXIT_SECONDS)
        target.end()
        nursery.cancel_scope.cancel()
    return bool(proxy.passed_on_at)
