"""The platform's names on the wire; nothing outside this folder knows them."""

__all__ = [
    "ACCOUNT",
    "AT_FAULT",
    "AUTHORIZATION",
    "DEADLINE_MS",
    "DESIRED_STATE_KEY",
    "EXPECTED_INSTANCE",
    "EXPECTED_WEIGHTS",
    "INSTANCE",
    "KEY_SCHEME",
    "LAST_EVENT_ID",
    "LEAVING",
    "MISDIRECTED",
    "NOT_RUN",
    "OPERATOR_TABLE",
    "ORDER",
    "PATH",
    "PRIORITY",
    "RATE_LIMIT",
    "READY",
    "REPORT",
    "REQUEST_ID",
    "RETRY_AFTER",
    "RUNNER_TABLE",
    "SEAL",
    "SETTINGS_VARIABLE",
]

# The environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "DECKCOURSE_BOOT"

# Headers, in lower case.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"token"
ACCOUNT = b"x-tenant"
EXPECTED_INSTANCE = b"x-expected-instance"
LAST_EVENT_ID = b"last-event-id"
PATH = b"path"
PRIORITY = b"priority"
# The runner's promise that it did not run the request.
NOT_RUN = b"x-not-executed"
# The runner's mark on its own answers.
SEAL = b"x-response-seal"
# Of several runners on a path, the one at fault.
AT_FAULT = b"at-server"
INSTANCE = b"x-instance-id"
EXPECTED_WEIGHTS = b"expect-version"
# The status by which a runner turns down what names another one: it speaks for itself alone.
MISDIRECTED = 421
# On a refusal: for how many seconds the runner wants nothing from whoever it answers.
RETRY_AFTER = b"retry-after"
# On every answer of a runner that is about to end.
LEAVING = b"server-leaving"
# On every answer of a runner in need: the requests a second that it takes from all machines.
RATE_LIMIT = b"server-limit"

# Paths of requests: the balancer's question to the gateway; a runner's report and its orders.
READY = b"/v1/ready"
REPORT = b"/v1/report"
ORDER = b"/v1/order"

# The store's tables that the platform itself fills, and the key of the desired state.
OPERATOR_TABLE = "op"
RUNNER_TABLE = "servers"
DESIRED_STATE_KEY = "config"
