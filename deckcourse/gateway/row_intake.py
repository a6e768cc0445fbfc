"""Rows of the store as they come: decoded, logged where they tell news, and handed on."""

from collections.abc import Callable, Sequence
from typing import Protocol

from returns.result import Failure, Result, Success

from deckcourse.gateway.desired import DesiredState
from deckcourse.gateway.listed_rows import ListedRows
from deckcourse.gateway.refused_rows import RefusedRows
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import ConnectionPool
from deckcourse.layers.plan_book import PLAN_TABLE, PlanBook, PlanRecord
from deckcourse.table import Row

__all__ = ["RowIntake", "RowReader"]

# Letters of what is wrong with a desired state that are written.
LONGEST_PROBLEM = 200


class RowReader(Protocol):
    """Decodes rows of the store."""

    operator_table: str
    upstream_table: str
    desired_key: str

    def desired_state(self, value: bytes) -> Result[DesiredState, str]:
        """Return the desired state that a row holds, or what is wrong."""

    def upstream(self, name: str, value: bytes) -> Result[Upstream, str]:
        """Return the start of an upstream that its row tells of, or what is wrong."""


class RowIntake:
    """Takes in the rows of the operators, of the upstreams and of plans.

    Args:
      reader: decodes rows.
      upstreams: gets the upstreams' rows.
      book: gets the plans.
      pool: connections to an upstream that is gone are closed there.
      on_desired: gets each desired state that can be read.
      on_plan: gets each plan that another process just made, with its group.
      on_gone: told of each upstream whose row is gone.
      count: counts by name.
      log: writes decisions.
    """

    def __init__(
        self,
        reader: RowReader,
        upstreams: UpstreamTable,
        book: PlanBook,
        pool: ConnectionPool,
        on_desired: Callable[[DesiredState], None],
        on_plan: Callable[[str, PlanRecord], None],
        on_gone: Callable[[Upstream], None],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._reader = reader
        self._upstreams = upstreams
        self._listed = ListedRows(upstreams)
        self._refused = RefusedRows(count, log)
        self._book = book
        self._pool = pool
        self._on_desired = on_desired
        self._on_plan = on_plan
        self._on_gone = on_gone
        self._count = count
        self._log = log

    def operator_rows(self, rows: Sequence[Row]) -> None:
        """Take in a reading of the operators' table."""
        for row in rows:
            self.operator_row(_key_in_table(row), row.value, row.version)

    def operator_row(self, key: str, value: bytes | None, version: int) -> None:
        """Take in one row of the operators' table."""
        if key != self._reader.desired_key or value is None:
            return
        match self._reader.desired_state(value):
            case Success(desired):
                self._listed.name_services(desired.services)
                for each in self._listed.waiting():
                    self._note_service(each)
                self._on_desired(desired)
            case Failure(problem):
                self._count("malformed.desired-state")
                self._log("malformed", what=problem[:LONGEST_PROBLEM])

    def plan_rows(self, rows: Sequence[Row]) -> None:
        """Take in a reading of the plans: those made before this process looked are old."""
        for row in rows:
            self._book.note(row)

    def plan_row(self, key: str, value: bytes | None, version: int) -> None:
        """Take in one plan."""
        if value is None:
            return
        record = self._book.note(Row(f"{PLAN_TABLE}/{key}", version, value))
        if record is not None:
            self._on_plan(key, record)

    def upstream_rows(self, rows: Sequence[Row]) -> None:
        """Take in a reading of the upstreams' table."""
        found = {_key_in_table(row): row for row in rows}
        self._refused.keep_only(set(found))
        good = []
        for key, row in found.items():
            upstream = self._decode(key, row.value)
            if upstream is None:
                self._withdraw(key)
            else:
                good.append((row.version, upstream))
        self._listed.replace_all(good)

    def upstream_row(self, key: str, value: bytes | None, version: int) -> None:
        """Take in one upstream's row; no value where it is gone."""
        if value is None:
            self._refused.forget(key)
            self._note_gone(key)
            self._listed.remove(key)
            return
        row = self._decode(key, value)
        if row is None:
            self._withdraw(key)
            return
        known = self._upstreams.named(key)
        self._listed.put(row, version)
        if self._upstreams.named(key) != row:
            self._close_idle(known)
        elif known is None or _news(known) != _news(row):
            self._log(
                "upstream",
                instance=row.instance,
                address=row.address,
                domain=row.domain,
                kind=row.kind,
                first=row.first,
                end=row.end,
                leaving=row.leaving,
            )

    def _withdraw(self, key: str) -> None:
        """Take in that a row names no upstream to use, whatever it said before."""
        self._note_gone(key)
        self._listed.withdraw(key)

    def _note_gone(self, key: str) -> None:
        known = self._upstreams.named(key)
        if known is not None:
            self._close_idle(known)
            self._log("upstream-gone", instance=known.instance, address=known.address)
            self._on_gone(known)

    def _close_idle(self, known: Upstream | None) -> None:
        if known is not None:
            self._pool.forget(known.address)

    def _decode(self, key: str, value: bytes) -> Upstream | None:
        match self._reader.upstream(key, value):
            case Success(row):
                self._note_service(row)
                return row
            case Failure(problem):
                self._refused.note("malformed", key, problem)
        return None

    def _note_service(self, row: Upstream) -> None:
        """Note a row that can be read, and whether its service is named."""
        if self._listed.is_named(row):
            self._refused.forget(row.name)
        elif self._listed.knows_services:
            self._refused.note("unnamed", row.name, f"service {row.service} is named nowhere")


def _key_in_table(row: Row) -> str:
    return row.key.partition("/")[2]


def _news(row: Upstream) -> tuple[str, int, int, bool]:
    """Return what of a row is logged when it changes."""
    return row.instance, row.first, row.end, row.leaving
