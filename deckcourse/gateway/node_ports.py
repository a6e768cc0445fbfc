"""Who a gateway process is, and the outside systems that it works with."""

from dataclasses import dataclass

from deckcourse.change_feed import ChangeFeed
from deckcourse.gateway.dialect import Dialect, StreamControl
from deckcourse.gateway.row_intake import RowReader
from deckcourse.http1.client import ConnectionPool
from deckcourse.layers.orders import Orderer
from deckcourse.peers.peers import PeerPorts
from deckcourse.table import TableService

__all__ = ["GatewayIdentity", "GatewayPorts"]


@dataclass(frozen=True)
class GatewayIdentity:
    """Who the process is; `author` is new at each start."""

    name: str
    domain: str
    author: str


@dataclass(frozen=True)
class GatewayPorts:
    """The outside systems and the ways to reach them."""

    table: TableService
    feed: ChangeFeed
    rows: RowReader
    dialect: Dialect
    orderer: Orderer
    control: StreamControl
    pool: ConnectionPool
    peers: PeerPorts
