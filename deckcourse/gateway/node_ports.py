"""The identity of a gateway process and the external systems that it uses."""

from collections.abc import Callable
from dataclasses import dataclass

from deckcourse.change_feed import StoreFeed
from deckcourse.gateway.dialect import Dialect, StreamControl
from deckcourse.gateway.row_intake import RowReader
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.orders import Orderer
from deckcourse.peers.peers import PeerPorts
from deckcourse.table import TableService

__all__ = ["GatewayIdentity", "GatewayPorts"]


@dataclass(frozen=True)
class GatewayIdentity:
    """The identity of the process; `author` differs for each of its incarnations."""

    name: str
    domain: str
    author: str


@dataclass(frozen=True)
class GatewayPorts:
    """The external systems and the clients that reach them.

    `wall_clock` returns seconds since the epoch, to be compared with start times of upstreams.
    """

    table: TableService
    feed: StoreFeed
    rows: RowReader
    dialect: Dialect
    orderer: Orderer
    control: StreamControl
    pool: ConnectionPool
    peers: PeerPorts
    wall_clock: Callable[[], float]
