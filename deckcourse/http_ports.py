"""The ports of a process over the network: HTTP to the outside, pynng between peers."""

from collections.abc import Callable

import httpcore
import trio

from deckcourse.engine_http import HttpEngine
from deckcourse.http_client import fresh_pool, kept_pool
from deckcourse.instance_list import ListedInstance
from deckcourse.instance_list_http import HttpInstanceList
from deckcourse.loop_monitor import LoopMonitor
from deckcourse.node import Ports
from deckcourse.object_store_http import HttpObjectStore
from deckcourse.peer_link import PynngLink
from deckcourse.plain_service_http import HttpPlainService
from deckcourse.table_http import HttpTable

__all__ = ["http_ports"]

PEER_SECONDS = 1.0


def http_ports(platform: str) -> Ports:
    """Return ports to the platform at `platform` (IP:port) and to whatever it lists."""
    pool = kept_pool()
    return Ports(
        table=HttpTable(pool, platform),
        objects=HttpObjectStore(pool, platform),
        instance_list=HttpInstanceList(pool, platform),
        engine=lambda instance, address: HttpEngine(pool, instance, address),
        service=_service_port(pool, fresh_pool()),
        peer=lambda address: PynngLink(address, PEER_SECONDS),
    )


def _service_port(
    kept: httpcore.AsyncConnectionPool, fresh: httpcore.AsyncConnectionPool
) -> Callable[[ListedInstance, bool], HttpPlainService]:
    monitor: LoopMonitor | None = None

    def service(upstream: ListedInstance, on_fresh: bool) -> HttpPlainService:
        nonlocal monitor
        if monitor is None:
            monitor = LoopMonitor(trio.current_time)
            trio.lowlevel.add_instrument(monitor)
        pool = fresh if on_fresh else kept
        return HttpPlainService(pool, upstream.name, upstream.address, monitor.was_paused)

    return service
