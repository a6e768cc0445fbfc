"""What the desired state of a site says, and its form in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from soak.runner import HEALTH_PATH

__all__ = [
    "ACCOUNT",
    "IDEMPOTENT_ROUTES",
    "LAYER_CAPACITY",
    "LAYER_COUNT",
    "MAX_ATTEMPTS",
    "MIN_TIMEOUT_SECONDS",
    "PRIORITIES",
    "SECOND_SERVICE",
    "SLOTS",
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
# The slots of each runner, and the priorities of the routes of streams: most are lesser ones.
SLOTS = 24
# The upstreams on which a request of each route may run, and the routes for which a run of the soak
# may set another number.
MAX_ATTEMPTS = {"stream": 3, "fragile": 3, "once": 3, "again": 3}
IDEMPOTENT_ROUTES = ("stream", "again")
PRIORITIES = {"stream": 2, "fragile": 0}


@dataclass(frozen=True)
class Configuration:
    """What the desired state of a site says.

    `keys` are those of the callers' account, `extra_accounts` counts the accounts and
    `extra_routes` the routes that no caller uses. With `has_health_path` plain runners tell their
    names at a health path. `second_share` is the share of plain requests that go to the second
    plain service, None where there is none. `max_attempts` are those of each route of callers.
    """

    version: int
    keys: tuple[str, ...]
    has_health_path: bool = False
    timeout_seconds: float = MIN_TIMEOUT_SECONDS
    idle_timeout_seconds: float = 15.0
    extra_accounts: int = 0
    extra_routes: int = 0
    second_share: float | None = None
    max_attempts: Mapping[str, int] = field(default_factory=MAX_ATTEMPTS.copy)


def desired_state(configuration: Configuration) -> dict[str, object]:
    """Return the desired state with a route of each kind and one client account."""
    has_health_path = configuration.has_health_path
    crm = {"name": "crm", "healthPath": HEALTH_PATH} if has_health_path else {"name": "crm"}
    share = configuration.second_share
    backends = (
        {
            "crm": [
                {"service": "crm", "weight": 1.0 - share},
                {"service": SECOND_SERVICE, "weight": share},
            ]
        }
        if share is not None
        else {}
    )
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
    extra_accounts = [
        {"name": f"account-{number}", "apiKeys": [f"unused-{number}"]}
        for number in range(configuration.extra_accounts)
    ]
    routes = [
        {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": kind,
         "timeoutMs": configuration.timeout_seconds * 1000, "sloMs": 500,
         "priority": PRIORITIES.get(name, 1), "service": service,
         "maxAttempts": configuration.max_attempts[name], "backends": backends.get(service, []),
         "resumable": name == "stream", "gap_aim_ms": 200}
        for name, kind, service in (
            ("stream", "streaming", "llm"), ("fragile", "streaming", "llm"),
            ("once", "non_idempotent", "crm"), ("again", "idempotent", "crm"),
        )
    ]  # fmt: skip
    engine = {
        "slots": SLOTS, "models": [{"name": "m", "load_s": 1.0}], "layers": LAYER_COUNT,
        "layer_mb": LAYER_MB, "act_bytes": 1000, "kvTokenBytes": 1000, "step_ms": 1.0,
        "read_per_s": 100000.0, "loads_at_once": 6,
        "kinds": [{"name": "card", "mb": LAYER_MB * LAYER_CAPACITY, "pace": 1.0, "read_x": 1.0}],
    }  # fmt: skip
    return {
        "version": configuration.version,
        "routes": [*routes, *extra_routes],
        "services": [
            {"name": "llm", "maxConns": 200, "engine": engine},
            crm,
            *([] if share is None else [{"name": SECOND_SERVICE}]),
        ],
        "limits": {"idleTimeoutMs": configuration.idle_timeout_seconds * 1000},
        "tenants": [{"name": ACCOUNT, "apiKeys": list(configuration.keys)}, *extra_accounts],
    }
