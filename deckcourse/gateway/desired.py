"""The desired state that operators configure: routes, services, limits and client accounts."""

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
    """Whether and how a request of a route may be executed again."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class RouteSpec:
    """One route; times in seconds.

    `objective` is the time within which a response keeps its full value, `gap_objective` the
    longest allowed gap between two events of a stream, 0 for none. `attempts` is the largest number
    of upstreams that may execute one request.
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
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE

    def service_for(self, request_id: str) -> str:
        """Return the service that gets a request, the same one each time for one request id."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(each.weight for each in self.targets)
        digest = blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True)
class UpstreamService:
    """A service; `model` is set if its upstreams hold ranges of a model's layers.

    At `health_path` an upstream tells its incarnation; it is empty if none is known.
    """

    name: str
    max_connections: int
    model: ModelSpec | None = None
    health_path: str = ""


@dataclass(frozen=True)
class CallerBounds:
    """Limits on the size and duration of callers' requests, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class AccountSpec:
    """A client account; lower `priority` values go first, None means the route's priority."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class DesiredState:
    """One complete version of the desired state.

    `accounts` is None if it says nothing of client accounts, so that no request needs a key. An
    empty one has lost all of them: then no key is valid.
    """

    version: int
    routes: tuple[RouteSpec, ...]
    services: dict[str, UpstreamService] = field(default_factory=dict)
    bounds: CallerBounds = CallerBounds()
    accounts: tuple[AccountSpec, ...] | None = None

    @cached_property
    def _routes_by_host(self) -> dict[str, list[RouteSpec]]:
        routes_by_host: dict[str, list[RouteSpec]] = defaultdict(list)
        for route in self.routes:
            routes_by_host[route.host].append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda each: -len(each.prefix))
        return routes_by_host

    @cached_property
    def _accounts_by_key(self) -> dict[str, AccountSpec]:
        holders: dict[str, list[AccountSpec]] = defaultdict(list)
        for account in self.accounts or ():
            for key in set(account.keys):
                holders[key].append(account)
        return {key: each[0] for key, each in holders.items() if key and len(each) == 1}

    @cached_property
    def _ranked_services(self) -> frozenset[str]:
        """The services whose stream routes state more than one priority."""
        priorities: dict[str, set[int]] = defaultdict(set)
        for route in self.routes:
            if route.kind is RouteKind.STREAM:
                for target in route.targets:
                    priorities[target.service].add(route.priority)
        return frozenset(name for name, each in priorities.items() if len(each) > 1)

    def ranks_streams(self, service: str) -> bool:
        """Return whether the stream routes of a service state more than one priority."""
        return service in self._ranked_services

    def route_of(self, host: str, path: str) -> RouteSpec | None:
        """Return the route whose prefix is the longest match for the path, None if none matches."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> AccountSpec | None:
        """Return the client account that holds an API key, None if not exactly one holds it.

        An empty key belongs to nobody. One that several accounts hold would give the caller of one
        the name of another.
        """
        return self._accounts_by_key.get(key)

    def needs_key(self, route: RouteSpec) -> bool:
        """Return whether requests of a route need the API key of a client account."""
        return self.accounts is not None and not route.public

    @property
    def unusable_keys(self) -> int:
        """The number of API keys that are empty or that several accounts hold."""
        keys = {key for account in self.accounts or () for key in account.keys}
        return len(keys) - len(self._accounts_by_key)
