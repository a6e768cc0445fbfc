"""The desired state that operators write: routes, services, limits and client accounts."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from hashlib import blake2b

from deckcourse.layers.model import ModelSpec

__all__ = [
    "AccountSpec",
    "CallerBounds",
    "DesiredState",
    "RouteKind",
    "RouteSpec",
    "Target",
    "UpstreamService",
]


class RouteKind(StrEnum):
    """What may be done with a request a second time."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """A service that takes a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class RouteSpec:
    """One route; times in seconds.

    `objective` is the time within which an answer has its full worth, `gap_objective` the longest
    pause between events of a stream, 0 for none; `attempts` the most upstreams for one request.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    priority: int
    targets: tuple[Target, ...]
    attempts: int
    public: bool = False
    resumable: bool = False
    gap_objective: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE

    def service_for(self, request: str) -> str:
        """Return the service that takes a request; the same one each time it is asked."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(each.weight for each in self.targets)
        digest = blake2b(request.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True)
class UpstreamService:
    """A service; `model` is given where its upstreams hold ranges of a model's layers."""

    name: str
    max_connections: int
    model: ModelSpec | None = None


@dataclass(frozen=True)
class CallerBounds:
    """What callers may send and how long they may take; bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class AccountSpec:
    """A client account; a lower `priority` goes first, None leaves it to the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class DesiredState:
    """One whole version of what operators want."""

    version: int
    routes: tuple[RouteSpec, ...]
    services: dict[str, UpstreamService] = field(default_factory=dict)
    bounds: CallerBounds = CallerBounds()
    accounts: tuple[AccountSpec, ...] = ()

    @cached_property
    def _by_host(self) -> dict[str, list[RouteSpec]]:
        found: dict[str, list[RouteSpec]] = defaultdict(list)
        for route in self.routes:
            found[route.host].append(route)
        for routes in found.values():
            routes.sort(key=lambda each: -len(each.prefix))
        return found

    @cached_property
    def _by_key(self) -> dict[str, AccountSpec]:
        return {key: account for account in self.accounts for key in account.keys}

    def route_of(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix of the path, None where there is none."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> AccountSpec | None:
        """Return the client account that holds an API key, None where nobody does."""
        return self._by_key.get(key)

    @property
    def has_accounts(self) -> bool:
        """Whether requests need a key, but for public routes."""
        return bool(self.accounts)
