"""Decoding of the store's rows: the operators' desired state and the runners' rows."""

from collections.abc import Callable, Sequence

from msgspec import UNSET, Struct, UnsetType, field
from returns.result import Failure, Result, Success

from deckcourse.gateway.desired import (
    AccountSpec,
    CallerBounds,
    DesiredState,
    RouteKind,
    RouteSpec,
    Target,
    UpstreamService,
)
from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.addresses import is_address
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.platform.names import DESIRED_STATE_KEY, OPERATOR_TABLE, RUNNER_TABLE
from deckcourse.platform.row_checks import (
    ColdMilliseconds,
    Layer,
    Name,
    RunnerState,
    Sequence64,
    Slots,
    StartTime,
    decode_row,
    problem_with_key,
    problem_with_layers,
)
from deckcourse.platform.starts import instance_name

__all__ = ["PlatformRows"]

_ROUTE_KINDS = {
    "idempotent": RouteKind.REPEATABLE,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}


class _Backend(Struct):
    """A service that receives a share of a route's requests, proportional to its weight."""

    service: str
    weight: float = 1.0


class _Route(Struct):
    """A route; `sloMs` is its latency objective, `gap_aim_ms` that between events of a stream."""

    name: str
    host: str
    pathPrefix: str  # noqa: N815
    kind: str
    timeoutMs: float  # noqa: N815
    sloMs: float = 0.0  # noqa: N815
    priority: int = 5
    service: str = ""
    backends: list[_Backend] = []
    maxAttempts: int = 1  # noqa: N815
    public: bool | None = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Accelerator(Struct):
    """A kind of accelerator with `mb` of memory.

    `pace` multiplies the time of a step, `read_x` that of reading a prompt.
    """

    name: str
    mb: float
    pace: float = 1.0
    read_x: float = 1.0


class _Delay(Struct):
    """The one-way delay between the zones `rangeStart` and `targetVersion`."""

    rangeStart: str  # noqa: N815
    targetVersion: str  # noqa: N815
    delay_ms: float


class _Model(Struct):
    """The model of a service; `load_s` is the time to load all its layers."""

    name: str
    load_s: float = 10.0


class _UsualTokens(Struct):
    """The mean length of a service's prompts and answers, tokens."""

    prompt: float = 770.0
    answer: float = 154.0


class _Engine(Struct):
    """The engines of a service; `kvTokenBytes` is the KV cache of one token in all layers."""

    slots: int = 64
    models: list[_Model] = []
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    pairs_per_m: float = 0.0
    chunk: float = 512.0
    stride: int = 1
    read_per_s: float = 100_000.0
    kvTokenBytes: float = 0.0  # noqa: N815
    layers: int = 0
    layer_mb: float = 0.0
    act_bytes: float = 0.0
    pipe_mbps: float = 10_000.0
    loads_at_once: int = 4
    kinds: list[_Accelerator] = []
    delays: list[_Delay] = []
    usual: _UsualTokens = field(default_factory=_UsualTokens)


class _Service(Struct):
    """A service; without `engine` its runners hold no layers."""

    name: str
    maxConns: int = 100  # noqa: N815
    engine: _Engine | None = None
    healthPath: str = ""  # noqa: N815


class _Limits(Struct):
    """Limits of callers' requests: sizes and timeouts."""

    maxHeaderBytes: int = 16 * 1024  # noqa: N815
    maxBodyBytes: int = 1024 * 1024  # noqa: N815
    headerTimeoutMs: float = 3000.0  # noqa: N815
    idleTimeoutMs: float = 15000.0  # noqa: N815


class _Tenant(Struct):
    """A client account and its API keys.

    A name or keys that are missing or null give no access, rather than make the whole desired state
    invalid: the one before it would stay in force, with the keys that this one takes away.
    """

    name: str | None = None
    apiKeys: list[str | None] | None = None  # noqa: N815
    priority: int | None = None


class _Config(Struct):
    """The desired state in the format that operators write.

    Only without the field `tenants` does it say nothing of client accounts; null is as empty.
    """

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant | None] | None | UnsetType = UNSET


class _LayerRange(Struct):
    """A range of layers that a runner holds; `targetVersion` is its exclusive end."""

    rangeStart: Layer  # noqa: N815
    targetVersion: Layer  # noqa: N815


class _RunnerModel(Struct):
    """A model whose layers a runner holds."""

    name: str


class _Runner(Struct):
    """A runner's row.

    `born` is its start time, Unix milliseconds, which older deployments don't report. `sequence`,
    unlike that of a report, does not count orders. `sequence`, `version` and `coldLeftMs` are not
    used, but a row with other types in them was not written by a runner.
    """

    service: Name
    address: str
    zone: Name
    slots: Slots
    state: RunnerState
    kind: str = ""
    models: list[_RunnerModel] = []
    layers: _LayerRange | list[_LayerRange] | None = None
    sequence: Sequence64 | None = None
    version: str | int | None = None
    coldLeftMs: ColdMilliseconds | None = None  # noqa: N815
    born: StartTime | UnsetType = UNSET


class PlatformRows:
    """The tables that the platform writes, and the decoding of their rows.

    Args:
      is_address: returns whether a string is a valid address.
    """

    operator_table = OPERATOR_TABLE
    upstream_table = RUNNER_TABLE
    desired_key = DESIRED_STATE_KEY

    def __init__(self, is_address: Callable[[str], bool] = is_address) -> None:
        self._is_address = is_address

    def desired_state(self, value: bytes) -> Result[DesiredState, str]:
        """Return the desired state in a row's value, or why the value is invalid."""
        try:
            return (
                decode_row(value, _Config)
                .map(_to_desired_state)
                .alt(lambda problem: f"desired state: {problem}")
            )
        except KeyError as error:
            return Failure(f"desired state: {error}")

    def upstream(self, name: str, value: bytes) -> Result[Upstream, str]:
        """Return the upstream that a row describes, or why the row is invalid."""
        problem = problem_with_key(name)
        if problem:
            return Failure(problem)
        return decode_row(value, _Runner).bind(lambda runner: self._upstream(name, runner))

    def _upstream(self, name: str, runner: _Runner) -> Result[Upstream, str]:
        if not self._is_address(runner.address):
            return Failure("the address is malformed")
        layers = runner.layers
        ranges = layers if isinstance(layers, list) else [layers] if layers else []
        problem = problem_with_layers(ranges)
        if problem:
            return Failure(problem)
        held = ranges[0] if ranges else None
        start = None if runner.born is UNSET else runner.born
        return Success(
            Upstream(
                instance_name(name, start),
                runner.service,
                runner.address,
                runner.zone,
                runner.state is RunnerState.LEAVING,
                runner.slots,
                runner.kind,
                tuple(each.name for each in runner.models),
                held.rangeStart if held else 0,
                held.targetVersion if held else 0,
                name,
                start,
            )
        )


def _to_desired_state(config: _Config) -> DesiredState:
    return DesiredState(
        config.version,
        tuple(_route(each) for each in config.routes),
        {each.name: _service(each) for each in config.services},
        _bounds(config.limits),
        None if config.tenants is UNSET else _accounts(config.tenants or []),
    )


def _accounts(tenants: Sequence[_Tenant | None]) -> tuple[AccountSpec, ...]:
    """Return the client accounts that can be named to runners, with the keys that open them."""
    return tuple(
        AccountSpec(each.name, tuple(key for key in each.apiKeys or () if key), each.priority)
        for each in tenants
        if each is not None and each.name
    )


def _route(route: _Route) -> RouteSpec:
    targets = [Target(each.service, each.weight) for each in route.backends]
    return RouteSpec(
        route.name,
        route.host.lower(),
        route.pathPrefix,
        _ROUTE_KINDS[route.kind],
        route.timeoutMs / 1000,
        route.sloMs / 1000,
        route.priority,
        tuple(targets or [Target(route.service, 1.0)]),
        route.maxAttempts,
        route.public is True,
        route.resumable,
        route.gap_aim_ms / 1000,
    )


def _service(service: _Service) -> UpstreamService:
    engine = service.engine
    model = _model(engine) if engine is not None and engine.layers else None
    return UpstreamService(service.name, service.maxConns, model, _health_path(service))


def _health_path(service: _Service) -> str:
    """Return the health path of a service, empty if it can't be a request's target."""
    path = service.healthPath
    return path if path.startswith("/") and path.isascii() and path.isprintable() else ""


def _model(engine: _Engine) -> ModelSpec:
    model = engine.models[0] if engine.models else _Model("")
    return ModelSpec(
        name=model.name,
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        load_seconds=model.load_s,
        step_ms=engine.step_ms,
        stream_step_ms=engine.per_seq_ms,
        context_step_ms=engine.context_per_k,
        pairs_ms=engine.pairs_per_m,
        event_tokens=engine.stride,
        prefill_per_ms=engine.read_per_s / 1000,
        prefill_chunk=engine.chunk,
        activation_bytes=engine.act_bytes,
        cache_bytes=engine.kvTokenBytes,
        pipe_mbps=engine.pipe_mbps,
        domain_delays={
            (each.rangeStart, each.targetVersion): each.delay_ms / 1000 for each in engine.delays
        },
        requests=engine.slots,
        parallel_loads=engine.loads_at_once,
        kinds={
            each.name: AcceleratorKind(each.name, each.mb, each.pace, each.read_x)
            for each in engine.kinds
        },
        usual_prompt=engine.usual.prompt,
        usual_answer=engine.usual.answer,
    )


def _bounds(limits: _Limits) -> CallerBounds:
    return CallerBounds(
        limits.maxHeaderBytes,
        limits.maxBodyBytes,
        limits.headerTimeoutMs / 1000,
        limits.idleTimeoutMs / 1000,
    )
