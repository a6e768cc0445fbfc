"""The upstreams that one process knows: their rows, suspicions and requests in flight.

A row holds what an upstream reported about itself and may be stale. What the process has observed
on its own connections since then is kept separately, as suspicions that expire.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from deckcourse.gateway.backoffs import Backoffs
from deckcourse.gateway.bounded import put_bounded
from deckcourse.gateway.failure_share import FailureShare
from deckcourse.gateway.known_starts import KnownIncarnations
from deckcourse.gateway.leaving_incarnations import LeavingIncarnations
from deckcourse.gateway.throttles import Throttles
from deckcourse.gateway.upstream import StartOrder, Upstream
from deckcourse.layers.hosts import LayerHost

__all__ = ["UpstreamTable"]

# Time after a store outage in which a lapsed row may return, seconds: the platform promises this
# "within about two seconds of its return".
LAPSE_GRACE_SECONDS = 2.0
# Lifetime of the pace that an upstream reported, seconds.
PACE_TTL_SECONDS = 3.0
# A pace that differs by less than this from the known one can't change the best path.
MIN_PACE_CHANGE = 0.3
# An upstream that leaves without a notice runs its streams for some seconds, at times longer, after
# its row is gone. Its row is retained for this time, seconds, to query and move these streams.
DEPARTED_RETENTION_SECONDS = 20.0
# Bound on the upstreams that are remembered to have ended.
MAX_ENDED = 10_000


class UpstreamTable:
    """All upstreams that this process knows, at most one incarnation of each.

    Args:
      clock: a monotonic clock, seconds.
      on_ended: called with each incarnation that a newer one superseded, after its row was dropped;
        the layers and streams of that incarnation are gone.
      on_listed: called with each incarnation after its first row was added.
      on_dropped: called with each row that was dropped, for whatever reason: a row that lapsed in a
        store outage is dropped once it can no longer return.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_ended: Callable[[Upstream], None] = lambda row: None,
        on_listed: Callable[[Upstream], None] = lambda row: None,
        on_dropped: Callable[[Upstream], None] = lambda row: None,
    ) -> None:
        self._clock = clock
        self._on_ended = on_ended
        self._on_listed = on_listed
        self._on_dropped = on_dropped
        # The instance of each name, also a departed one that may still run streams.
        self._instance_by_name: dict[str, str] = {}
        self._incarnations = KnownIncarnations()
        self._leaving = LeavingIncarnations(clock)
        # By name: a requested backoff outlives a restart of the upstream. That costs a few seconds
        # of an upstream that holds no layers yet.
        self._backoffs = Backoffs(clock)
        self._throttles = Throttles(clock)
        # A live view, kept here because it is read for each changed row.
        self._scarce = self._throttles.scarce
        self._rows: dict[str, Upstream] = {}
        self._at_address: dict[str, str] = {}
        self._departed: dict[str, tuple[Upstream, float]] = {}
        self._lapsing: dict[str, float] = {}
        self._suspect_until: dict[str, float] = {}
        self._lost: set[str] = set()
        self._failures: dict[str, FailureShare] = {}
        self._paces: dict[str, tuple[float, float]] = {}
        # Cache of the `layer_hosts` entries, invalidated for each changed upstream: rebuilding
        # thousands of entries for a few changes would be slow.
        self._host_cache: dict[str, LayerHost] = {}
        self._in_flight: Counter[str] = Counter()
        # When an upstream was last found to have ended or to be cut off.
        self._ended_at: dict[str, float] = {}
        self._changes = 0
        self._at_next_change: set[Callable[[], object]] = set()
        self._store_recovered_at = float("-inf")
        self._next_expiry = float("inf")

    @property
    def is_settled(self) -> bool:
        """Whether the rows are reliable: no store outage ended within the grace period."""
        return self._clock() - self._store_recovered_at >= LAPSE_GRACE_SECONDS

    @property
    def change_count(self) -> int:
        """A counter that rises with every change that may change the best path."""
        self._expire()
        return self._changes

    def call_at_next_change(self, callback: Callable[[], object]) -> None:
        """Call a function once, at the next change that may change the best path."""
        self._at_next_change.add(callback)

    def on_store_recovered(self, recovered_at: float | None = None) -> None:
        """Record that the store recovered from an outage, now or at the given time."""
        at = self._clock() if recovered_at is None else recovered_at
        self._store_recovered_at = max(self._store_recovered_at, at)

    def replace_all(self, rows: Iterable[Upstream]) -> None:
        """Replace all rows by a snapshot, ordered from the oldest row."""
        rows = {each.name: each for each in rows}
        for name in [each.name for each in self._rows.values()]:
            if name not in rows:
                self.remove(name)
        for each in rows.values():
            self.put(each)

    def put(self, row: Upstream) -> bool:
        """Add or update a row; drop the previous owner of its address and older incarnations.

        Returns:
          Whether it was applied: the row of an older incarnation than a known one is ignored.
        """
        if row.start is not None:
            if row.start < self._incarnations.newest(row.name, row.start):
                return False
            self._incarnations.set_newest(row.name, row.start)
        is_new = self._instance_by_name.get(row.name) != row.instance
        self._supersede_others(row.name, row.instance)
        self._instance_by_name[row.name] = row.instance
        self._incarnations.mark_current(row.instance)
        known = self._rows.get(row.instance)
        if self._lapsing.pop(row.instance, None) is not None:
            self._note_change(row.instance)
        self._departed.pop(row.instance, None)
        if known == row:
            return True
        previous = self._at_address.get(row.address)
        if previous is not None and previous != row.instance:
            self._drop(previous)
        if known is not None and self._at_address.get(known.address) == row.instance:
            # Otherwise the next row with the old address would drop this one as its predecessor.
            del self._at_address[known.address]
        self._at_address[row.address] = row.instance
        self._rows[row.instance] = row
        self._note_change(row.instance)
        if is_new:
            self._on_listed(row)
        return True

    def observe_start(self, addressed: Upstream, start: int) -> StartOrder:
        """Record the start time in a reply to a message that addressed an incarnation.

        A newer incarnation supersedes the addressed one at once, and gets no requests until its row
        says which layers it holds.
        """
        if addressed.start is None:
            return StartOrder.SAME
        newest = self._incarnations.newest(addressed.name, addressed.start)
        if start > addressed.start:
            if start > newest:
                self._incarnations.set_newest(addressed.name, start)
                self._supersede_others(addressed.name, "")
            return StartOrder.NEWER
        return StartOrder.OLDER if start < newest else StartOrder.SAME

    def _supersede_others(self, name: str, instance: str) -> None:
        """Drop the known incarnation of a name unless it is `instance`: its process has ended."""
        previous = self._instance_by_name.get(name)
        if previous is None or previous == instance:
            return
        row = self.last_known(previous)
        del self._instance_by_name[name]
        self._drop(previous)
        self._departed.pop(previous, None)
        self._paces.pop(previous, None)
        if row is not None:
            self._incarnations.mark_ended(row)
            self._on_ended(row)

    def has_ended(self, instance: str) -> bool:
        """Return whether a newer incarnation of the same upstream is known."""
        return self._incarnations.ended(instance) is not None

    def note_refused_connection(self, address: str) -> None:
        """Record that a machine refused a connection: no process listens at the address."""
        departed = (row for row, _ in self._departed.values() if row.address == address)
        listed = self.listed_at(address)
        for row in (*departed, listed) if listed is not None else departed:
            self.note_cut_off(row.instance)

    def note_cut_off(self, instance: str) -> None:
        """Record that an upstream has ended, or has been cut off for longer than sound ones are."""
        put_bounded(self._ended_at, instance, self._clock(), MAX_ENDED)

    def has_ended_since(self, instance: str, since: float) -> bool:
        """Return whether an upstream is known to have ended after a time on the clock.

        A short silence, a suspicion or a missing row doesn't show that: the upstream may go on.
        """
        ended_at = self._ended_at.get(instance, float("-inf"))
        return self.has_ended(instance) or ended_at > since

    def row_of(self, instance: str) -> Upstream | None:
        """Return the last known row of an instance, also of one that a newer one superseded."""
        row = self.last_known(instance)
        return row if row is not None else self._incarnations.ended(instance)

    def note_leaving(self, instance: str) -> bool:
        """Record that an upstream announced its shutdown, which its row may not show yet.

        Returns:
          Whether that is new.
        """
        is_new = self._leaving.note(instance)
        if is_new:
            self._note_change(instance)
        return is_new

    def presume_leaving(self, instance: str) -> bool:
        """Record for a limited time that an upstream presumably announced its shutdown.

        Returns:
          Whether it didn't count as leaving before.
        """
        is_new = self._leaving.presume(instance)
        if is_new:
            self._note_change(instance)
        self._next_expiry = min(self._next_expiry, self._leaving.next_expiry)
        return is_new

    def note_backoff(self, instance: str, seconds: float) -> None:
        """Record that an upstream asked this process for a pause.

        It isn't suspected: it is alive, and its layers count as held.
        """
        self._backoffs.extend(self._name_of(instance), seconds)

    def backoff_until(self, instance: str) -> float | None:
        """Return when an upstream's backoff ends, None if it isn't backing off."""
        return self._backoffs.deadline(self._name_of(instance))

    @property
    def throttles(self) -> Throttles:
        """Rate limited and throttled upstreams."""
        return self._throttles

    def note_limited(self, instance: str, limited: bool) -> None:
        """Record whether an upstream is rate limited."""
        if limited:
            self._throttles.mark_limited(instance)
            self._next_expiry = min(self._next_expiry, self._throttles.next_expiry)
        else:
            self._note_change(instance, self._throttles.clear_limit(instance))

    def backing_off(self) -> frozenset[str]:
        """Return the upstreams that back off or are throttled; they still count as usable."""
        instances = [self._instance_by_name.get(name, name) for name in self._backoffs.names()]
        return frozenset([*instances, *self._throttles.throttled()])

    def accepts(self, instance: str) -> bool:
        """Return whether an upstream hasn't ended and is neither leaving nor backing off."""
        if self.has_ended(instance):
            return False
        row = self.last_known(instance)
        leaving = instance in self._leaving or (row is not None and row.leaving)
        return not leaving and self.backoff_until(instance) is None

    def is_available(self, instance: str) -> bool:
        """Return whether an upstream accepts requests and isn't throttled."""
        return self.accepts(instance) and not self._throttles.is_throttled(instance)

    def accepts_at(self, service: str) -> float | None:
        """Return when the first upstream of a service accepts requests again, on the clock.

        None if one accepts them now, or if all of them are leaving.
        """
        rows = self.of_service(service)
        return self.first_accepts_at([each.instance for each in rows if not self.is_leaving(each)])

    def first_accepts_at(self, instances: Iterable[str]) -> float | None:
        """Return when the first of some upstreams accepts requests again, on the clock.

        None if one accepts them now, or if there are no upstreams.
        """
        acceptance_times = [self._accepts_again_at(each) for each in instances]
        return None if None in acceptance_times else min(acceptance_times, default=None)

    def _accepts_again_at(self, instance: str) -> float | None:
        acceptance_times = (self.backoff_until(instance), self._throttles.retry_at(instance))
        return max((each for each in acceptance_times if each is not None), default=None)

    def _name_of(self, instance: str) -> str:
        row = self.row_of(instance)
        return row.name if row is not None else instance

    def is_leaving(self, row: Upstream) -> bool:
        """Return whether an upstream is leaving, by its row or by what it announced."""
        return row.leaving or row.instance in self._leaving

    def remove(self, name: str) -> None:
        """Remove the row of a name; shortly after a store outage it only lapses at first."""
        instance = self._instance_by_name.get(name)
        if instance is None:
            return
        now = self._clock()
        if now - self._store_recovered_at < LAPSE_GRACE_SECONDS and instance in self._rows:
            deadline = self._store_recovered_at + LAPSE_GRACE_SECONDS
            if instance not in self._lapsing:
                self._lapsing[instance] = deadline
                self._note_change(instance)
            self._next_expiry = min(self._next_expiry, deadline)
            return
        self._drop(instance)

    def withdraw(self, name: str) -> None:
        """Remove the row of a name that no longer names a usable upstream; it can't lapse."""
        instance = self._instance_by_name.get(name)
        if instance is not None:
            self._drop(instance)

    def _drop(self, instance: str) -> None:
        row = self._rows.pop(instance, None)
        self._note_change(instance, row is not None)
        if row is not None:
            self._departed[instance] = row, self._clock() + DEPARTED_RETENTION_SECONDS
            if self._at_address.get(row.address) == instance:
                del self._at_address[row.address]
        self._lapsing.pop(instance, None)
        self._failures.pop(instance, None)
        self._suspect_until.pop(instance, None)
        self._lost.discard(instance)
        if row is not None:
            self._on_dropped(row)

    def _expire(self) -> None:
        now = self._clock()
        if now < self._next_expiry:
            return
        for instance in [name for name, at in self._lapsing.items() if at <= now]:
            self._drop(instance)
        for instance in [name for name, at in self._suspect_until.items() if at <= now]:
            self.clear_suspicion(instance)
        for instance in [name for name, (_, at) in self._paces.items() if at <= now]:
            self._note_change(instance, self._paces.pop(instance)[0] > 1.0 + MIN_PACE_CHANGE)
        for instance in [*self._throttles.expire(now), *self._leaving.expire(now)]:
            self._note_change(instance)
        self._forget_departed(now)
        paces = [at for _, at in self._paces.values()]
        deadlines = [*paces, *self._lapsing.values(), *self._suspect_until.values()]
        expiries = (self._throttles.next_expiry, self._leaving.next_expiry)
        self._next_expiry = min([*deadlines, *expiries])

    def _forget_departed(self, now: float) -> None:
        for row, at in list(self._departed.values()):
            if at <= now:
                del self._departed[row.instance]
                self._instance_by_name.pop(row.name, None)

    def suspect(self, instance: str, seconds: float, lost: bool = False) -> None:
        """Give an upstream no new requests for a while.

        Args:
          instance: the upstream.
          seconds: the duration.
          lost: whether it is confirmed lost. The layers of one that is only suspected still count
            as held where others would have to unload layers to replace it.
        """
        if self.has_ended(instance):
            return
        if lost and instance not in self._lost:
            self._lost.add(instance)
            self._note_change(instance)
        deadline = self._clock() + seconds
        if instance not in self._suspect_until:
            self._note_change(instance)
        self._suspect_until[instance] = max(deadline, self._suspect_until.get(instance, deadline))
        self._next_expiry = min(self._next_expiry, deadline)

    def clear_suspicion(self, instance: str) -> None:
        """End a suspicion: the upstream answered, or the suspicion expired."""
        self._note_change(instance, self._suspect_until.pop(instance, None) is not None)
        self._lost.discard(instance)

    def record_pace(self, instance: str, pace: float) -> None:
        """Record the pace that an upstream reported; 1 is its usual pace, 2 is half as fast."""
        known, _ = self._paces.get(instance, (1.0, 0.0))
        self._note_change(instance, abs(pace - known) > MIN_PACE_CHANGE)
        deadline = self._clock() + PACE_TTL_SECONDS
        self._paces[instance] = (pace, deadline)
        self._next_expiry = min(self._next_expiry, deadline)

    def pace(self, instance: str) -> float:
        """Return the pace that an upstream reported last, 1 if none is known."""
        return self._paces.get(instance, (1.0, 0.0))[0]

    def is_suspected(self, instance: str) -> bool:
        """Return whether an upstream is suspected."""
        self._expire()
        return instance in self._suspect_until

    def get(self, instance: str) -> Upstream | None:
        """Return the row of an instance, None if it is gone."""
        return self._rows.get(instance)

    def by_name(self, name: str) -> Upstream | None:
        """Return the row of a name, None if it is gone."""
        return self._rows.get(self._instance_by_name.get(name, ""))

    def last_known(self, instance: str) -> Upstream | None:
        """Return the row of an instance, or the last row of a departed one."""
        row = self._rows.get(instance)
        return row if row is not None else self._departed.get(instance, (None, 0.0))[0]

    def at_address(self, address: str, service: str) -> Upstream | None:
        """Return the upstream of a service at an address, also a departed one."""
        row = self._rows.get(self._at_address.get(address, ""))
        if row is not None:
            return row if row.service == service else None
        departed = (
            each for each, _ in reversed(self._departed.values()) if each.address == address
        )
        return next((each for each in departed if each.service == service), None)

    def listed_at(self, address: str) -> Upstream | None:
        """Return the listed upstream at an address, of whatever service."""
        return self._rows.get(self._at_address.get(address, ""))

    def of_service(self, service: str) -> list[Upstream]:
        """Return all listed upstreams of a service, leaving ones included."""
        self._expire()
        return [each for each in self._rows.values() if each.service == service]

    def lapsed(self) -> list[Upstream]:
        """Return the lapsed rows: missing since a store outage, but they may return."""
        self._expire()
        return [self._rows[instance] for instance in self._lapsing]

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new requests once they accept them.

        Lapsed rows are included only if there are no others: of eight upstreams that left during a
        store outage, two were sent requests for 1.7 seconds after it.
        """
        usable = [each for each in self.of_service(service) if self._is_usable(each)]
        return [each for each in usable if each.instance not in self._lapsing] or usable

    def _is_usable(self, row: Upstream) -> bool:
        return not self.is_leaving(row) and row.instance not in self._suspect_until

    def layer_hosts(self, service: str) -> tuple[LayerHost, ...]:
        """Return the upstreams of a service in the form that planner and path finder use."""
        hosts = self._host_cache
        rows = self.of_service(service)
        return tuple([hosts.get(each.instance) or self._host(each) for each in rows])

    def _host(self, row: Upstream) -> LayerHost:
        """Return the `layer_hosts` entry of an upstream, and cache it."""
        host = self._host_cache[row.instance] = LayerHost(
            row.instance,
            row.domain,
            row.kind,
            row.first,
            row.end,
            row.address,
            usable=self._is_usable(row),
            pace=self._paces.get(row.instance, (1.0, 0.0))[0],
            serving=row.instance not in self._lost,
            leaving=self.is_leaving(row),
            lapsing=row.instance in self._lapsing,
            scarce=row.instance in self._scarce and row.first == 0 < row.end,
        )
        return host

    def _note_change(self, instance: str, counts: bool = True) -> None:
        """Invalidate the cached entry of a changed upstream.

        Args:
          instance: the upstream.
          counts: whether the change may change the best path.
        """
        self._host_cache.pop(instance, None)
        self._changes += counts
        if counts and self._at_next_change:
            callbacks, self._at_next_change = self._at_next_change, set()
            for each in callbacks:
                each()

    def begin_request(self, instance: str) -> None:
        """Count a request in flight."""
        self._in_flight[instance] += 1

    def end_request(self, instance: str) -> None:
        """Stop counting a request in flight."""
        self._in_flight[instance] -= 1
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]

    def in_flight(self, instance: str) -> int:
        """Return the number of this process's requests in flight to an upstream."""
        return self._in_flight[instance]

    def record_outcome(self, instance: str, failed: bool) -> None:
        """Record whether a request to an upstream failed."""
        if instance in self._rows:
            self._failures.setdefault(instance, FailureShare()).note(failed, self._clock())

    def failure_share(self, instance: str) -> float:
        """Return the share of recent requests to an upstream that failed, 0 to 1."""
        failures = self._failures.get(instance)
        return failures.share(self._clock()) if failures else 0.0
