"""The rows that keep what is known of requests under which upstreams ended.

Processes come and go, and some don't reach each other; what must hold for all of them, and for
those that start later, stands in the platform's store: one row for each end under a request, so
that whoever writes it writes the same.
"""

from collections.abc import Callable, Sequence

import msgspec
import trio
from returns.result import Success

from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.peers.crash import Crash
from deckcourse.table import Committed, Row, TableService, Write

__all__ = ["CRASH_TABLE", "CrashBook"]

CRASH_TABLE = "crashes"
# Rows of one transaction: fewer than the store takes.
MOST_WRITES = 50
# Rows that wait to be written at the most; beyond that others' word must do.
MOST_WAITING = 4096
# Rows that the table holds at the most; the oldest go.
MOST_ROWS = 4096
# Between two tries while the store gives no answer, seconds; doubled up to the longest.
RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.6

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Crash)


class CrashBook:
    """One process's part in the table.

    Args:
      table: the store.
      evidence: what the rows say is noted there.
      tidies: returns whether this process removes what the table has too much of.
      count: counts by name.
    """

    def __init__(
        self,
        table: TableService,
        evidence: CrashEvidence,
        tidies: Callable[[], bool],
        count: Callable[[str], None],
    ) -> None:
        self._table = table
        self._evidence = evidence
        self._tidies = tidies
        self._count = count
        # The rows that are there, the oldest first.
        self._rows: dict[str, Crash] = {}
        # What the table should hold, and hold no more where it is None.
        self._waiting: dict[str, Crash | None] = {}
        self._more = trio.Event()

    def write(self, crash: Crash) -> None:
        """Have an end written; returns at once."""
        key = _key(crash)
        if key not in self._rows:
            self._want(key, crash)

    def remove(self, identity: str) -> None:
        """Have all that is written of a request removed; returns at once."""
        ours = [each for each in self._waiting if each.startswith(identity)]
        for key in ours:
            del self._waiting[key]
        # What is under way may be written all the same.
        for key in [*ours, *(each for each in self._rows if each.startswith(identity))]:
            self._want(key, None)

    def tidy(self) -> None:
        """Have rows removed that nobody needs any more, if that is this process's to do."""
        if self._tidies():
            known = set(self._evidence.identities)
            for crash in [each for each in self._rows.values() if each.identity not in known]:
                self._want(_key(crash), None)

    def _want(self, key: str, crash: Crash | None) -> None:
        if len(self._waiting) < MOST_WAITING:
            self._waiting[key] = crash
            self._more.set()

    async def run(self) -> None:
        """Write what is wanted until cancelled."""
        pause = RETRY_SECONDS
        while True:
            if not self._waiting:
                self._more = trio.Event()
                await self._more.wait()
            if await self._write_some():
                pause = RETRY_SECONDS
            else:
                await trio.sleep(pause)
                pause = min(2 * pause, LONGEST_RETRY_SECONDS)

    async def _write_some(self) -> bool:
        """Write a few rows; return whether the store took them."""
        for key in [each for each in self._waiting if self._is_done(each)]:
            del self._waiting[key]
        wanted = dict(list(self._waiting.items())[:MOST_WRITES])
        if not wanted:
            return True
        match await self._table.transact([_write(*each) for each in wanted.items()]):
            case Success(Committed()):
                for each in wanted.items():
                    self._note_written(*each)
                return True
        return False

    def _note_written(self, key: str, crash: Crash | None) -> None:
        if crash is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = crash
        if key in self._waiting and self._waiting[key] == crash:
            del self._waiting[key]

    def _is_done(self, key: str) -> bool:
        """Return whether another process wrote meanwhile what is wanted."""
        return self._waiting[key] is not None and key in self._rows

    def take_all(self, rows: Sequence[Row]) -> None:
        """Take in a reading of the table."""
        found = {row.key.partition("/")[2]: row.value for row in rows}
        for key in [each for each in self._rows if each not in found]:
            self._take_removal(key)
        for key, value in found.items():
            self.take(key, value, 0)

    def take(self, key: str, value: bytes | None, version: int) -> None:
        """Take in one row; no value where it is gone."""
        if value is None:
            self._take_removal(key)
            return
        crash = _decode(key, value)
        if crash is None:
            self._count("malformed.crash")
            return
        self._rows[key] = crash
        if self._evidence.is_disproved(crash.identity):
            self._want(key, None)
            return
        self._evidence.note(crash)
        if len(self._rows) > MOST_ROWS and self._tidies():
            self._want(next(iter(self._rows)), None)

    def _take_removal(self, key: str) -> None:
        """Take in that a row is gone: another process saw the request run well, or released it."""
        crash = self._rows.pop(key, None)
        if crash is not None:
            self._evidence.clear(crash.identity)


def _key(crash: Crash) -> str:
    return f"{crash.identity}.{crash.instance}"


def _write(key: str, crash: Crash | None) -> Write:
    return Write(f"{CRASH_TABLE}/{key}", None if crash is None else _encoder.encode(crash))


def _decode(key: str, value: bytes) -> Crash | None:
    """Return what a row tells of, None where it is none: anybody may have written it."""
    try:
        crash = _decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return crash if _key(crash) == key else None
