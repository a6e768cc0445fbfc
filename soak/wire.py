"""HTTP over TCP for the stand-ins, and the parts of the platform's protocol that they need."""

import os
import socket
from collections.abc import Callable, Iterator
from itertools import count
from urllib.parse import parse_qs

import trio

from deckcourse.gateway.desired import CallerBounds
from deckcourse.http1.message import IncomingRequest
from deckcourse.http1.server import Handler, serve_connection

__all__ = [
    "BACKLOG",
    "HOST",
    "JSON_HEADERS",
    "parse_target",
    "free_port",
    "is_listening",
    "parse_path",
    "serve",
    "serve_connections",
]

HOST = "127.0.0.1"
BACKLOG = 256
JSON_HEADERS = ((b"content-type", b"application/json"),)

# Below the system's ephemeral ports. Each process uses blocks of its own, the first by its id.
MIN_PORT = 12_000
PORT_RANGE_COUNT = 300
PORTS_PER_PROCESS = 60
# Bound sockets that reserve blocks of ports, each on the first port of its block.
_reservations: list[socket.socket] = []


def _reserved_ports() -> Iterator[int]:
    """Yield ports of blocks that this process has reserved.

    A port that is found free may be taken by another soak before the process that it is meant for
    binds it.
    """
    for number in count(os.getpid()):
        first = MIN_PORT + number % PORT_RANGE_COUNT * PORTS_PER_PROCESS
        reservation = socket.socket()
        try:
            reservation.bind((HOST, first))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        yield from range(first + 1, first + PORTS_PER_PROCESS)


_ports = _reserved_ports()


def free_port() -> int:
    """Return a TCP port that is not in use; each call returns another one."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue  # In use; try the next port.
            return port
    raise AssertionError("the sequence of ports is endless")


def is_listening(port: int) -> bool:
    """Return whether a socket listens on a local port, without opening a connection to it.

    Beside connections whose sockets allow reuse the port may be bound, beside a listener it can't.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return True
        return False


def parse_target(request: IncomingRequest) -> tuple[str, dict[str, str]]:
    """Return the path of a request and the fields of its query."""
    path, _, query = request.target.decode().partition("?")
    return path, {name: values[0] for name, values in parse_qs(query).items()}


def parse_path(text: str) -> list[tuple[str, int, int]]:
    """Return a path as (address, first layer, end layer) per stage; empty for an empty text."""
    stages = []
    for stage in filter(None, text.split(",")):
        address, _, layers = stage.partition("=")
        first, _, end = layers.partition("-")
        stages.append((address, int(first), int(end)))
    return stages


async def serve(
    port: int, handler: Handler, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve HTTP requests on a port until cancelled."""
    await serve_connections(port, lambda stream: (stream, handler), task_status)


async def serve_connections(
    port: int,
    wrap_connection: Callable[[trio.SocketStream], tuple[trio.abc.Stream, Handler]],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP requests on a port until cancelled, with a handler for each connection.

    Args:
      port: the port to listen on.
      wrap_connection: returns the stream and the handler for an accepted connection.
      task_status: started once the port accepts connections.
    """
    (listener,) = await trio.open_tcp_listeners(port, host=HOST, backlog=BACKLOG)
    bounds: Callable[[], CallerBounds] = CallerBounds
    task_status.started()
    async with trio.open_nursery() as nursery:
        while True:
            stream, handler = wrap_connection(await listener.accept())
            nursery.start_soon(serve_connection, stream, handler, bounds, lambda: False)


def reset(stream: trio.SocketStream) -> None:
    """Close a connection with a TCP reset."""
    try:
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    except OSError:
        return  # Already closed.
    stream.socket.close()
