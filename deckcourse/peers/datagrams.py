"""Datagrams between processes: the interface, UDP, and a test double in memory."""

import socket
from collections.abc import Callable
from typing import Protocol

import trio

from deckcourse.http1.addresses import is_address

__all__ = ["Datagrams", "MemoryDatagrams", "MemoryMedium", "UdpDatagrams"]

# Largest datagram that is received; this version sends fewer than 1,400 bytes.
MAX_DATAGRAM_BYTES = 65_507
# Receive queue of an address in memory; further datagrams are dropped, as by a full socket buffer.
MAX_QUEUED_DATAGRAMS = 256


class Datagrams(Protocol):
    """Sends and receives datagrams at one address; delivery is not guaranteed."""

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to `IP:port`; one that can't be sent is lost."""

    async def receive(self) -> bytes:
        """Return the next datagram."""


class UdpDatagrams:
    """Datagrams over UDP at `IP:port`."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        bound_socket = socket.socket(type=socket.SOCK_DGRAM)
        bound_socket.bind((host, int(port)))
        self._socket = trio.socket.from_stdlib_socket(bound_socket)

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to `IP:port`; one that can't be sent is lost."""
        if not is_address(address):
            return  # Addresses come from other processes and may be malformed.
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(data, (host, int(port)))
        except OSError:
            return  # Same as a lost datagram: the next gossip round repeats its content.

    async def receive(self) -> bytes:
        """Return the next datagram."""
        while True:
            try:
                return await self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                # Reports an earlier datagram that the recipient's machine rejected.
                await trio.lowlevel.checkpoint()


class MemoryMedium:
    """A network for datagrams in memory.

    Args:
      lost: returns whether a datagram from a source to a target is lost.
    """

    def __init__(self, lost: Callable[[str, str], bool] = lambda source, target: False) -> None:
        self._is_lost = lost
        self._waiting: dict[str, trio.MemorySendChannel[bytes]] = {}

    def open(self, address: str) -> "MemoryDatagrams":
        """Open an address; an earlier holder of it receives nothing from then on."""
        send, receive = trio.open_memory_channel[bytes](MAX_QUEUED_DATAGRAMS)
        self._waiting[address] = send
        return MemoryDatagrams(self, address, receive)

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Deliver a datagram, if the target is open and its queue has room."""
        queue = self._waiting.get(target)
        if queue is None or self._is_lost(source, target):
            return
        try:
            queue.send_nowait(data)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return  # Dropped, as by a full socket buffer or a closed socket.


class MemoryDatagrams:
    """Datagrams at one address of a `MemoryMedium`."""

    def __init__(
        self, medium: MemoryMedium, address: str, queue: trio.MemoryReceiveChannel[bytes]
    ) -> None:
        self._medium = medium
        self._address = address
        self._waiting = queue

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; it arrives immediately or is lost."""
        await trio.lowlevel.checkpoint()
        self._medium.deliver(self._address, address, data)

    async def receive(self) -> bytes:
        """Return the next datagram."""
        return await self._waiting.receive()
