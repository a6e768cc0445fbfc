"""A gateway server on loopback whose node refuses connections and requests, and its callers."""

import socket
import time
from types import SimpleNamespace

import trio

from deckcourse.gateway import server
from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.settings import LoadSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
RETRY_AFTER = ((b"retry-after", b"0.1"),)
STOP_GRACE_SECONDS = 8.0
ANSWER_TIMEOUT_SECONDS = 2.0


class StubNode:
    """A node that counts the requests that it gets; it refuses them once it is told to."""

    def __init__(self, admits, idle_seconds):
        self.admits = admits
        self.asked = 0
        self.stopping = False
        self.ready = True
        self.bounds = CallerBounds(idle_seconds=idle_seconds)
        self.held = HeldBytes(LoadSettings, lambda *_: None, lambda *_: None, lambda *_: None)
        self.overload = SimpleNamespace(admit_connection=lambda: self.admits)
        self.peers = SimpleNamespace(leave=trio.lowlevel.checkpoint)
        self.gateway = SimpleNamespace(requests=0, handle=self._handle, stop_bounds=StopBounds())
        self.run = self.watch_readers = self.watch_load = trio.sleep_forever
        self._refuses = False

    def stop(self):
        self.stopping = True

    def refuse_new(self):
        self._refuses = True

    async def handle_peer(self, request, exchange):
        await exchange.respond(404, (), b"")

    async def _handle(self, request, exchange):
        self.asked += 1
        await exchange.respond(503 if self._refuses else 200, RETRY_AFTER, b"")


class Caller:
    """A caller with a blocking socket, whose steps take no turn of the event loop."""

    def __init__(self, address, receive_buffer=None, answer_timeout=ANSWER_TIMEOUT_SECONDS):
        self._answer_timeout = answer_timeout
        host, port = address.split(":")
        self._socket = socket.socket()
        if receive_buffer is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._socket.connect((host, int(port)))

    def send(self, data=REQUEST):
        self._socket.sendall(data)

    def discard(self):
        """Read what has arrived."""
        self._socket.recv(65536)

    def read(self):
        """Return what arrives until the end, which is marked if it is a reset."""
        self._socket.settimeout(self._answer_timeout)
        data = b""
        try:
            while part := self._socket.recv(4096):
                data += part
        except ConnectionResetError:
            data += b"{reset}"
        self._socket.close()
        return data


def free_address():
    """Return an address that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


def play(callers_part, admits=True, idle_seconds=15.0, balancer_grace=0.3):
    """Run a server, and beside it a function with the server, its node and its address.

    Args:
      callers_part: an async function; the server is ended with it.
      admits: whether new connections are admitted.
      idle_seconds: the idle timeout.
      balancer_grace: how long the server takes requests after a stop, seconds.

    Returns:
      What the function returns.
    """
    node = StubNode(admits, idle_seconds)
    addresses = server.ListenAddresses(*(free_address() for _ in range(4)))
    under_test = server.GatewayServer(
        node, addresses, lambda: STOP_GRACE_SECONDS, bytes, b"/ready", lambda *_, **__: None
    )

    async def work():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(under_test.run)
            await trio.sleep(0.05)
            result = await callers_part(under_test, node, addresses.callers)
            nursery.cancel_scope.cancel()
        return result

    usual, server.BALANCER_GRACE_SECONDS = server.BALANCER_GRACE_SECONDS, balancer_grace
    try:
        return trio.run(work)
    finally:
        server.BALANCER_GRACE_SECONDS = usual


async def read_beside(caller):
    """Return what a caller reads while the server goes on."""
    return await trio.to_thread.run_sync(caller.read)


async def run_late(turn_seconds):
    """Make each turn of the event loop last longer, until cancelled."""
    while True:
        time.sleep(turn_seconds)
        await trio.lowlevel.checkpoint()
