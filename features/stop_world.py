"""Gateway processes that serve in memory and can be stopped in order, on a virtual clock."""

from functools import partial

import trio
from bound_world import BoundPartitionWorld
from crash_world import GatewayProcess
from interruption_world import HalfWriteStream

from deckcourse.gateway.server import GatewayServer, ListenAddresses
from deckcourse.http1.pieces import PieceLane

READY_PORT, METRICS_PORT = 2, 3
# Longer than any grace period here.
ROUTE_TIMEOUT_MS = 20000


class MemoryServer(GatewayServer):
    """A server whose listeners are in memory.

    Args:
      process: the process that it serves for.
    """

    def __init__(self, process):
        node = process.node
        self._process = process
        super().__init__(
            node,
            ListenAddresses(
                process.address,
                f"{process.name}:{READY_PORT}",
                f"{process.name}:{METRICS_PORT}",
                process.peer_address,
            ),
            lambda: process.world.grace,
            bytes,
            b"/ready",
            process.note,
        )

    def _listen(self, nursery, address, handler, held=None, bounds=None, admit=lambda: True):
        serve = partial(self._serve, handler, held, bounds or self._bounds, PieceLane())
        if address == self._process.address:
            serve = partial(self._process.serve_caller, serve)
        self._process.world.network.accept(address, nursery, serve)


class StoppableProcess(GatewayProcess):
    """A gateway process with its server; `ended_at` is when it has ended by itself."""

    def __init__(self, world, name, domain, start=1):
        super().__init__(world, name, domain, start)
        self.ended_at = None
        self.lines = []
        # The connections of callers, in the order in which they were accepted.
        self.connections = []
        # The load of the machine that plays a scenario is no part of it.
        self.node.watch_load = trio.sleep_forever
        self.server = MemoryServer(self)

    def note(self, decision, /, **fields):
        self.lines.append((decision, fields))

    async def serve_caller(self, serve, stream):
        connection = HalfWriteStream(stream)
        self.connections.append(connection)
        await serve(connection)

    async def run(self):
        with trio.CancelScope() as self.scope:
            await self.server.run()
            self.ended_at = trio.current_time()
        for each in (self.address, self.peer_address):
            self.world.network.kill(each)


class StopWorld(BoundPartitionWorld):
    """Three processes that can be stopped; g0 may be cut off from all upstreams.

    Args:
      grace: the time that a stopped process has, seconds.
    """

    process_type = StoppableProcess

    def __init__(self, grace):
        super().__init__(2, 2)
        self.grace = grace
        for route in self.config["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS

    def let_upstreams_work_forever(self):
        """Let all upstreams begin each request and never answer it, while they answer probes."""
        for each in self.runners.values():
            each.behaviour, each.work = "hangs", float("inf")
