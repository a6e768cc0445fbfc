"""Selects the rows to use when several upstream rows claim one address.

A row may claim an address that another row has, or a service that isn't configured yet. Of several
rows that claim one address, the newest one of a configured service is used; when it is removed,
the next newest is used again. A service that was configured once stays so, which lets its streams
complete.
"""

from collections import defaultdict
from collections.abc import Iterable

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["ListedRows"]


class ListedRows:
    """All well-formed rows; the selected ones are passed to the upstream table.

    Args:
      upstreams: receives the selected rows.
    """

    def __init__(self, upstreams: UpstreamTable) -> None:
        self._upstreams = upstreams
        self._services: frozenset[str] = frozenset()
        # Each row with its version, and for each address the keys of the rows that claim it.
        self._rows: dict[str, tuple[int, Upstream]] = {}
        self._claims: dict[str, set[str]] = defaultdict(set)

    @property
    def has_services(self) -> bool:
        """Whether any service was configured yet."""
        return bool(self._services)

    def is_configured(self, row: Upstream) -> bool:
        """Return whether the service of a row is configured."""
        return row.service in self._services

    def unconfigured(self) -> list[Upstream]:
        """Return the rows whose service isn't configured."""
        return [row for _, row in self._rows.values() if not self.is_configured(row)]

    def add_services(self, services: Iterable[str]) -> None:
        """Add the configured services, and use the rows that waited for them."""
        added = frozenset(services) - self._services
        self._services |= added
        unconfigured = {each.address for _, each in self._rows.values() if each.service in added}
        for address in sorted(unconfigured):
            self._use_newest(address)

    def replace_all(self, rows: Iterable[tuple[int, Upstream]]) -> None:
        """Replace all rows by a snapshot of rows with their versions."""
        self._rows = {row.name: (version, row) for version, row in rows}
        self._claims.clear()
        for _, row in self._rows.values():
            self._claims[row.address].add(row.name)
        selected = [self._newest(address) for address in list(self._claims)]
        present = [each for each in selected if each is not None]
        self._upstreams.replace_all(sorted(present, key=lambda each: self._rows[each.name][0]))

    def put(self, row: Upstream, version: int) -> None:
        """Add or update one row."""
        previous = self._pop(row.name)
        self._rows[row.name] = version, row
        self._claims[row.address].add(row.name)
        if self._newest(row.address) is not row:
            self._upstreams.withdraw(row.name)
        self._use_newest(row.address)
        if previous is not None and previous.address != row.address:
            self._use_newest(previous.address)

    def remove(self, key: str) -> None:
        """Remove a row that was deleted from the store."""
        previous = self._pop(key)
        self._upstreams.remove(key)
        if previous is not None:
            self._use_newest(previous.address)

    def withdraw(self, key: str) -> None:
        """Remove a row whose stored value is malformed."""
        previous = self._pop(key)
        self._upstreams.withdraw(key)
        if previous is not None:
            self._use_newest(previous.address)

    def _pop(self, key: str) -> Upstream | None:
        _, row = self._rows.pop(key, (0, None))
        if row is not None:
            self._claims[row.address].discard(key)
            if not self._claims[row.address]:
                del self._claims[row.address]
        return row

    def _newest(self, address: str) -> Upstream | None:
        claims = (self._rows[key] for key in self._claims.get(address, ()))
        configured = [each for each in claims if self.is_configured(each[1])]
        return max(configured, key=lambda each: each[0])[1] if configured else None

    def _use_newest(self, address: str) -> None:
        newest = self._newest(address)
        if newest is not None:
            self._upstreams.put(newest)
