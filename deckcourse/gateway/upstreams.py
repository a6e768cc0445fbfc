"""The upstreams as one process sees them: listed rows, suspicions and work in flight.

A row says what an upstream said of itself, some time ago. What a process saw on its own
connections since then is kept beside it, as suspicions that run out by themselves.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from deckcourse.gateway.backoffs import Backoffs
from deckcourse.gateway.failure_share import FailureShare
from deckcourse.gateway.known_starts import KnownStarts
from deckcourse.gateway.throttles import Throttles
from deckcourse.gateway.upstream import StartNews, Upstream
from deckcourse.layers.hosts import LayerHost

__all__ = ["UpstreamTable"]

# A row that is gone while the store was away a moment ago may be back by then, seconds: the
# platform's word is "within about two seconds of its return".
LAPSE_GRACE_SECONDS = 2.0
# What an upstream said of its pace counts for so long, seconds.
PACE_SECONDS = 3.0
# A pace that differs by less than this from the one known makes no other path the best.
PACE_STEP = 0.3
# An upstream that leaves without a word serves on after its row is gone, for a few seconds and at
# times for longer: streams on it can be asked about and moved for so long, seconds.
DEPARTED_SECONDS = 20.0


class UpstreamTable:
    """All upstreams that this process knows, of each one start at the most.

    Args:
      clock: seconds, steady.
      on_ended: told of each start that ended because a newer one is known: what it held and ran is
        gone, and its row is no longer here.
    """

    def __init__(
        self, clock: Callable[[], float], on_ended: Callable[[Upstream], None] = lambda row: None
    ) -> None:
        self._clock = clock
        self._on_ended = on_ended
        # The instance of each name, also one that left and may serve on.
        self._named: dict[str, str] = {}
        self._starts = KnownStarts()
        # By name: what was asked of this process holds over a restart of the one that asked, which
        # costs a few seconds of an upstream that holds nothing yet.
        self._backoffs = Backoffs(clock)
        self._throttles = Throttles(clock)
        # Read for each changed row.
        self._scarce = self._throttles.scarce
        self._rows: dict[str, Upstream] = {}
        self._at_address: dict[str, str] = {}
        self._departed: dict[str, tuple[Upstream, float]] = {}
        self._lapsing: dict[str, float] = {}
        self._suspect_until: dict[str, float] = {}
        self._lost: set[str] = set()
        self._failures: dict[str, FailureShare] = {}
        self._paces: dict[str, tuple[float, float]] = {}
        # What `layer_hosts` tells of each upstream, kept until something of it changes: one look
        # at thousands would else make thousands anew for the few that changed.
        self._hosts: dict[str, LayerHost] = {}
        self._in_flight: Counter[str] = Counter()
        self._changes = 0
        self._store_back_at = float("-inf")
        self._next_expiry = float("inf")

    @property
    def settled(self) -> bool:
        """Whether the rows can be relied on: the store has been back for long enough."""
        return self._clock() - self._store_back_at >= LAPSE_GRACE_SECONDS

    @property
    def changes(self) -> int:
        """Rises with every change that may make another path the best one."""
        self._expire()
        return self._changes

    def store_returned(self, moment: float | None = None) -> None:
        """Note that the store answers again after it was away, now or since a moment."""
        at = self._clock() if moment is None else moment
        self._store_back_at = max(self._store_back_at, at)

    def replace_all(self, rows: Iterable[Upstream]) -> None:
        """Take in a reading of all rows, the oldest first."""
        rows = {each.name: each for each in rows}
        for name in [each.name for each in self._rows.values()]:
            if name not in rows:
                self.remove(name)
        for each in rows.values():
            self.put(each)

    def put(self, row: Upstream) -> bool:
        """Take in one row; whoever had its address before is gone, and so is an older start.

        Returns:
          Whether it counts: the row of an older start than one that is known changes nothing.
        """
        if row.start is not None:
            if row.start < self._starts.newest(row.name, row.start):
                return False
            self._starts.note(row.name, row.start)
        self._end_others(row.name, row.instance)
        self._named[row.name] = row.instance
        self._starts.begin(row.instance)
        known = self._rows.get(row.instance)
        if self._lapsing.pop(row.instance, None) is not None:
            self._note_change(row.instance)
        self._departed.pop(row.instance, None)
        if known == row:
            return True
        before = self._at_address.get(row.address)
        if before is not None and before != row.instance:
            self._drop(before)
        if known is not None and self._at_address.get(known.address) == row.instance:
            # Else whoever takes the address that it left would be taken for its follower.
            del self._at_address[known.address]
        self._at_address[row.address] = row.instance
        self._rows[row.instance] = row
        self._note_change(row.instance)
        return True

    def hear_start(self, asked: Upstream, start: int) -> StartNews:
        """Take in the start that an upstream itself told when one of its starts was asked.

        A newer one is known from now on, and gets nothing before its row tells what it holds.
        """
        if asked.start is None:
            return StartNews.SAME
        newest = self._starts.newest(asked.name, asked.start)
        if start > asked.start:
            if start > newest:
                self._starts.note(asked.name, start)
                self._end_others(asked.name, "")
            return StartNews.NEWER
        return StartNews.OLDER if start < newest else StartNews.SAME

    def _end_others(self, name: str, instance: str) -> None:
        """Forget another start of a name than the one of an instance: nobody serves on there."""
        before = self._named.get(name)
        if before is None or before == instance:
            return
        row = self.last_known(before)
        del self._named[name]
        self._drop(before)
        self._departed.pop(before, None)
        self._paces.pop(before, None)
        self._starts.end(before)
        if row is not None:
            self._on_ended(row)

    def has_ended(self, instance: str) -> bool:
        """Return whether a newer start of the same upstream is known."""
        return self._starts.has_ended(instance)

    def note_leaving(self, instance: str) -> bool:
        """Note that an upstream said itself that it leaves, which its row may not say (yet).

        Returns:
          Whether that is news.
        """
        is_news = self._starts.note_leaving(instance)
        if is_news:
            self._note_change(instance)
        return is_news

    def note_backoff(self, instance: str, seconds: float) -> None:
        """Note that an upstream wants no requests from this process for so long.

        That is no suspicion: it is there, and what it holds counts.
        """
        self._backoffs.note(self._name_of(instance), seconds)

    def backoff_until(self, instance: str) -> float | None:
        """Return until when an upstream wants no requests, None where it takes them."""
        return self._backoffs.until(self._name_of(instance))

    @property
    def throttles(self) -> Throttles:
        """Rate limited and throttled upstreams."""
        return self._throttles

    def note_limited(self, instance: str, limited: bool) -> None:
        """Record whether an upstream is rate limited."""
        if limited:
            self._throttles.begin(instance)
            self._next_expiry = min(self._next_expiry, self._throttles.next_expiry)
        else:
            self._note_change(instance, self._throttles.end(instance))

    def backing_off(self) -> frozenset[str]:
        """Return the upstreams that take no requests now; they count as usable all the same."""
        resting = [self._named.get(name, name) for name in self._backoffs.names()]
        return frozenset([*resting, *self._throttles.closed()])

    def accepts(self, instance: str) -> bool:
        """Return whether an upstream may be sent a request, by its own word."""
        row = self.last_known(instance)
        leaves = self._starts.is_leaving(instance) or (row is not None and row.leaving)
        return not leaves and self.backoff_until(instance) is None

    def may_begin(self, instance: str) -> bool:
        """Return whether an upstream accepts requests and isn't throttled."""
        return self.accepts(instance) and not self._throttles.is_closed(instance)

    def accepts_at(self, service: str) -> float | None:
        """Return when the first upstream of a service takes requests again, on the clock.

        None where one does now, or where there is none that will.
        """
        rows = self.of_service(service)
        return self.first_end([each.instance for each in rows if not self._leaves(each)])

    def first_end(self, instances: Iterable[str]) -> float | None:
        """Return when the first of some upstreams takes requests again, on the clock.

        None where one does now, or where there are none.
        """
        ends = [self._closed_until(each) for each in instances]
        return None if None in ends else min(ends, default=None)

    def _closed_until(self, instance: str) -> float | None:
        ends = (self.backoff_until(instance), self._throttles.returns_at(instance))
        return max((each for each in ends if each is not None), default=None)

    def _name_of(self, instance: str) -> str:
        row = self.last_known(instance)
        return row.name if row is not None else instance

    def _leaves(self, row: Upstream) -> bool:
        return row.leaving or self._starts.is_leaving(row.instance)

    def remove(self, name: str) -> None:
        """Take in that the row of a name is gone."""
        instance = self._named.get(name)
        if instance is None:
            return
        now = self._clock()
        if now - self._store_back_at < LAPSE_GRACE_SECONDS and instance in self._rows:
            deadline = self._store_back_at + LAPSE_GRACE_SECONDS
            if instance not in self._lapsing:
                self._lapsing[instance] = deadline
                self._note_change(instance)
            self._next_expiry = min(self._next_expiry, deadline)
            return
        self._drop(instance)

    def withdraw(self, name: str) -> None:
        """Take in that a row is there and names no upstream any more: nothing may lapse."""
        instance = self._named.get(name)
        if instance is not None:
            self._drop(instance)

    def _drop(self, instance: str) -> None:
        row = self._rows.pop(instance, None)
        self._note_change(instance, row is not None)
        if row is not None:
            self._departed[instance] = row, self._clock() + DEPARTED_SECONDS
            if self._at_address.get(row.address) == instance:
                del self._at_address[row.address]
        self._lapsing.pop(instance, None)
        self._failures.pop(instance, None)
        self._suspect_until.pop(instance, None)
        self._lost.discard(instance)

    def _expire(self) -> None:
        now = self._clock()
        if now < self._next_expiry:
            return
        for instance in [name for name, at in self._lapsing.items() if at <= now]:
            self._drop(instance)
        for instance in [name for name, at in self._suspect_until.items() if at <= now]:
            self.clear(instance)
        for instance in [name for name, (_, at) in self._paces.items() if at <= now]:
            self._note_change(instance, self._paces.pop(instance)[0] > 1.0 + PACE_STEP)
        for instance in self._throttles.expire(now):
            self._note_change(instance)
        self._forget_departed(now)
        paces = [at for _, at in self._paces.values()]
        deadlines = [*paces, *self._lapsing.values(), *self._suspect_until.values()]
        self._next_expiry = min([*deadlines, self._throttles.next_expiry])

    def _forget_departed(self, now: float) -> None:
        for row, at in list(self._departed.values()):
            if at <= now:
                del self._departed[row.instance]
                self._named.pop(row.name, None)

    def suspect(self, instance: str, seconds: float, lost: bool = False) -> None:
        """Give an upstream no new work for a while.

        Args:
          instance: the upstream.
          seconds: for how long.
          lost: whether there is no doubt that it is gone; else what it holds still counts where
            others would have to give layers up for it.
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

    def clear(self, instance: str) -> None:
        """End a suspicion: the upstream answers, or the time is over."""
        self._note_change(instance, self._suspect_until.pop(instance, None) is not None)
        self._lost.discard(instance)

    def note_pace(self, instance: str, pace: float) -> None:
        """Note how slow an upstream says that it is; 1 is its usual pace."""
        known, _ = self._paces.get(instance, (1.0, 0.0))
        self._note_change(instance, abs(pace - known) > PACE_STEP)
        deadline = self._clock() + PACE_SECONDS
        self._paces[instance] = (pace, deadline)
        self._next_expiry = min(self._next_expiry, deadline)

    def is_suspect(self, instance: str) -> bool:
        """Return whether an upstream is under suspicion."""
        self._expire()
        return instance in self._suspect_until

    def get(self, instance: str) -> Upstream | None:
        """Return one upstream's row, None where it is gone."""
        return self._rows.get(instance)

    def named(self, name: str) -> Upstream | None:
        """Return the row of a name, None where it is gone."""
        return self._rows.get(self._named.get(name, ""))

    def last_known(self, instance: str) -> Upstream | None:
        """Return one upstream's row, or the last one of an upstream that may serve on."""
        row = self._rows.get(instance)
        return row if row is not None else self._departed.get(instance, (None, 0.0))[0]

    def at_address(self, address: str, service: str) -> Upstream | None:
        """Return the upstream of a service at an address, also one whose row is gone."""
        row = self._rows.get(self._at_address.get(address, ""))
        if row is not None:
            return row if row.service == service else None
        left = (each for each, _ in reversed(self._departed.values()) if each.address == address)
        return next((each for each in left if each.service == service), None)

    def of_service(self, service: str) -> list[Upstream]:
        """Return all listed upstreams of a service, leaving ones included."""
        self._expire()
        return [each for each in self._rows.values() if each.service == service]

    def lapsed(self) -> list[Upstream]:
        """Return those whose rows are gone since the store came back, and may be there again."""
        self._expire()
        return [self._rows[instance] for instance in self._lapsing]

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new work once they accept it.

        Those whose rows lapsed are among them only where there are no others: of eight that left
        while the store was away, requests were sent to two for 1.7 seconds after its return.
        """
        usable = [each for each in self.of_service(service) if self._is_usable(each)]
        return [each for each in usable if each.instance not in self._lapsing] or usable

    def _is_usable(self, row: Upstream) -> bool:
        return not self._leaves(row) and row.instance not in self._suspect_until

    def layer_hosts(self, service: str) -> tuple[LayerHost, ...]:
        """Return the upstreams of a service as the planner and the path finder see them."""
        hosts = self._hosts
        rows = self.of_service(service)
        return tuple([hosts.get(each.instance) or self._host(each) for each in rows])

    def _host(self, row: Upstream) -> LayerHost:
        """Return one upstream as `layer_hosts` tells of it, and keep it."""
        host = self._hosts[row.instance] = LayerHost(
            row.instance,
            row.domain,
            row.kind,
            row.first,
            row.end,
            row.address,
            usable=self._is_usable(row),
            pace=self._paces.get(row.instance, (1.0, 0.0))[0],
            serving=row.instance not in self._lost,
            leaving=self._leaves(row),
            lapsing=row.instance in self._lapsing,
            scarce=row.instance in self._scarce and row.first == 0 < row.end,
        )
        return host

    def _note_change(self, instance: str, counts: bool = True) -> None:
        """Note that something of an upstream changed.

        Args:
          instance: the upstream.
          counts: whether it may make another path the best one.
        """
        self._hosts.pop(instance, None)
        self._changes += counts

    def begin(self, instance: str) -> None:
        """Count a call in flight."""
        self._in_flight[instance] += 1

    def end(self, instance: str) -> None:
        """Stop counting a call."""
        self._in_flight[instance] -= 1
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]

    def in_flight(self, instance: str) -> int:
        """Return this process's own calls in flight to an upstream."""
        return self._in_flight[instance]

    def note(self, instance: str, failed: bool) -> None:
        """Note how a call to an upstream ended."""
        if instance in self._rows:
            self._failures.setdefault(instance, FailureShare()).note(failed, self._clock())

    def failure_share(self, instance: str) -> float:
        """Return how often calls to an upstream failed of late, between 0 and 1."""
        failures = self._failures.get(instance)
        return failures.share(self._clock()) if failures else 0.0
