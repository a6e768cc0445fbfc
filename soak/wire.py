"""The stand-ins' side of HTTP over TCP, and the pieces of the platform's wire that they speak."""

import os
import socket
from collections.abc import Callable
from itertools import count
from urllib.parse import parse_qs

import trio

from deckcourse.gateway.desired import CallerBounds
from deckcourse.http1.server import Handler, IncomingRequest, serve_connection

__all__ = [
    "BACKLOG",
    "HOST",
    "JSON_TYPE",
    "fields_of",
    "free_port",
    "parse_path",
    "serve",
    "serve_each",
]

HOST = "127.0.0.1"
# Connections that may wait to be accepted.
BACKLOG = 256
# The headers of each answer in JSON.
JSON_TYPE = ((b"content-type", b"application/json"),)

# Ports below those that the system gives to connections; each process takes a part of its own.
LOWEST_PORT = 12_000
PORT_RANGES = 300
PORTS_OF_ONE_PROCESS = 60
_ports = count(LOWEST_PORT + os.getpid() % PORT_RANGES * PORTS_OF_ONE_PROCESS)


def free_port() -> int:
    """Return a TCP port that nobody listens on; each call another."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue  # Taken: the next one may be free.
            return port
    raise AssertionError("the ports are endless")


def fields_of(request: IncomingRequest) -> tuple[str, dict[str, str]]:
    """Return the path of a request and the fields of its query."""
    path, _, query = request.target.decode().partition("?")
    return path, {name: values[0] for name, values in parse_qs(query).items()}


def parse_path(text: str) -> list[tuple[str, int, int]]:
    """Return a path over layers as (address, first, end); empty for an empty text."""
    parts = []
    for part in filter(None, text.split(",")):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        parts.append((address, int(first), int(end)))
    return parts


async def serve(
    port: int, handler: Handler, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Answer HTTP requests on a port until cancelled."""
    await serve_each(port, lambda stream: (stream, handler), task_status)


async def serve_each(
    port: int,
    open_one: Callable[[trio.SocketStream], tuple[trio.abc.Stream, Handler]],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer HTTP requests on a port until cancelled, each connection by its own handler.

    Args:
      port: where.
      open_one: returns the stream and the handler for an accepted connection.
      task_status: told once it listens.
    """
    (listener,) = await trio.open_tcp_listeners(port, host=HOST, backlog=BACKLOG)
    bounds: Callable[[], CallerBounds] = CallerBounds
    task_status.started()
    async with trio.open_nursery() as nursery:
        while True:
            stream, handler = open_one(await listener.accept())
            nursery.start_soon(serve_connection, stream, handler, bounds, lambda: False)


def reset(stream: trio.SocketStream) -> None:
    """Close a connection at once, so that the other side gets a reset."""
    try:
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    except OSError:
        return  # Closed already.
    stream.socket.close()
