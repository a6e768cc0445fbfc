"""The feed of changes of a process among many: from the store where it follows it, or from others.

Whoever follows asks the store and passes on what it hears (`relay`). The others ask one of those.
A process that nobody else can be reached from follows by itself; one that follows and lost the
store asks others meanwhile, so that it serves on.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import trio
from returns.result import Failure, Result, Success

from deckcourse.change_feed import ChangeFeed, Changes, Snapshot
from deckcourse.http1.client import ConnectionPool
from deckcourse.peers.followers import followers, sources
from deckcourse.peers.knowledge import Knowledge
from deckcourse.peers.member import Member
from deckcourse.peers.relay import RelayClient, RelayEnd, RelayServer
from deckcourse.peers.replica import TableUpdate
from deckcourse.peers.roster import Roster
from deckcourse.peers.store_turn import StoreTurn
from deckcourse.table import TableFailure

__all__ = ["SharedFeed"]

# Between two looks at who should follow the store, seconds.
LOOK_SECONDS = 0.25
# An answer of the store that tells of changes shows only that it was true when it was asked for,
# and the next one comes a wait later: what others know is up to so many waits old, and by this much
# more for pauses and ways, seconds.
CONTACT_WAITS = 2.0
LATE_SECONDS = 0.9
# A source that could not be reached, or was behind others, is left alone for so long, seconds.
AVOIDED_SECONDS = 3.0
# A process keeps following the store for so long after the last one that asked it went, seconds.
KEPT_SECONDS = 3.0
# How long the store's answer may take beyond a wait, seconds: a slow store takes 60 times its 4 ms.
# Whoever reads a table gives up a little later.
ANSWER_SECONDS = 0.75
# Until when an answer to a reading of a whole table may come from others, seconds.
READING_SECONDS = 0.75
# For how long others are heard at the least before the store's turn, where its loss makes a reader
# ask without a wait, seconds.
SHORTEST_WAIT_SECONDS = 0.15


class SharedFeed:
    """Tables as their followers in this process read them; see `ChangeFeed`.

    Args:
      store: the feed of the store itself.
      roster: who else is there.
      knowledge: what this process knows of the tables.
      pool: opens connections to others.
      contact_wait: returns how long a question to the store waits for changes at the most where its
        answer shows that the store is in reach, seconds.
      random: for pauses that should differ between processes.
      log: writes decisions.
      gauge: sets figures that operators see.
      count: counts by name.
    """

    def __init__(
        self,
        store: ChangeFeed,
        roster: Roster,
        knowledge: Knowledge,
        pool: ConnectionPool,
        contact_wait: Callable[[], float],
        random: Random,
        log: Callable[..., None],
        gauge: Callable[[str, float], None],
        count: Callable[[str], None],
    ) -> None:
        self._store = store
        self._roster = roster
        self._knowledge = knowledge
        self._contact_wait = contact_wait
        self._log = log
        self._gauge = gauge
        self._count = count
        self._server = RelayServer(knowledge, self._is_cut_off)
        self._client = RelayClient(roster.own.name, knowledge, pool)
        self._unreachable: dict[str, float] = {}
        self._behind: dict[str, float] = {}
        self._source = ""
        self._on_duty = True
        self._kept_until = float("-inf")
        self._decided_at = float("-inf")
        # Questions to the store under way.
        self._asking_store = 0
        self._turn = StoreTurn(trio.current_time, random)

    @property
    def server(self) -> RelayServer:
        """What answers other processes."""
        return self._server

    @property
    def source(self) -> str:
        """The name of the process that this one asks, empty where it asks none."""
        return self._source

    @property
    def follows(self) -> bool:
        """Whether this process follows the store, for others or because it knows no others."""
        return self._on_duty

    @property
    def paces(self) -> bool:
        """Whether a question that comes early waits here for the store's turn or for others' news.

        Where nobody else tells, whoever asks has to leave pauses itself.
        """
        return bool(self._sources())

    @property
    def seconds_behind(self) -> float:
        """The age of the newest thing that this process knows of the store, seconds."""
        return trio.current_time() - self._knowledge.contact_at

    def _asks_store(self) -> bool:
        """Return whether a question may go to the store now.

        While the store is lost one question at a time shows whether it is back, for all tables.
        """
        if self._turn.lost and self._asking_store:
            return False
        return self._turn.has_come(self._on_duty)

    async def snapshot(self, table: str) -> Result[Snapshot, TableFailure]:
        """Return all rows of a table."""
        if not self._asks_store():
            answer = await self._from_others(table, None, READING_SECONDS)
            if isinstance(answer, Success) or not self._asks_store():
                return answer
        asked_at = trio.current_time()
        answer: Result = Failure(TableFailure.UNAVAILABLE)
        with self._counted(), trio.move_on_after(ANSWER_SECONDS):
            answer = await self._store.snapshot(table)
        match answer:
            case Success(Snapshot(rows, version)):
                found = tuple((_key(each.key), each.value, each.version) for each in rows)
                self._note_answer(TableUpdate(table, None, version, found), asked_at)
                return Success(Snapshot(rows, version, asked_at))
        self._note_failure()
        return answer

    async def changes(
        self, table: str, after: int, seconds: float
    ) -> Result[Changes, TableFailure]:
        """Return what changed after a version, as soon as something did or time is over."""
        if not self._asks_store():
            answer = await self._from_others(table, after, max(seconds, SHORTEST_WAIT_SECONDS))
            if isinstance(answer, Success) or not self._asks_store():
                return answer
        asked_at = trio.current_time()
        answer: Result = Failure(TableFailure.UNAVAILABLE)
        wait = 0.0 if self._turn.lost else seconds
        with self._counted(), trio.move_on_after(wait + ANSWER_SECONDS):
            answer = await self._store.changes(table, after, wait)
        match answer:
            case Success(Changes(rows, version, True)):
                now = trio.current_time()
                # An answer without changes is made when the wait is over: until then nothing did.
                waited = wait if not rows and now - asked_at >= wait else 0.0
                self._note_answer(TableUpdate(table, after, version, rows), asked_at + waited)
                return Success(Changes(rows, version, True, asked_at + waited))
            case Success(_):
                return answer
        self._note_failure()
        if self._is_known_of_late():
            return await self._from_others(table, after, seconds)
        return answer

    @contextmanager
    def _counted(self) -> Iterator[None]:
        self._asking_store += 1
        try:
            yield
        finally:
            self._asking_store -= 1

    def _note_answer(self, update: TableUpdate, as_of: float) -> None:
        # Rows may have lapsed only while the store was away. Were it taken for that wherever one
        # process was cut off, whoever it tells would use upstreams that are gone for two seconds.
        if self._is_cut_off():
            self._knowledge.note_returned(trio.current_time())
        self._turn.note_answer()
        replica = self._knowledge.replica(update.table)
        replica.take(update)
        replica.confirm(update.version, as_of)
        self._knowledge.note_progress()

    def _note_failure(self) -> None:
        self._turn.note_failure(others_tell=bool(self._sources()))
        # Whoever listens should know at once: it turns to another source.
        self._knowledge.note_progress()

    def _is_cut_off(self) -> bool:
        """Return whether this process lost the store and heard nothing newer from others."""
        return self._turn.was_away(self._knowledge.contact_at)

    def _is_known_of_late(self) -> bool:
        """Return whether what this process knows is as new as what others tell in time."""
        oldest = CONTACT_WAITS * self._contact_wait() + LATE_SECONDS
        return self._knowledge.contact_at >= trio.current_time() - oldest

    async def _from_others(
        self, table: str, after: int | None, seconds: float
    ) -> Result[Snapshot | Changes, TableFailure]:
        """Return news of a table that others tell, as soon as there are any or time is over."""
        replica = self._knowledge.replica(table)
        as_of = replica.as_of
        turn = self._turn.next_at(self._on_duty)
        with trio.move_on_at(min(trio.current_time() + seconds, turn)):
            while replica.version in (None, after) and replica.as_of <= as_of:
                if self._asks_store():
                    break
                await self._knowledge.wait()
        if replica.version is None or not self._is_known_of_late():
            return Failure(TableFailure.UNAVAILABLE)
        if not self._on_duty:
            self._turn.forget_loss()
        if after is None:
            return Success(Snapshot(replica.rows, replica.version, replica.as_of))
        update = replica.since(after)
        if update.after is None:
            return Success(Changes((), after, complete=False))
        return Success(Changes(update.rows, update.version, True, replica.as_of))

    async def run(self) -> None:
        """Follow the store or a source, as the members that live have it, until cancelled."""
        while True:
            self._decide()
            source = self._next_source()
            if source is None:
                await trio.sleep(LOOK_SECONDS)
                continue
            self._source = source.name
            end = await self._client.follow(source.address, self._reason_to_leave)
            self._source = ""
            self._log("source-left", source=source.name, why=str(end))
            self._note_end(source, end)
            await trio.lowlevel.checkpoint()

    def _note_end(self, source: Member, end: RelayEnd) -> None:
        if end is RelayEnd.MALFORMED:
            self._count("malformed.frame")
        until = trio.current_time() + AVOIDED_SECONDS
        if end is RelayEnd.BEHIND:
            self._behind[source.name] = until
        elif end is not RelayEnd.NOT_NEEDED:
            self._unreachable[source.name] = until

    def _decide(self) -> None:
        """Decide whether this process follows the store."""
        now = self._decided_at = trio.current_time()
        if self._server.serving:
            self._kept_until = now + KEPT_SECONDS
        members = self._roster.live()
        own = self._roster.own
        chosen = own.name in {each.name for each in followers(members, own.domain)}
        alone = not self._sources()
        duty = chosen or alone or now < self._kept_until
        if duty != self._on_duty:
            self._on_duty = duty
            self._log("duty", follows=duty, chosen=chosen, alone=alone, members=len(members))
            self._knowledge.note_progress()
        self._turn.note_behind(duty, self.seconds_behind)
        self._show(members)

    def _show(self, members: tuple[Member, ...]) -> None:
        self._gauge("peers.members", len(members))
        self._gauge("peers.follows", float(self._on_duty))
        self._gauge("peers.serving", self._server.serving)
        self._gauge("peers.seconds-behind", self.seconds_behind)

    def _sources(self) -> tuple[Member, ...]:
        """Return whom this process may ask, those first that were not behind of late."""
        now = trio.current_time()
        self._unreachable = {name: at for name, at in self._unreachable.items() if at > now}
        self._behind = {name: at for name, at in self._behind.items() if at > now}
        found = sources(self._roster.own, self._roster.live(), frozenset(self._unreachable))
        return tuple(sorted(found, key=lambda each: each.name in self._behind))

    def _next_source(self) -> Member | None:
        """Return whom to ask now, None where the store is asked."""
        if self._on_duty and not self._turn.lost:
            return None
        return next(iter(self._sources()), None)

    def _reason_to_leave(self, lost: bool) -> RelayEnd | None:
        """Return why the present source should be left, None where it shouldn't.

        Args:
          lost: whether the source lost the store. Left only when it is behind, an upstream that
            leaves was heard of 3.1 s late, in one play with a third of the processes cut off.
        """
        if trio.current_time() < self._decided_at + LOOK_SECONDS and not lost:
            return None
        self._decide()
        if self._on_duty and not self._turn.lost:
            return RelayEnd.NOT_NEEDED
        found = {each.name for each in self._sources()}
        if self._is_known_of_late() and not lost:
            # Whoever is asked follows: a source that others don't ask any more would go on for one.
            return None if self._source in found else RelayEnd.NOT_NEEDED
        better = found - {self._source} - self._behind.keys()
        return RelayEnd.BEHIND if better else None


def _key(name: str) -> str:
    return name.partition("/")[2]
