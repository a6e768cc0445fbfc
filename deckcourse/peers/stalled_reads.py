"""Gives up reads of the store that stand still: their connections have gone silent.

Load pattern: a read waits for seconds at the store until something changes, so that calls are few.
If its connection goes silent, only another process that reads the store knows what is missing.
"""

from collections.abc import Callable, Mapping

import trio

from deckcourse.change_feed import (
    LONG_POLL_SECONDS,
    MAX_BATCH_INTERVAL_SECONDS,
    MAX_RETRY_BACKOFF_SECONDS,
    StoreFeed,
)
from deckcourse.peers.followers import ROLE_INTERVAL_SECONDS
from deckcourse.peers.knowledge import SharedState
from deckcourse.peers.relay import COALESCING_SECONDS, MAX_FRAME_INTERVAL_SECONDS
from deckcourse.peers.reported_changes import MIN_CONTACT_SECONDS, ReportedChanges
from deckcourse.peers.store_reads import STORE_TIMEOUT_SECONDS, StoreReads

__all__ = ["StalledReads"]

# Interval between checks, seconds.
CHECK_INTERVAL_SECONDS = 0.25
# A read counts as standing still if another process has reported a newer change for so long, and
# the read was under way all the while, seconds: followers don't learn of a change together.
MAX_BEHIND_SECONDS = 0.3
# Shortest time between two such reads of a table that are given up, seconds. On an overloaded
# machine the answers of all processes are late.
MIN_RENEWAL_INTERVAL_SECONDS = 2.0
# Time until a read that doesn't wait is answered, seconds.
ANSWER_SECONDS = 0.1
# Time beside a read that times out until the next one is answered, seconds: the pause before it,
# the backoff after it, and the answer.
RETRY_SECONDS = MAX_BATCH_INTERVAL_SECONDS + MAX_RETRY_BACKOFF_SECONDS + ANSWER_SECONDS
# Time until other processes have chosen this one as their source again and got a frame, seconds.
RELAY_SECONDS = ROLE_INTERVAL_SECONDS + MAX_FRAME_INTERVAL_SECONDS + COALESCING_SECONDS
# Shortest wait for changes, if the contact time allows no longer one, seconds.
MIN_LONG_POLL_SECONDS = 0.25


class StalledReads:
    """Finds the reads of one process that stand still.

    Args:
      store: the feed of the store itself.
      reads: the reads under way.
      shared_state: the replicas of the tables.
      contact: returns the time after which what the store has acknowledged must be known, seconds.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        store: StoreFeed,
        reads: StoreReads,
        shared_state: SharedState,
        contact: Callable[[], float],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._store = store
        self._reads = reads
        self._shared_state = shared_state
        self._contact = contact
        self._count = count
        self._log = log
        self._reported = ReportedChanges(trio.current_time)
        # When a read of a table was last given up.
        self._given_up_at: dict[str, float] = {}

    @property
    def wait_within_contact(self) -> float:
        """How long a read may wait at the store if only its timeout ends it, seconds.

        The next read is then answered within the contact time.
        """
        within_contact = self._contact() - STORE_TIMEOUT_SECONDS - RETRY_SECONDS - RELAY_SECONDS
        return min(LONG_POLL_SECONDS, max(MIN_LONG_POLL_SECONDS, within_contact))

    @property
    def long_poll_wait(self) -> float:
        """How long a read may wait at the store for changes, seconds.

        Without reports of other processes only a timeout shows a connection that has gone silent.
        """
        if self._contact() >= MIN_CONTACT_SECONDS and self._reported.is_recent:
            return LONG_POLL_SECONDS
        return self.wait_within_contact

    def note_reported(self, changed: Mapping[str, int]) -> None:
        """Record what another process that reads the store knows.

        Args:
          changed: the version of the newest change of each table.
        """
        for table, version in changed.items():
            if table in self._shared_state.versions:
                self._reported.note(table, version, self._shared_state.replica(table).version)

    def note_read(self, table: str, as_of: float) -> None:
        """Record that the store was read; see `ReportedChanges.note_read`."""
        self._reported.note_read(table, as_of)

    def behind_seconds(self, table: str) -> float:
        """Return for how long another process has known more of a table, 0 if none does."""
        return self._reported.behind_seconds(table, self._shared_state.replica(table).version)

    async def run(self) -> None:
        """Check the reads under way until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            max_age = self.long_poll_wait + STORE_TIMEOUT_SECONDS
            for table in self._shared_state.versions:
                if self._is_behind(table, now) or self._is_reader_behind(table):
                    self._give_up(table, now - MAX_BEHIND_SECONDS, "behind")
                # It began while other processes reported changes, which they no longer do.
                self._give_up(table, now - max_age, "alone")

    def _is_behind(self, table: str, now: float) -> bool:
        """Return whether other processes know more of a table, and a read may be given up."""
        given_up_at = self._given_up_at.get(table, float("-inf"))
        is_due = now >= given_up_at + MIN_RENEWAL_INTERVAL_SECONDS
        return is_due and self.behind_seconds(table) >= MAX_BEHIND_SECONDS

    def _is_reader_behind(self, table: str) -> bool:
        """Return whether the reader of a table lacks changes that other processes have sent."""
        version = self._reads.version_of_reader(table)
        return version is not None and self._shared_state.replica(table).changed_version > version

    def _give_up(self, table: str, sent_before: float, reason: str) -> None:
        if not self._reads.give_up(table, sent_before):
            return
        self._given_up_at[table] = trio.current_time()
        self._store.renew_connections()
        self._count(f"store.read-given-up.{reason}")
        self._log("store-read-given-up", table=table, why=reason)
