"""The change feed of one process of a site: from the store if it is a follower, else from a source.

A follower reads the store and relays the changes to its subscribers (`relay`); every other process
subscribes to one follower. A process that can reach no other process follows the store itself. A
follower that cannot reach the store subscribes to a source meanwhile and keeps serving. A process
whose source doesn't confirm a table in time reads it itself (`staleness_limits`).
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from functools import partial
from random import Random

import trio
from returns.result import Failure, Result, Success

from deckcourse.change_feed import Changes, Snapshot, StoreFeed
from deckcourse.http1.pool import ConnectionPool
from deckcourse.peers.followers import ROLE_INTERVAL_SECONDS, followers
from deckcourse.peers.knowledge import SharedState
from deckcourse.peers.member import Member
from deckcourse.peers.relay import RelayClient, RelayEnd, RelayServer
from deckcourse.peers.replica import TableUpdate
from deckcourse.peers.roster import Roster
from deckcourse.peers.source_choice import SourceChoice
from deckcourse.peers.staleness_limits import StalenessLimits
from deckcourse.peers.stalled_reads import StalledReads
from deckcourse.peers.store_reads import (
    STORE_TIMEOUT_SECONDS,
    EarlierAnswer,
    GivenUp,
    StoreReads,
)
from deckcourse.peers.store_reports import StoreReports
from deckcourse.peers.store_turn import StoreSchedule
from deckcourse.table import TableFailure

__all__ = ["SharedFeed"]

# A store reply with changes is known to be current only as of its request, and the next reply comes
# one wait later. The state of peers is therefore up to this many waits old, plus a margin for
# pauses and transit, seconds.
MAX_STALENESS_WAITS = 2.0
STALENESS_MARGIN_SECONDS = 0.9
# A process remains a follower for this long after its last subscriber left, seconds.
FOLLOWER_GRACE_SECONDS = 3.0
# A subscriber leaves a source that is behind another process's report for so long, seconds: longer
# than the source needs to find that out by itself.
MAX_SOURCE_BEHIND_SECONDS = 1.0
# How long a snapshot may wait for the state of other processes, seconds.
SNAPSHOT_TIMEOUT_SECONDS = 0.75
# Shortest wait for changes from other processes before the store is read, seconds. During an outage
# readers pass no wait of their own.
MIN_WAIT_SECONDS = 0.15


class SharedFeed:
    """The change feed that the tables of this process are read from.

    Args:
      store: the feed of the store itself.
      roster: the membership view.
      shared_state: the replicas of the tables.
      pool: opens connections to other processes.
      contact_wait: returns the longest time for which a read of the store waits for changes, if its
        reply shows that the store is reachable, seconds.
      contact: returns the time after which what the store has acknowledged must be known, seconds.
      bounds: returns the tables for which that time is another one, with that time, seconds.
      reports: the reports of processes that the store did not answer.
      random: jitters delays, so that they differ between processes.
      log: writes the decision log.
      gauge: sets a gauge by name.
      count: increments a counter by name.
    """

    def __init__(
        self,
        store: StoreFeed,
        roster: Roster,
        shared_state: SharedState,
        pool: ConnectionPool,
        contact_wait: Callable[[], float],
        contact: Callable[[], float],
        bounds: Callable[[], Mapping[str, float]],
        reports: StoreReports,
        random: Random,
        log: Callable[..., None],
        gauge: Callable[[str, float], None],
        count: Callable[[str], None],
    ) -> None:
        self._store = store
        self._roster = roster
        self._shared_state = shared_state
        self._contact_wait = contact_wait
        self._log = log
        self._gauge = gauge
        self._count = count
        self._server = RelayServer(shared_state, self._is_cut_off)
        self._client = RelayClient(roster.own.name, shared_state, pool)
        self._sources = SourceChoice(roster)
        self._source = ""
        self._is_follower = True
        self._follower_until = float("-inf")
        self._role_updated_at = float("-inf")
        # Reads in flight that probe the unavailable store.
        self._probes = 0
        self._reads = StoreReads(self._note_late_answer)
        # Tables whose latest read was not answered in time.
        self._unanswered: set[str] = set()
        # Whether the latest answer of the store was late.
        self._is_store_late = False
        self._schedule = StoreSchedule(trio.current_time, random)
        self._stalled_reads = StalledReads(store, self._reads, shared_state, contact, count, log)
        self._limits = StalenessLimits(
            shared_state, bounds, contact, reports, trio.current_time, random
        )
        self._reports = reports

    @property
    def server(self) -> RelayServer:
        """The server that relays changes to subscribers."""
        return self._server

    @property
    def source(self) -> str:
        """The name of the process that this one subscribes to, empty if none."""
        return self._source

    @property
    def follows(self) -> bool:
        """Whether this process follows the store, for others or because it can reach none."""
        return self._is_follower

    @property
    def paces_reads(self) -> bool:
        """Whether an early read waits here until the store may be read or a source sends changes.

        Without sources, the reader has to back off itself.
        """
        return bool(self._sources.candidates())

    @property
    def stalled_reads(self) -> StalledReads:
        """Finds reads that stand still, and knows how long a read may wait for changes."""
        return self._stalled_reads

    @property
    def was_store_down(self) -> bool:
        """Whether the store itself was unavailable when reads of this process last failed."""
        return self._schedule.was_down

    def known_changes(self) -> Mapping[str, int]:
        """Return the version of the newest change of each table; none if this process reads none.

        Processes that don't read the store know only what others have reported before.
        """
        if not self._is_follower or self._schedule.is_unavailable:
            return {}
        return self._shared_state.changed_versions

    @property
    def staleness_seconds(self) -> float:
        """The staleness of the newest replica of this process, seconds."""
        return trio.current_time() - self._shared_state.latest_as_of

    def wait_for_changes(self, table: str, longest: float) -> float:
        """Return how long a read of a table may wait for changes, `longest` at most, seconds.

        It is shorter while other processes rely on this one to confirm that nothing has changed.
        """
        has_subscribers = self._is_follower and self._server.subscriber_count > 0
        return min(longest, self._limits.wait(table)) if has_subscribers else longest

    def _may_read_store(self, table: str) -> bool:
        """Return whether a table may be read from the store now.

        While the store is unavailable, or to a process that doesn't follow it, only one read at a
        time probes it, on behalf of all tables. Reads that were sent before don't count: they may
        wait for seconds on silent connections.
        """
        if (self._schedule.is_unavailable or not self._is_follower) and self._probes:
            return False
        return trio.current_time() >= self._next_read_at(table)

    def _next_read_at(self, table: str) -> float:
        """Return the time from which on a table may be read from the store."""
        if self._is_follower:
            return self._schedule.next_read_at
        return self._limits.read_due_at(table)

    async def snapshot(self, table: str) -> Result[Snapshot, TableFailure]:
        """Return all rows of a table."""
        if self._reads.take_answered(table):
            return self._replica_answer(table, None)
        if not self._may_read_store(table):
            answer = await self._read_replica(table, None, SNAPSHOT_TIMEOUT_SECONDS)
            if not self._should_read_store(table, answer):
                return answer
        requested_at = trio.current_time()
        with self._begin_read():
            answer = await self._reads.read(
                table,
                None,
                partial(self._store.snapshot, table),
                partial(self._note_snapshot, table, requested_at),
                STORE_TIMEOUT_SECONDS,
            )
        match answer:
            case Success(Snapshot(rows, version)):
                self._limits.note_success()
                return Success(Snapshot(rows, version, requested_at))
            case Success(EarlierAnswer()):
                return self._replica_answer(table, None)
            case Success(GivenUp()):
                return await self.snapshot(table)
        self._note_failure(answer, requested_at)
        return answer

    async def changes(
        self, table: str, after: int, seconds: float
    ) -> Result[Changes, TableFailure]:
        """Return the changes after a version, as soon as there are any or the wait is over."""
        if self._reads.take_answered(table):
            return self._replica_answer(table, after)
        if not self._may_read_store(table):
            answer = await self._read_replica(table, after, max(seconds, MIN_WAIT_SECONDS))
            if not self._should_read_store(table, answer):
                return answer
        requested_at = trio.current_time()
        is_waiting = self._is_follower and table not in self._unanswered
        wait = self._wait_at_store(seconds) if is_waiting else 0.0
        with self._begin_read():
            answer = await self._reads.read(
                table,
                after,
                partial(self._read_changes, table, after, wait, requested_at),
                partial(self._note_changes, table, after),
                wait + STORE_TIMEOUT_SECONDS,
            )
        match answer:
            case Success(EarlierAnswer()):
                return self._replica_answer(table, after)
            case Success(GivenUp()):
                if self._shared_state.replica(table).changed_version > after:
                    return self._replica_answer(table, after)
                return await self.changes(table, after, 0.0)
            case Success(_):
                self._limits.note_success()
                return answer
        self._unanswered.add(table)
        self._note_failure(answer, requested_at)
        if self._is_fresh():
            return await self._read_replica(table, after, seconds)
        return answer

    def _should_read_store(self, table: str, answer: Result) -> bool:
        """Return whether the store is read after other processes have given an answer.

        A follower that they have told of changes returns these first. For any other process the
        read is due because they have not confirmed the table.
        """
        is_told = self._is_follower and isinstance(answer, Success)
        return not is_told and self._may_read_store(table)

    def _wait_at_store(self, seconds: float) -> float:
        """Return how long a read waits at the store for changes, of at most `seconds`.

        A reply shows that the store is reachable as of its request or, without changes, the end of
        its wait. If replies are late, the reads that show this don't wait: each wait would add to
        the age of the newest reply.
        """
        if self._schedule.is_unavailable:
            return 0.0
        return 0.0 if self._is_store_late and seconds <= self._contact_wait() else seconds

    async def _read_changes(
        self, table: str, after: int, wait: float, requested_at: float
    ) -> Result[Changes, TableFailure]:
        """Read changes from the store, with the time that the answer is current as of."""
        answer = await self._store.changes(table, after, wait)
        match answer:
            case Success(Changes(rows, version, True)):
                now = trio.current_time()
                # A reply without changes is made when the wait ends: nothing changed until then.
                waited = wait if not rows and now - requested_at >= wait else 0.0
                return Success(Changes(rows, version, True, requested_at + waited))
        return answer

    def _note_snapshot(self, table: str, requested_at: float, snapshot: Snapshot) -> None:
        rows = tuple((_key_in_table(each.key), each.value, each.version) for each in snapshot.rows)
        self._note_success(TableUpdate(table, None, snapshot.version, rows), requested_at)

    def _note_changes(self, table: str, after: int, changes: Changes) -> None:
        if changes.complete:
            update = TableUpdate(table, after, changes.version, changes.rows)
            self._note_success(update, changes.as_of)

    def _note_late_answer(self, table: str, seconds: float) -> None:
        self._is_store_late = True
        self._count("store.late-answer")
        self._log("store-answered-late", table=table, seconds=round(seconds, 3))

    @contextmanager
    def _begin_read(self) -> Iterator[None]:
        """Prepare for the read that is made inside, and count those made one at a time."""
        is_probe = self._schedule.is_unavailable or not self._is_follower
        if not self._is_follower:
            self._count("store.read-unconfirmed")
            # Those that were idle since this process last read may have gone silent.
            self._store.renew_connections()
        self._probes += is_probe
        try:
            yield
        finally:
            self._probes -= is_probe

    def _note_success(self, update: TableUpdate, as_of: float) -> None:
        # Rows may have lapsed only if the store itself was unavailable. If one process that was cut
        # off reported a recovery, its peers would use departed upstreams for two seconds.
        if self._is_cut_off() and self._schedule.was_down:
            self._shared_state.note_store_recovered(trio.current_time())
        self._schedule.note_success()
        self._unanswered.discard(update.table)
        self._is_store_late = False
        replica = self._shared_state.replica(update.table)
        replica.merge(update)
        replica.confirm(update.version, as_of)
        self._stalled_reads.note_read(update.table, as_of)
        self._shared_state.notify_waiters()

    def _note_failure(self, failure: Result, sent_at: float) -> None:
        self._store.renew_connections()
        is_refused = failure != Failure(TableFailure.UNKNOWN)
        self._schedule.note_failure(bool(self._sources.candidates()), sent_at, is_refused)
        if not self._is_follower:
            self._limits.note_failure(sent_at)
        # Subscribers should learn at once that this process is cut off, and switch sources.
        self._shared_state.notify_waiters()

    def _is_cut_off(self) -> bool:
        """Return whether the store is unreachable here and other processes sent nothing newer."""
        return self._schedule.was_outage(self._shared_state.latest_as_of)

    def _is_fresh(self) -> bool:
        """Return whether the replicas are as current as a source with access to the store."""
        oldest = MAX_STALENESS_WAITS * self._contact_wait() + STALENESS_MARGIN_SECONDS
        return self._shared_state.latest_as_of >= trio.current_time() - oldest

    async def _read_replica(
        self, table: str, after: int | None, seconds: float
    ) -> Result[Snapshot | Changes, TableFailure]:
        """Return changes from other processes, as soon as there are any or the time is over."""
        replica = self._shared_state.replica(table)
        as_of = replica.as_of
        deadline = trio.current_time() + seconds
        while replica.version in (None, after) and replica.as_of <= as_of:
            now = trio.current_time()
            if now >= deadline or self._may_read_store(table):
                break
            next_read_at = self._next_read_at(table)
            # One that is due already waits for another table's read, whose end wakes this task.
            with trio.move_on_at(min(deadline, next_read_at) if next_read_at > now else deadline):
                await self._shared_state.wait_for_update()
        if replica.version is None or not self._is_fresh():
            return Failure(TableFailure.UNAVAILABLE)
        if not self._is_follower:
            self._schedule.clear_outage()
        return self._replica_answer(table, after)

    def _replica_answer(
        self, table: str, after: int | None
    ) -> Result[Snapshot | Changes, TableFailure]:
        """Return what the replica of a table holds: changes after a version, or all rows."""
        replica = self._shared_state.replica(table)
        if replica.version is None:
            return Failure(TableFailure.UNAVAILABLE)
        if after is None:
            return Success(Snapshot(replica.rows, replica.version, replica.as_of))
        update = replica.since(after)
        if update.after is None:
            return Success(Changes((), after, complete=False))
        return Success(Changes(update.rows, update.version, True, replica.as_of))

    async def run(self) -> None:
        """Read the store, update the role of this process and subscribe to sources."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reads.run)
            nursery.start_soon(self._stalled_reads.run)
            nursery.start_soon(self._reports.run)
            nursery.start_soon(self._follow_sources)

    async def _follow_sources(self) -> None:
        while True:
            self._update_role()
            source = self._next_source()
            if source is None:
                await trio.sleep(ROLE_INTERVAL_SECONDS)
                continue
            self._source = source.name
            end = await self._client.follow(source.address, self._reason_to_leave)
            self._source = ""
            self._log("source-left", source=source.name, why=str(end))
            if end is RelayEnd.MALFORMED:
                self._count("malformed.frame")
            self._sources.note_end(source, end)
            await trio.lowlevel.checkpoint()

    def _update_role(self) -> None:
        """Decide whether this process follows the store."""
        now = self._role_updated_at = trio.current_time()
        if self._server.subscriber_count:
            self._follower_until = now + FOLLOWER_GRACE_SECONDS
        members = self._roster.live()
        own = self._roster.own
        is_ranked = own.name in {each.name for each in followers(members, own.domain)}
        is_alone = not self._sources.candidates()
        is_follower = is_ranked or is_alone or now < self._follower_until
        if is_follower != self._is_follower:
            self._is_follower = is_follower
            # Connections that have been idle since this process last read may have gone silent.
            self._store.renew_connections()
            self._log(
                "duty", follows=is_follower, chosen=is_ranked, alone=is_alone, members=len(members)
            )
            self._shared_state.notify_waiters()
        self._limits.note_source()
        self._set_gauges(members)

    def _set_gauges(self, members: tuple[Member, ...]) -> None:
        self._gauge("peers.members", len(members))
        self._gauge("peers.follows", float(self._is_follower))
        self._gauge("peers.serving", self._server.subscriber_count)
        self._gauge("peers.seconds-behind", self.staleness_seconds)

    def _next_source(self) -> Member | None:
        """Return the source to subscribe to now, None if this process reads the store."""
        if self._is_follower and not self._schedule.is_unavailable:
            return None
        return next(iter(self._sources.candidates()), None)

    def _reason_to_leave(self, is_source_cut_off: bool) -> RelayEnd | None:
        """Return why the current source should be left, None to stay.

        Args:
          is_source_cut_off: whether the source is cut off from the store; it is then left at once.
            When it was left only once it was stale, a leaving upstream became known 3.1 s late in
            a run with a third of the processes cut off.
        """
        if is_source_cut_off:
            self._reports.note_unanswered(self._source)
        if (
            trio.current_time() < self._role_updated_at + ROLE_INTERVAL_SECONDS
            and not is_source_cut_off
        ):
            return None
        self._update_role()
        if self._is_follower and not self._schedule.is_unavailable:
            return RelayEnd.NOT_NEEDED
        candidates = {each.name for each in self._sources.candidates()}
        if self._is_fresh() and not is_source_cut_off and not self._is_source_behind():
            # A process with subscribers stays a follower: a source that no other process uses would
            # go on following the store for this one.
            return None if self._source in candidates else RelayEnd.NOT_NEEDED
        return RelayEnd.STALE if self._sources.has_fresh_beside(self._source) else None

    def _is_source_behind(self) -> bool:
        """Return whether another process has known more than the source for some time."""
        tables = self._shared_state.versions
        longest = max(self._stalled_reads.behind_seconds(table) for table in tables)
        return longest >= MAX_SOURCE_BEHIND_SECONDS


def _key_in_table(name: str) -> str:
    return name.partition("/")[2]
