"""Tells whether this process reaches the upstreams of each service over new connections.

A process may be partitioned from all upstreams while its peers, the store and its callers reach it.
What it then observes about single upstreams says nothing about them. Connections that were opened
before may live on, so only new ones are evidence.
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import trio

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.loss_notices import evidence_of
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.message import ConnectionLostError

__all__ = ["MIN_UNREACHABLE", "Reachability"]

# Upstreams of a service that can't be reached before others are probed: one alone has crashed.
MIN_UNREACHABLE = 2
# How long a failure to reach an upstream counts, seconds.
FAILURE_TTL_SECONDS = 2.0
# Upstreams that are probed at once, in as many failure domains as possible.
PROBES_AT_ONCE = 3
# Timeouts of the rounds of probes after which a process counts as partitioned: a live upstream
# accepts a connection within 3 ms, but a single packet may be lost.
PROBE_TIMEOUTS_SECONDS = (0.06, 0.12)
# A proxy that accepts connections for a plain upstream which it can't reach closes them within this
# time, seconds.
QUIET_SECONDS = 0.05
# Shortest interval between two checks of a service that found it reachable.
CHECK_INTERVAL_SECONDS = 1.0
# Interval of the probes that find out when a partition has ended.
RECOVERY_INTERVAL_SECONDS = 0.25
# While a service is partitioned, open connections are used as long as one of them has had an answer
# within this time.
KEPT_CONTACT_SECONDS = 1.0
# A plain call usually takes less than this. The upstream of one that takes longer is probed.
SLOW_CALL_SECONDS = 0.4
# A new connection that breaks within this time was never one to the upstream, seconds.
BROKEN_AT_ONCE = 0.1
# What a failure to connect shows if the upstream can't be reached.
DIAL_EVIDENCE = (Evidence.SILENT, Evidence.UNREACHABLE)
# How long a new connection shows that the upstreams of a service can be reached.
CONTACT_TTL_SECONDS = 0.3


@dataclass(eq=False)
class _Wait:
    """A plain call that waits for its upstream; `on_unreachable` is None if it isn't repeated."""

    instance: str
    since: float
    on_unreachable: Callable[[], None] | None


@dataclass
class _ServiceReach:
    """What is known of one service; all times are on trio's clock.

    `contact_at` is the time of the last answer or new connection, `connected_at` that of the last
    new connection. `unreachable` holds when each upstream could not be reached. `checked_since` is
    when the last check began.
    """

    contact_at: float = float("-inf")
    connected_at: float = float("-inf")
    unreachable: dict[str, float] = field(default_factory=dict)
    partitioned_since: float | None = None
    checked_since: float = float("-inf")
    next_check_at: float = float("-inf")
    check: trio.Event | None = None
    waits: set[_Wait] = field(default_factory=set)


class Reachability:
    """Observes for each service whether this process reaches any of its upstreams.

    Args:
      upstreams: the upstreams that this process knows.
      control: probes upstreams.
      services: returns the services, and whether the upstreams of each accept queries.
      random: chooses the upstreams that are probed.
      count: increments the counter of a name.
      gauge: sets a gauge by name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        control: StreamControl,
        services: Callable[[], Mapping[str, bool]],
        random: Random,
        count: Callable[[str], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._services = services
        self._random = random
        self._count = count
        self._gauge = gauge
        self._log = log
        self._states: dict[str, _ServiceReach] = {}
        self._nursery: trio.Nursery | None = None
        self._changed = trio.Event()

    def is_partitioned(self, service: str) -> bool:
        """Return whether this process reaches no upstream of a service over new connections."""
        state = self._states.get(service)
        return state is not None and state.partitioned_since is not None

    def may_send(self, service: str) -> bool:
        """Return whether a request may be sent to an upstream of a service.

        While the service is partitioned, only connections that were open before can carry it, and
        it waits until its timeout if they have gone silent: others must have had answers since.
        """
        state = self._states.get(service)
        if state is None or state.partitioned_since is None:
            return True
        recently = trio.current_time() - KEPT_CONTACT_SECONDS
        return state.contact_at >= max(state.checked_since, recently)

    def contact_at(self, service: str) -> float:
        """Return when an upstream of a service last answered, on trio's clock."""
        state = self._states.get(service)
        return state.contact_at if state is not None else float("-inf")

    def note_dial_failure(self, address: str, failure: ConnectionLostError) -> None:
        """Record that no connection to an address, of an upstream or not, could be opened."""
        upstream = self._upstreams.listed_at(address)
        if upstream is not None and evidence_of(failure) in DIAL_EVIDENCE:
            self.note_unreachable(upstream)

    def note_answer(self, instance: str, connection_opened_at: float) -> None:
        """Record that an upstream answered a request on a connection."""
        upstream = self._upstreams.last_known(instance)
        if upstream is None:
            return
        state = self._state(upstream.service)
        state.contact_at = trio.current_time()
        # Connections that were opened before upstreams went out of reach show nothing.
        if connection_opened_at > max(state.unreachable.values(), default=state.connected_at):
            self._note_connected(upstream, connection_opened_at)

    def note_broken(self, instance: str, connection_opened_at: float) -> None:
        """Record that a connection broke before an answer.

        A proxy in front of an upstream accepts connections for it, and closes them at once if it
        can't reach the upstream.
        """
        upstream = self._upstreams.last_known(instance)
        if upstream is not None and trio.current_time() < connection_opened_at + BROKEN_AT_ONCE:
            self.note_unreachable(upstream)

    def note_unreachable(self, upstream: Upstream) -> None:
        """Record that an upstream answered neither a connection attempt nor probes."""
        state = self._state(upstream.service)
        now = trio.current_time()
        state.unreachable = {
            name: at
            for name, at in state.unreachable.items()
            if at > now - FAILURE_TTL_SECONDS and name != upstream.instance
        }
        state.unreachable[upstream.instance] = now
        listed = len(self._upstreams.of_service(upstream.service))
        if len(state.unreachable) >= min(MIN_UNREACHABLE, listed):
            self._start_check(upstream.service)

    async def confirm_contact(self, service: str) -> bool:
        """Return whether this process reaches an upstream of a service, by a probe if need be."""
        state = self._state(service)
        if state.partitioned_since is not None:
            return False
        if state.connected_at > trio.current_time() - CONTACT_TTL_SECONDS:
            return True
        await self._check(service)
        return state.partitioned_since is None

    @contextmanager
    def waiting(
        self, service: str, instance: str, on_unreachable: Callable[[], None] | None
    ) -> Iterator[None]:
        """Enclose a plain call's wait for its upstream.

        The wait isn't ended by a partition: an upstream that is silent for a moment looks the same.

        Args:
          service: the service.
          instance: the upstream.
          on_unreachable: called when this process is found to be partitioned from the service; None
            if the call must not be repeated.
        """
        wait = _Wait(instance, trio.current_time(), on_unreachable)
        waits = self._state(service).waits
        waits.add(wait)
        self._wake()
        try:
            yield
        finally:
            waits.discard(wait)

    async def run(self) -> None:
        """Check services whose upstreams are slow or out of reach, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                while True:
                    self._changed = trio.Event()
                    with trio.move_on_at(self._next_round_at()):
                        await self._changed.wait()
                    await self._check_slow_calls()
                    await self._probe_partitioned()
                    await trio.sleep(RECOVERY_INTERVAL_SECONDS)
            finally:
                self._nursery = None

    def _state(self, service: str) -> _ServiceReach:
        return self._states.setdefault(service, _ServiceReach())

    def _wake(self) -> None:
        self._changed.set()

    def _next_round_at(self) -> float:
        if any(each.partitioned_since is not None for each in self._states.values()):
            return trio.current_time()
        started = [wait.since for each in self._states.values() for wait in each.waits]
        return min(started, default=float("inf")) + SLOW_CALL_SECONDS

    def _note_connected(self, upstream: Upstream, opened_at: float) -> None:
        state = self._state(upstream.service)
        state.contact_at = trio.current_time()
        state.connected_at = max(state.connected_at, opened_at)
        state.unreachable.clear()
        if state.partitioned_since is not None:
            self._end_partition(upstream.service, state)

    def _start_check(self, service: str) -> None:
        state = self._state(service)
        is_due = state.check is None and trio.current_time() >= state.next_check_at
        if is_due and state.partitioned_since is None and self._nursery is not None:
            self._nursery.start_soon(self._check, service)

    async def _check(self, service: str) -> None:
        """Probe upstreams of a service; it counts as partitioned if none can be reached."""
        state = self._state(service)
        if state.check is not None:
            await state.check.wait()
            return
        check = state.check = trio.Event()
        state.checked_since = trio.current_time()
        try:
            for seconds in PROBE_TIMEOUTS_SECONDS:
                upstreams = self._sample(service)
                if not upstreams or await self._reach_any(upstreams, seconds):
                    return
            if state.partitioned_since is None:
                self._begin_partition(service, state)
        finally:
            state.next_check_at = trio.current_time() + CHECK_INTERVAL_SECONDS
            state.check = None
            check.set()

    def _sample(self, service: str) -> list[Upstream]:
        """Return upstreams to probe: reachable ones first, each of another domain if possible."""
        unreachable = self._state(service).unreachable
        rows = [
            each for each in self._upstreams.of_service(service) if not self._leaves(each)
        ] or self._upstreams.of_service(service)
        self._random.shuffle(rows)
        rows.sort(key=lambda each: each.instance in unreachable)
        domains: dict[str, int] = {}
        order = []
        for position, each in enumerate(rows):
            order.append((domains.get(each.domain, 0), position))
            domains[each.domain] = domains.get(each.domain, 0) + 1
        return [rows[position] for _, position in sorted(order)[:PROBES_AT_ONCE]]

    def _leaves(self, upstream: Upstream) -> bool:
        return self._upstreams.is_leaving(upstream)

    async def _reach_any(self, upstreams: list[Upstream], seconds: float) -> bool:
        """Return whether an upstream accepts a new connection and keeps it."""
        reached: list[str] = []

        async def probe(upstream: Upstream, scope: trio.CancelScope) -> None:
            if await self._probe(upstream, seconds) is ProbeResult.ALIVE:
                reached.append(upstream.instance)
                self._note_connected(upstream, trio.current_time())
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for each in upstreams:
                nursery.start_soon(probe, each, nursery.cancel_scope)
        return bool(reached)

    async def _probe(self, upstream: Upstream, seconds: float) -> ProbeResult:
        """Probe an upstream over a new connection."""
        # The tokens of a rate limited upstream are for callers' requests and for orders.
        is_limited = self._upstreams.throttles.is_limited(upstream.instance)
        if self._services().get(upstream.service) and not is_limited:
            reply = await self._control.probe(upstream, seconds, afresh=True)
            if reply.result is not ProbeResult.NOT_SENT:
                return reply.result
        return await self._control.probe_connection(upstream, seconds, QUIET_SECONDS)

    def _begin_partition(self, service: str, state: _ServiceReach) -> None:
        state.partitioned_since = trio.current_time()
        self._count("upstreams.partition")
        self._show_partitions()
        self._log("partitioned", service=service, unreachable=len(state.unreachable))
        for wait in list(state.waits):
            if wait.on_unreachable is not None:
                wait.on_unreachable()
        for other in self._services():
            if other != service:
                self._start_check(other)
        self._wake()

    def _end_partition(self, service: str, state: _ServiceReach) -> None:
        seconds = trio.current_time() - state.partitioned_since
        state.partitioned_since = None
        for each in self._upstreams.of_service(service):
            # What was seen of it while nothing could be reached says nothing about it.
            self._upstreams.clear_suspicion(each.instance)
        self._show_partitions()
        self._log("partition-ended", service=service, seconds=round(seconds, 3))

    def _show_partitions(self) -> None:
        states = self._states.values()
        count = sum(each.partitioned_since is not None for each in states)
        self._gauge("upstreams.partitioned-services", count)

    async def _check_slow_calls(self) -> None:
        """Probe the upstreams of calls that take longer than usual."""
        now = trio.current_time()
        for service, state in list(self._states.items()):
            if state.partitioned_since is not None or now < state.next_check_at:
                continue
            slow = {each.instance for each in state.waits if now >= each.since + SLOW_CALL_SECONDS}
            rows = [self._upstreams.last_known(each) for each in sorted(slow)[:PROBES_AT_ONCE]]
            rows = [each for each in rows if each is not None]
            if rows and not await self._reach_any(rows, PROBE_TIMEOUTS_SECONDS[0]):
                await self._check(service)
            elif rows:
                state.next_check_at = trio.current_time() + CHECK_INTERVAL_SECONDS

    async def _probe_partitioned(self) -> None:
        """Find out whether the upstreams of partitioned services can be reached again."""
        for service, state in list(self._states.items()):
            if state.partitioned_since is not None:
                await self._reach_any(self._sample(service), PROBE_TIMEOUTS_SECONDS[1])
