"""What the daemons share: arguments, settings, logs and signals."""

import signal
import sys
from collections.abc import Awaitable, Callable
from random import SystemRandom

import cappa
import trio
from returns.result import Failure, Success

from deckcourse.counters import Counters, MemoryCounters, StatsdCounters
from deckcourse.http_ports import http_ports
from deckcourse.logs import log_to_stderr
from deckcourse.node import Node, NodeIdentity
from deckcourse.settings import Settings, StatsdSettings, read_settings

__all__ = ["SETTINGS_EXIT", "build_node", "load_settings", "run_until_stopped"]

# The exit code of a program whose settings can't be used (EX_CONFIG of sysexits.h).
SETTINGS_EXIT = 78
SECOND_SIGNAL_EXIT = 1


def load_settings(path: str) -> Settings:
    """Return the settings of a file, or tell every problem and exit."""
    match read_settings(path):
        case Success(settings):
            if settings.log.enabled:
                log_to_stderr()
            return settings
        case Failure(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
    raise cappa.Exit(code=SETTINGS_EXIT)


def build_node(settings: Settings, role: str, peer_address: str) -> Node:
    """Return the node that the settings describe."""
    node = settings.node
    identity = NodeIdentity.start(f"{node.name}-{role}", role, node.domain, str(peer_address))
    seeds = [str(address) for address in node.peers]
    return Node(
        identity, http_ports(node.platform), _counters(settings.statsd), SystemRandom(), seeds
    )


def _counters(settings: StatsdSettings) -> Counters:
    if not settings.host:
        return MemoryCounters()
    return StatsdCounters(settings.host, settings.port)


async def run_until_stopped(
    run: Callable[..., Awaitable[None]], stop: Callable[[], None], what: str
) -> int:
    """Run a server; the first SIGTERM or SIGINT stops it in order, the second at once.

    Returns:
      The exit code.
    """
    watch = _SignalWatch(stop)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run, nursery.cancel_scope)
        async with trio.open_nursery() as serving:
            bound = await serving.start(run)
            print(f"{what} listens on {bound}", file=sys.stderr, flush=True)
        nursery.cancel_scope.cancel()
    return SECOND_SIGNAL_EXIT if watch.seen > 1 else 0


class _SignalWatch:
    """Counts the signals to stop, and acts on the first and the second."""

    def __init__(self, stop: Callable[[], None]) -> None:
        self._stop = stop
        self.seen = 0

    async def run(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.seen += 1
                if self.seen > 1:
                    scope.cancel()
                    return
                self._stop()
