"""The upstreams' rows by key, and which of them name an upstream to use.

Whoever writes rows may claim an address that another one has, and a service that nobody named yet.
Of several that claim one address, the newest of a named service counts; when that goes, the one
before it is there again. A service that was named once stays so: streams there end in peace.
"""

from collections import defaultdict
from collections.abc import Iterable

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["ListedRows"]


class ListedRows:
    """Rows that can be read; those that count are handed on.

    Args:
      upstreams: gets the rows that name an upstream to use.
    """

    def __init__(self, upstreams: UpstreamTable) -> None:
        self._upstreams = upstreams
        self._services: frozenset[str] = frozenset()
        # Each row with its version, and the keys of those that claim an address.
        self._rows: dict[str, tuple[int, Upstream]] = {}
        self._claims: dict[str, set[str]] = defaultdict(set)

    @property
    def knows_services(self) -> bool:
        """Whether any service was named yet."""
        return bool(self._services)

    def is_named(self, row: Upstream) -> bool:
        """Return whether the service of a row is named; nothing is before the first naming."""
        return row.service in self._services

    def waiting(self) -> list[Upstream]:
        """Return the rows whose service isn't named."""
        return [row for _, row in self._rows.values() if not self.is_named(row)]

    def name_services(self, services: Iterable[str]) -> None:
        """Take in which services there are; rows that waited for that count from now on."""
        added = frozenset(services) - self._services
        self._services |= added
        waiting = {each.address for _, each in self._rows.values() if each.service in added}
        for address in sorted(waiting):
            self._settle(address)

    def replace_all(self, rows: Iterable[tuple[int, Upstream]]) -> None:
        """Take in a reading of all rows with their versions."""
        self._rows = {row.name: (version, row) for version, row in rows}
        self._claims.clear()
        for _, row in self._rows.values():
            self._claims[row.address].add(row.name)
        counting = [self._newest(address) for address in list(self._claims)]
        found = [each for each in counting if each is not None]
        self._upstreams.replace_all(sorted(found, key=lambda each: self._rows[each.name][0]))

    def put(self, row: Upstream, version: int) -> None:
        """Take in one row."""
        before = self._forget(row.name)
        self._rows[row.name] = version, row
        self._claims[row.address].add(row.name)
        if self._newest(row.address) is not row:
            self._upstreams.withdraw(row.name)
        self._settle(row.address)
        if before is not None and before.address != row.address:
            self._settle(before.address)

    def remove(self, key: str) -> None:
        """Take in that a row is gone."""
        before = self._forget(key)
        self._upstreams.remove(key)
        if before is not None:
            self._settle(before.address)

    def withdraw(self, key: str) -> None:
        """Take in that a row is there and can't be read."""
        before = self._forget(key)
        self._upstreams.withdraw(key)
        if before is not None:
            self._settle(before.address)

    def _forget(self, key: str) -> Upstream | None:
        _, row = self._rows.pop(key, (0, None))
        if row is not None:
            self._claims[row.address].discard(key)
            if not self._claims[row.address]:
                del self._claims[row.address]
        return row

    def _newest(self, address: str) -> Upstream | None:
        claims = (self._rows[key] for key in self._claims.get(address, ()))
        named = [each for each in claims if self.is_named(each[1])]
        return max(named, key=lambda each: each[0])[1] if named else None

    def _settle(self, address: str) -> None:
        newest = self._newest(address)
        if newest is not None:
            self._upstreams.put(newest)
