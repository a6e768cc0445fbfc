"""What the desired state of a site says, and its form in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from soak.runner import HEALTH_PATH

__all__ = [
    "ACCOUNT",
    "EARLY_ROUTE",
    "EARLY_SERVICE",
    "IDEMPOTENT_ROUTES",
    "LAYER_CAPACITY",
    "LAYER_COUNT",
    "MAX_ATTEMPTS",
    "MIN_TIMEOUT_SECONDS",
    "PRIORITIES",
    "SECOND_SERVICE",
    "SLOTS",
    "AddedAccount",
    "AddedRoute",
    "Configuration",
    "desired_state",
]

LAYER_COUNT = 8
# The layers that one runner may hold. A domain of four runners can heal a lost one.
LAYER_CAPACITY = 5
LAYER_MB = 100.0
# The timeout of the routes; a change never sets a shorter one.
MIN_TIMEOUT_SECONDS = 5
# The account of all callers.
ACCOUNT = "acme"
# The second service of plain runners, at sites that have one.
SECOND_SERVICE = "erp"
# The route and the service of runners that answer before they have read a long body, at sites that
# have them.
EARLY_ROUTE = "early"
EARLY_SERVICE = "early"
# The slots of each runner, and the priorities of the routes of streams: most are lesser ones.
SLOTS = 24
# The upstreams on which a request of each route may run, and the routes for which a run of the soak
# may set another number.
MAX_ATTEMPTS = {"stream": 3, "fragile": 3, "once": 3, "again": 3}
IDEMPOTENT_ROUTES = ("stream", "again")
PRIORITIES = {"stream": 2, "fragile": 0}


ROUTE_SERVICES = {"stream": "llm", "fragile": "llm", "once": "crm", "again": "crm"}
ROUTE_KINDS = {
    "stream": "streaming",
    "fragile": "streaming",
    "once": "non_idempotent",
    "again": "idempotent",
}


@dataclass(frozen=True)
class AddedRoute:
    """A route that came with a later state; its path is its name.

    It has the kind of the route `like`, and `shares` are (service, weight).
    """

    name: str
    like: str
    shares: tuple[tuple[str, float], ...]
    timeout_seconds: float

    @property
    def services(self) -> tuple[str, ...]:
        """The services that get some of its requests."""
        return tuple(name for name, weight in self.shares if weight > 0)


@dataclass(frozen=True)
class AddedAccount:
    """An account that came with a later state; a lower priority goes first."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class Configuration:
    """What the desired state of a site says.

    `keys` are those of the callers' account, `extra_accounts` counts the accounts and
    `extra_routes` the routes that no caller uses; `added_accounts` and `added_routes` are used.
    With `has_health_path` plain runners tell their names at a health path. `second_share` is the
    share of plain requests that go to the second plain service, None where there is none.
    `max_attempts` are those of each route of callers. The timeout of a route in `timeout_shares` is
    that share of `timeout_seconds`. Sites with `has_early_route` have runners
    that answer before they have read a long body.
    """

    version: int
    keys: tuple[str, ...]
    has_health_path: bool = False
    timeout_seconds: float = MIN_TIMEOUT_SECONDS
    timeout_shares: Mapping[str, float] = field(default_factory=dict)
    idle_timeout_seconds: float = 15.0
    extra_accounts: int = 0
    extra_routes: int = 0
    second_share: float | None = None
    max_attempts: Mapping[str, int] = field(default_factory=MAX_ATTEMPTS.copy)
    added_routes: tuple[AddedRoute, ...] = ()
    added_accounts: tuple[AddedAccount, ...] = ()
    max_header_bytes: int | None = None
    has_early_route: bool = False

    def account_of(self, key: str) -> str:
        """Return the account that has a key, or an empty text."""
        if key in self.keys:
            return ACCOUNT
        return next((each.name for each in self.added_accounts if key in each.keys), "")

    def services_of(self, path: str) -> tuple[str, ...]:
        """Return the services that get requests for a route's path; none if it has no route."""
        added = self._added_route(path)
        if added is not None:
            return added.services
        if path == EARLY_ROUTE and self.has_early_route:
            return (EARLY_SERVICE,)
        service = ROUTE_SERVICES.get(path)
        if service == "crm" and self.second_share is not None:
            shares = (("crm", 1.0 - self.second_share), (SECOND_SERVICE, self.second_share))
            return tuple(name for name, weight in shares if weight > 0)
        return () if service is None else (service,)

    def timeout_of(self, path: str) -> float:
        """Return the timeout of the route of a path, in seconds; 0 if it has no route."""
        added = self._added_route(path)
        if added is not None:
            return added.timeout_seconds
        if not self.services_of(path):
            return 0.0
        return self.timeout_seconds * self.timeout_shares.get(path, 1.0)

    def _added_route(self, path: str) -> AddedRoute | None:
        return next((each for each in self.added_routes if each.name == path), None)


def desired_state(configuration: Configuration) -> dict[str, object]:
    """Return the desired state with a route of each kind and one client account."""
    has_health_path = configuration.has_health_path
    crm = {"name": "crm", "healthPath": HEALTH_PATH} if has_health_path else {"name": "crm"}
    engine = {
        "slots": SLOTS, "models": [{"name": "m", "load_s": 1.0}], "layers": LAYER_COUNT,
        "layer_mb": LAYER_MB, "act_bytes": 1000, "kvTokenBytes": 1000, "step_ms": 1.0,
        "read_per_s": 100000.0, "loads_at_once": 6,
        "kinds": [{"name": "card", "mb": LAYER_MB * LAYER_CAPACITY, "pace": 1.0, "read_x": 1.0}],
    }  # fmt: skip
    return {
        "version": configuration.version,
        "routes": _routes(configuration),
        "services": [
            {"name": "llm", "maxConns": 200, "engine": engine},
            crm,
            *([] if configuration.second_share is None else [{"name": SECOND_SERVICE}]),
            *([{"name": EARLY_SERVICE}] if configuration.has_early_route else []),
        ],
        "limits": _limits(configuration),
        "tenants": _accounts(configuration),
    }


def _routes(configuration: Configuration) -> list[dict[str, object]]:
    share = configuration.second_share
    shares = () if share is None else (("crm", 1.0 - share), (SECOND_SERVICE, share))
    extra_routes = [
        {
            "name": f"extra-{number}",
            "host": "h.example",
            "pathPrefix": f"/extra-{number}/",
            "kind": "idempotent",
            "timeoutMs": 5000,
            "sloMs": 500,
            "service": "crm",
        }
        for number in range(configuration.extra_routes)
    ]
    early = [AddedRoute(EARLY_ROUTE, "again", ((EARLY_SERVICE, 1.0),), MIN_TIMEOUT_SECONDS)]
    return [
        *(
            _route(configuration, name, name, shares if service == "crm" else (), service)
            for name, service in ROUTE_SERVICES.items()
        ),
        *extra_routes,
        *(
            _route(configuration, each.name, each.like, each.shares, each.services[0])
            for each in (
                *configuration.added_routes,
                *(early if configuration.has_early_route else ()),
            )
        ),
    ]


def _route(
    configuration: Configuration,
    name: str,
    like: str,
    shares: tuple[tuple[str, float], ...],
    service: str,
) -> dict[str, object]:
    return {
        "name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": ROUTE_KINDS[like],
        "timeoutMs": configuration.timeout_of(name) * 1000, "sloMs": 500,
        "priority": PRIORITIES.get(like, 1), "service": service,
        "maxAttempts": configuration.max_attempts[like],
        "backends": [{"service": each, "weight": weight} for each, weight in shares],
        "resumable": like == "stream", "gap_aim_ms": 200,
    }  # fmt: skip


def _limits(configuration: Configuration) -> dict[str, object]:
    limits: dict[str, object] = {"idleTimeoutMs": configuration.idle_timeout_seconds * 1000}
    if configuration.max_header_bytes is not None:
        limits["maxHeaderBytes"] = configuration.max_header_bytes
    return limits


def _accounts(configuration: Configuration) -> list[dict[str, object]]:
    extra_accounts = [
        {"name": f"account-{number}", "apiKeys": [f"unused-{number}"]}
        for number in range(configuration.extra_accounts)
    ]
    added_accounts = [
        {"name": each.name, "apiKeys": list(each.keys)}
        | ({} if each.priority is None else {"priority": each.priority})
        for each in configuration.added_accounts
    ]
    callers = {"name": ACCOUNT, "apiKeys": list(configuration.keys)}
    return [callers, *extra_accounts, *added_accounts]
