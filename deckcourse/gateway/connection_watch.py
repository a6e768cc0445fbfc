"""Holds an idle connection to each upstream of the failure domain, which shows its end at once.

Load pattern: an upstream that ends resets its connections immediately, while a stalled stream shows
it only after 2.5 of its own gaps, and a refused attempt costs a retry. One process for each failure
domain is enough, since it tells the others; a second one takes over if the first is lost.

Nothing is sent on these connections. Upstreams close idle connections after some seconds, so only a
machine that then refuses the next connection shows a loss. A machine that goes silent sends nothing
and is not found here.
"""

from collections.abc import Callable, Iterable

import trio

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.loss_notices import LossNotices, evidence_of
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.transport import Dial, Transport
from deckcourse.peers.followers import followers
from deckcourse.peers.loss_notice import MAX_ROWS, WatchUpdate, encode_loss_message
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster

__all__ = ["ConnectionWatch"]

# Interval between two updates of the set of watched upstreams, and between messages about it.
UPDATE_INTERVAL_SECONDS = 0.5
WATCH_UPDATE_INTERVAL_SECONDS = 1.0
# How long a message that the first follower watches an upstream is valid: three times that
# interval, as a datagram may be lost.
WATCH_UPDATE_TTL_SECONDS = 3.0
# Connections that one process holds; a failure domain of the largest deployment has 33 upstreams,
# and the smallest process 1,535 descriptors.
MAX_CONNECTIONS = 128
# Upstreams of a service that takes fewer connections than this are not watched: the connections of
# two followers would be more than a tenth of them.
MIN_SERVICE_CONNECTIONS = 20
# A connection that closes sooner than this was not closed for being idle. After two in a row, the
# next one waits: a proxy may accept connections for an upstream that has ended.
MIN_IDLE_SECONDS = 1.0
# Pause before connecting again after a failure or a short connection, doubled up to the maximum.
MIN_RECONNECT_PAUSE_SECONDS = 0.5
MAX_RECONNECT_PAUSE_SECONDS = 8.0
READ_BYTES = 4096
# Bytes that an upstream may send before it closes, such as a response to no request; more of them
# show that something else than an upstream listens there.
MAX_UNASKED_BYTES = 64 * 1024


class ConnectionWatch:
    """Watches the connections to the upstreams of this process's failure domain.

    Args:
      roster: the membership view.
      upstreams: the upstreams that this process knows.
      losses: receives the losses found, and sends updates about watched upstreams.
      dial: opens a connection.
      services: returns the services whose upstreams hold layers, with the number of connections
        that each of their upstreams takes.
      is_on: returns whether to watch, by the current settings.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        roster: Roster,
        upstreams: UpstreamTable,
        losses: LossNotices,
        dial: Dial,
        services: Callable[[], Iterable[tuple[str, int]]],
        is_on: Callable[[], bool],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._roster = roster
        self._upstreams = upstreams
        self._losses = losses
        self._dial = dial
        self._services = services
        self._is_on = is_on
        self._count = count
        self._log = log
        self._watches: dict[str, trio.CancelScope] = {}
        # Upstreams to which a connection is open.
        self._open: set[str] = set()
        # Until when a message that the first follower watches an upstream is valid.
        self._watched_by_first: dict[str, float] = {}
        # Since when this process is the second follower, None if it isn't.
        self._second_since: float | None = None
        self._next_update_at = 0.0

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._open)

    async def run(self) -> None:
        """Watch until cancelled."""
        self._watches.clear()
        async with trio.open_nursery() as nursery:
            while True:
                wanted = self._wanted()
                for instance in self._watches.keys() - wanted.keys():
                    self._watches.pop(instance).cancel()
                for instance in wanted.keys() - self._watches.keys():
                    scope = self._watches[instance] = trio.CancelScope()
                    nursery.start_soon(self._watch, wanted[instance], scope)
                await self._send_update()
                await trio.sleep(UPDATE_INTERVAL_SECONDS)

    def on_update(self, update: WatchUpdate) -> None:
        """Record which upstreams the first follower watches."""
        domain_followers = self._followers()
        if not domain_followers or domain_followers[0].name != update.sender:
            return
        now = trio.current_time()
        self._watched_by_first = {
            name: until for name, until in self._watched_by_first.items() if until > now
        }
        # The table bounds what is kept.
        known = (each for each in update.instances if self._upstreams.get(each) is not None)
        self._watched_by_first.update(dict.fromkeys(known, now + WATCH_UPDATE_TTL_SECONDS))

    def _followers(self) -> tuple[Member, ...]:
        return followers(self._roster.live(), self._roster.own.domain)

    def _wanted(self) -> dict[str, Upstream]:
        """Return the upstreams to watch now."""
        names = [each.name for each in self._followers()] if self._is_on() else []
        own = self._roster.own
        if own.name not in names:
            self._second_since = None
            return {}
        rows = self._watchable()
        if names.index(own.name) == 0:
            self._second_since = None
            return dict(rows[:MAX_CONNECTIONS])
        now = trio.current_time()
        if self._second_since is None:
            self._second_since = now
        if now < self._second_since + WATCH_UPDATE_TTL_SECONDS:
            return {}  # News of the first follower may be under way.
        known = self._watched_by_first
        missing = [(name, row) for name, row in rows if known.get(name, 0.0) <= now]
        return dict(missing[:MAX_CONNECTIONS])

    def _watchable(self) -> list[tuple[str, Upstream]]:
        domain = self._roster.own.domain
        return [
            (row.instance, row)
            for service, connections in self._services()
            if connections >= MIN_SERVICE_CONNECTIONS
            for row in self._upstreams.of_service(service)
            if row.domain == domain and row.end and self._may_connect(row)
        ]

    def _may_connect(self, row: Upstream) -> bool:
        return (
            self._upstreams.accepts(row.instance)
            and not self._upstreams.throttles.is_limited(row.instance)
            and not self._losses.is_confirmed(row.instance)
        )

    async def _send_update(self) -> None:
        """Tell the second follower which upstreams this process, the first one, watches."""
        now = trio.current_time()
        if not self._open or now < self._next_update_at:
            return
        domain_followers = self._followers()
        if len(domain_followers) < 2 or domain_followers[0].name != self._roster.own.name:
            return
        self._next_update_at = now + WATCH_UPDATE_INTERVAL_SECONDS
        instances = sorted(self._open)
        for begin in range(0, len(instances), MAX_ROWS):
            update = WatchUpdate(self._roster.own.name, tuple(instances[begin : begin + MAX_ROWS]))
            await self._losses.send(domain_followers[1].address, encode_loss_message(update))

    async def _watch(self, upstream: Upstream, scope: trio.CancelScope) -> None:
        """Hold a connection to an upstream; open the next one when it closes."""
        pause = MIN_RECONNECT_PAUSE_SECONDS
        was_connected = False
        short_in_a_row = 0
        with scope:
            while True:
                opened_at = trio.current_time()
                try:
                    transport = await self._dial(upstream.address)
                except ConnectionLostError as failure:
                    self._on_refused(upstream, failure, was_connected)
                    was_connected = False
                else:
                    was_reset = await self._wait_for_close(upstream, transport)
                    is_short = trio.current_time() - opened_at < MIN_IDLE_SECONDS
                    short_in_a_row = short_in_a_row + 1 if is_short else 0
                    if was_reset or (short_in_a_row == 1 and was_connected):
                        # A restarted upstream or a proxy may accept the next connection.
                        self._losses.report(upstream.instance, Evidence.UNREACHABLE)
                    was_connected = True
                    if short_in_a_row < 2:
                        pause = MIN_RECONNECT_PAUSE_SECONDS
                        continue
                await trio.sleep(pause)
                pause = min(pause * 2, MAX_RECONNECT_PAUSE_SECONDS)

    async def _wait_for_close(self, upstream: Upstream, transport: Transport) -> bool:
        """Wait until a connection closes; return whether it was reset."""
        self._count("connection-watch.opened")
        self._open.add(upstream.instance)
        received = 0
        try:
            while received <= MAX_UNASKED_BYTES:
                data = await transport.receive_some(READ_BYTES)
                if not data:
                    self._count("connection-watch.closed")
                    return False
                received += len(data)
            self._count("connection-watch.unasked-bytes")
            return False
        except trio.BrokenResourceError:
            self._count("connection-watch.reset")
            return True
        finally:
            self._open.discard(upstream.instance)
            transport.close()

    def _on_refused(
        self, upstream: Upstream, failure: ConnectionLostError, was_connected: bool
    ) -> None:
        """Report why an upstream could not be connected to, if that shows a loss."""
        evidence = evidence_of(failure)
        if evidence is None:
            self._count("connection-watch.failed")
            return
        self._count(f"connection-watch.{evidence.label}")
        has_ended = was_connected and evidence is Evidence.UNREACHABLE
        self._log(
            "connection-watch",
            instance=upstream.instance,
            address=upstream.address,
            evidence=evidence.label,
            ended=has_ended,
        )
        if has_ended:
            self._losses.report_ended(upstream.instance)
        else:
            self._losses.report(upstream.instance, evidence)
