"""Gateway processes of which some are partitioned from all upstreams, on a virtual clock.

A partition affects the connections between one process and some upstreams; peers, the store and
callers stay reachable. Scenarios check what callers got and what upstreams executed.
"""

from enum import StrEnum

import trio
from crash_world import CrashWorld

from deckcourse.http1.message import ConnectionLostError, FailureKind


class Cut(StrEnum):
    """What a partition does to open connections and to new ones."""

    SILENT = "silent"
    RESET = "reset"
    KEPT_LIVE = "kept connections live"
    KEPT_HANG = "kept connections hang"


class PartitionedTransport:
    """A connection between a process and an upstream, which a partition may affect."""

    def __init__(self, transport, cut_of):
        self.transport = transport
        self.cut_of = cut_of
        # A connection opened during the partition isn't affected by it later.
        self.opened_under = cut_of()
        self.broken = trio.Event()

    @property
    def cut(self):
        cut = self.cut_of()
        return None if cut is self.opened_under else cut

    async def receive_some(self, max_bytes):
        data = await self.until_broken(self.transport.receive_some, max_bytes)
        if self.cut in (Cut.SILENT, Cut.KEPT_HANG):
            await self.until_broken(trio.sleep_forever)
        return data

    async def send_all(self, data):
        if self.cut not in (Cut.SILENT, Cut.KEPT_HANG):
            await self.until_broken(self.transport.send_all, data)

    async def until_broken(self, work, *args):
        result = None
        if self.broken.is_set():
            raise trio.BrokenResourceError("reset")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cancel_when_broken, nursery.cancel_scope)
            result = await work(*args)
            nursery.cancel_scope.cancel()
        if self.broken.is_set():
            raise trio.BrokenResourceError("reset")
        return result

    async def cancel_when_broken(self, scope):
        await self.broken.wait()
        scope.cancel()

    def readable(self):
        return self.broken.is_set() or self.transport.readable()

    def is_open(self):
        return not self.broken.is_set() and self.transport.is_open()

    def close(self):
        self.transport.close()


class PartitionWorld(CrashWorld):
    """Processes in two failure domains, some of them partitioned from some upstreams.

    Args:
      count: the number of processes.
    """

    def __init__(self, count=3):
        super().__init__()
        self.names = tuple((f"g{each}", "xy"[each % 2]) for each in range(count))
        # For each partitioned process, the kind of its partition and the upstreams' addresses.
        self.cuts = {}
        self.transports = {}

    def dial_of(self, process):
        async def dial(address):
            cut = self.cut_of(process, address)
            if cut is Cut.SILENT:
                with trio.move_on_after(0.4):
                    await trio.sleep_forever()
                error = ConnectionLostError(FailureKind.UNSENT, f"no connection: {address}")
                raise error from trio.TooSlowError()
            if cut in (Cut.RESET, Cut.KEPT_LIVE):
                await trio.sleep(0.0004)
                error = ConnectionLostError(FailureKind.UNSENT, f"{address}: refused")
                raise error from ConnectionRefusedError()
            transport = await self.network.dial(address)
            if address not in self.upstream_addresses():
                return transport
            partitioned = PartitionedTransport(transport, lambda: self.cut_of(process, address))
            self.transports.setdefault(process, []).append((address, partitioned))
            return partitioned

        return dial

    def upstream_addresses(self):
        return {each.address for each in self.runners.values()}

    def cut_of(self, process, address):
        how, addresses = self.cuts.get(process, (None, ()))
        return how if address in addresses else None

    def cut(self, names, how, service="", domain=""):
        """Partition processes from all upstreams, or from those of a service or a domain."""
        addresses = {
            each.address
            for each in self.runners.values()
            if service in ("", each.service) and domain in ("", each.domain)
        }
        for name in names:
            self.cuts[name] = (how, addresses)
            for address, transport in self.transports.get(name, []):
                if how is Cut.RESET and address in addresses:
                    transport.broken.set()

    def mend(self):
        """End all partitions."""
        self.cuts.clear()
