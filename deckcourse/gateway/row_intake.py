"""Decodes rows of the store, logs changes and applies them."""

from collections.abc import Callable, Sequence
from time import process_time
from typing import Protocol

from returns.result import Failure, Result, Success

from deckcourse.gateway.desired import DesiredState
from deckcourse.gateway.listed_rows import ListedRows
from deckcourse.gateway.refused_rows import RefusedRows
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.plan_book import PLAN_TABLE, PlanBook, PlanRecord
from deckcourse.table import Row

__all__ = ["RowIntake", "RowReader"]

# Errors in a desired state are truncated to this number of characters in the log.
MAX_ERROR_CHARS = 200


class RowReader(Protocol):
    """Decodes rows of the store."""

    operator_table: str
    upstream_table: str
    desired_key: str

    def desired_state(self, value: bytes) -> Result[DesiredState, str]:
        """Return the desired state in a row, or the error."""

    def upstream(self, name: str, value: bytes) -> Result[Upstream, str]:
        """Return the incarnation that an upstream's row describes, or the error."""


class RowIntake:
    """Applies changes of the operator, upstream and plan tables.

    Args:
      reader: decodes rows.
      upstreams: receives the upstreams' rows.
      book: receives the plans.
      pool: closes idle connections to upstreams that are gone.
      on_desired: called with each well-formed desired state.
      on_plan: called with the group and record of each plan that another process has just made.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        reader: RowReader,
        upstreams: UpstreamTable,
        book: PlanBook,
        pool: ConnectionPool,
        on_desired: Callable[[DesiredState], None],
        on_plan: Callable[[str, PlanRecord], None],
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
        self._count = count
        self._log = log

    def operator_rows(self, rows: Sequence[Row]) -> None:
        """Apply a snapshot of the operator table."""
        for row in rows:
            self.operator_row(_key_in_table(row), row.value, row.version)

    def operator_row(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one changed row of the operator table."""
        if key != self._reader.desired_key:
            return
        if value is None:
            self._count("malformed.desired-state")
            self._log(
                "malformed", what="the desired state was deleted; the last one stays in force"
            )
            return
        began_at = process_time()
        match self._reader.desired_state(value):
            case Success(desired):
                self._listed.add_services(desired.services)
                for each in self._listed.unconfigured():
                    self._check_service(each)
                self._on_desired(desired)
                self._log(
                    "configuration-read",
                    version=desired.version,
                    bytes=len(value),
                    unusable_keys=desired.unusable_keys,
                    processor_ms=round((process_time() - began_at) * 1000, 1),
                )
            case Failure(error):
                self._count("malformed.desired-state")
                self._log("malformed", what=error[:MAX_ERROR_CHARS])

    def plan_rows(self, rows: Sequence[Row]) -> None:
        """Record a snapshot of the plans; these aren't new and cause no callback."""
        for row in rows:
            self._book.merge(row)

    def plan_row(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one changed plan."""
        if value is None:
            return
        record = self._book.merge(Row(f"{PLAN_TABLE}/{key}", version, value))
        if record is not None:
            self._on_plan(key, record)

    def upstream_rows(self, rows: Sequence[Row]) -> None:
        """Apply a snapshot of the upstream table."""
        by_key = {_key_in_table(row): row for row in rows}
        self._refused.keep_only(set(by_key))
        valid = []
        for key, row in by_key.items():
            upstream = self._decode(key, row.value)
            if upstream is None:
                self._withdraw(key)
            else:
                valid.append((row.version, upstream))
        self._listed.replace_all(valid)

    def upstream_row(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one changed row of the upstream table, without a value if it was deleted."""
        if value is None:
            self._refused.forget(key)
            self._on_row_gone(key)
            self._listed.remove(key)
            return
        row = self._decode(key, value)
        if row is None:
            self._withdraw(key)
            return
        known = self._upstreams.by_name(key)
        self._listed.put(row, version)
        if self._upstreams.by_name(key) != row:
            self._close_idle(known)
        elif known is None or _logged_fields(known) != _logged_fields(row):
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
        """Remove the upstream of a row that no longer names a usable one."""
        self._on_row_gone(key)
        self._listed.withdraw(key)

    def _on_row_gone(self, key: str) -> None:
        known = self._upstreams.by_name(key)
        if known is not None:
            self._close_idle(known)
            self._log("upstream-gone", instance=known.instance, address=known.address)

    def _close_idle(self, upstream: Upstream | None) -> None:
        if upstream is not None:
            self._pool.close_idle(upstream.address)

    def _decode(self, key: str, value: bytes) -> Upstream | None:
        match self._reader.upstream(key, value):
            case Success(row):
                self._check_service(row)
                return row
            case Failure(error):
                self._refused.reject("malformed", key, error)
        return None

    def _check_service(self, row: Upstream) -> None:
        """Record whether the service of a well-formed row is configured."""
        if self._listed.is_configured(row):
            self._refused.forget(row.name)
        elif self._listed.has_services:
            self._refused.reject("unnamed", row.name, f"service {row.service} is not configured")


def _key_in_table(row: Row) -> str:
    return row.key.partition("/")[2]


def _logged_fields(row: Upstream) -> tuple[str, int, int, bool]:
    """Return the fields of a row whose changes are logged."""
    return row.instance, row.first, row.end, row.leaving
