"""Datagrams between processes: their port, UDP behind it, and a twin in memory."""

import socket
from collections.abc import Callable
from typing import Protocol

import trio

from deckcourse.http1.addresses import is_address

__all__ = ["Datagrams", "MemoryDatagrams", "MemoryMedium", "UdpDatagrams"]

# The largest datagram that is taken, bytes; one of ours stays below 1,400.
LARGEST_DATAGRAM = 65_507
# Datagrams that wait in memory to be read, in the twin; more are dropped, as a full buffer does.
MOST_WAITING = 256


class Datagrams(Protocol):
    """Sends and receives datagrams at one address; any may be lost."""

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to `IP:port`; one that can't be sent is lost."""

    async def receive(self) -> bytes:
        """Return the next datagram."""


class UdpDatagrams:
    """Datagrams by UDP at `IP:port`."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        opened = socket.socket(type=socket.SOCK_DGRAM)
        opened.bind((host, int(port)))
        self._socket = trio.socket.from_stdlib_socket(opened)

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to `IP:port`; one that can't be sent is lost."""
        if not is_address(address):
            return  # Another process told of it, and nobody vouches for what it says.
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(data, (host, int(port)))
        except OSError:
            return  # As good as lost on the way: the next round tells the same.

    async def receive(self) -> bytes:
        """Return the next datagram."""
        while True:
            try:
                return await self._socket.recv(LARGEST_DATAGRAM)
            except OSError:
                # An earlier datagram was turned down by its receiver's machine.
                await trio.lowlevel.checkpoint()


class MemoryMedium:
    """What carries datagrams in memory; `lost` decides which of them don't come."""

    def __init__(self, lost: Callable[[str, str], bool] = lambda source, target: False) -> None:
        self._lost = lost
        self._waiting: dict[str, trio.MemorySendChannel[bytes]] = {}

    def open(self, address: str) -> "MemoryDatagrams":
        """Return the datagrams of an address; who had it before gets none any more."""
        send, receive = trio.open_memory_channel[bytes](MOST_WAITING)
        self._waiting[address] = send
        return MemoryDatagrams(self, address, receive)

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Bring a datagram to its target, if that is there and has room."""
        waiting = self._waiting.get(target)
        if waiting is None or self._lost(source, target):
            return
        try:
            waiting.send_nowait(data)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return  # A full buffer and a closed socket drop it.


class MemoryDatagrams:
    """The twin of UDP: datagrams at one address of a medium."""

    def __init__(
        self, medium: MemoryMedium, address: str, waiting: trio.MemoryReceiveChannel[bytes]
    ) -> None:
        self._medium = medium
        self._address = address
        self._waiting = waiting

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; it is there at once or never."""
        await trio.lowlevel.checkpoint()
        self._medium.carry(self._address, address, data)

    async def receive(self) -> bytes:
        """Return the next datagram."""
        return await self._waiting.receive()
