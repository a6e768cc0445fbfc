"""The load of the paths of one service, as this process knows it."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

from deckcourse.decisions.onward_choice import OnwardStage
from deckcourse.decisions.path_forecast import (
    PathForecast,
    StageLoad,
    forecast_path,
    prefill_ms,
)
from deckcourse.decisions.path_load import (
    passing_first_stages,
    streams_by_upstream,
    streams_started_at,
)
from deckcourse.decisions.path_profile import PathProfile, profile_path
from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.unseen_requests import UnseenRequests
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.paths import LayerPath, PathStage
from deckcourse.peers.loads import LoadBoard
from deckcourse.settings import LoadSettings

__all__ = ["PathLoads", "StreamCounts"]

# How long stream counts are reused unless a request or report comes or a stream is sent: the choice
# of one path reads them for each candidate, and the reports behind them are 0.2 to 0.6 s old.
COUNTS_TTL_SECONDS = 0.005
# Bound on the cached profiles, above the paths of all failure domains.
MAX_PROFILES = 1024


@dataclass(frozen=True)
class StreamCounts:
    """Streams that begin or queue at each first upstream, and streams that pass each upstream."""

    beginning_at: Mapping[str, float]
    passing: Mapping[str, float]


@dataclass(frozen=True)
class _CachedCounts:
    """Stream counts over some paths, and when and for which version they were computed."""

    at: float
    version: int
    paths: list[LayerPath]
    counts: StreamCounts

    def is_current(self, now: float, version: int, paths: list[LayerPath]) -> bool:
        return (
            self.paths is paths
            and self.version == version
            and 0.0 <= now - self.at < COUNTS_TTL_SECONDS
        )


class PathLoads:
    """The load of one service's paths; the set of paths is cached until an upstream changes.

    Args:
      service: the name of the service.
      domain: the failure domain of this process.
      upstreams: the upstreams that this process knows.
      clock: returns seconds on trio's clock.
      control: queries the load of upstreams.
      traffic: updated with this process's share of all traffic.
      board: the reported loads of upstreams.
      queries_loads: returns whether this process queries loads, for itself and for its peers.
      random: draws the places of requests among those of all processes.
      settings: returns the current settings for load that exceeds capacity.
    """

    def __init__(
        self,
        service: str,
        domain: str,
        upstreams: UpstreamTable,
        clock: Callable[[], float],
        control: StreamControl,
        traffic: TrafficShare,
        board: LoadBoard,
        queries_loads: Callable[[], bool],
        random: Random,
        settings: Callable[[], LoadSettings],
    ) -> None:
        self._service = service
        self._domain = domain
        self._upstreams = upstreams
        self._clock = clock
        self._cached_path_set: tuple[tuple[int, ModelSpec], PathSet] | None = None
        self._unseen = UnseenRequests(
            settings, self.firsts, board, traffic, self._stream_seconds, random, clock
        )
        self._watch = LoadWatch(
            control,
            domain,
            self.firsts,
            upstreams.in_flight,
            traffic,
            board,
            queries_loads,
            self.total_requests,
            upstreams.throttles.is_limited,
            self._unseen,
        )
        self._cached_stream_counts: dict[str, _CachedCounts] = {}
        # For each domain, its paths and the upstreams whose paths pass their first upstreams.
        self._cached_passers: dict[str, tuple[list[LayerPath], Mapping[str, Sequence[str]]]] = {}
        # The capacities of a path's stages by the path's id, and the state that they are valid for.
        self._cached_capacities: dict[int, tuple[LayerPath, Sequence[tuple[str, float]]]] = {}
        self._cached_profiles: dict[int, tuple[LayerPath, PathProfile]] = {}
        self._capacities_valid_for: tuple[int, object] = (-1, None)
        # The upstreams that hold the first layer, and the change count that they are valid for.
        self._cached_firsts: tuple[int, list[Upstream]] | None = None

    @property
    def watch(self) -> LoadWatch:
        """The watch over the load of the first upstreams."""
        return self._watch

    @property
    def own_rate(self) -> float:
        """The recent rate of this process's requests, per second; see `UnseenRequests`."""
        return self._unseen.own_rate

    def forecast(
        self, model: ModelSpec, path: LayerPath, prompt_tokens: float, is_idle: bool = False
    ) -> PathForecast:
        """Return the predicted times of one more request on a path, by the known load.

        Args:
          model: the requested model.
          path: the path.
          prompt_tokens: the tokens of its prompt, 0 for a usual one.
          is_idle: whether to predict them as if nothing else ran there.
        """
        delay = model.delay(path.domain, self._domain)
        tokens = prompt_tokens or model.usual_prompt
        loads = self._stage_loads(model, path)
        if is_idle:
            loads = [replace(each, streams=0.0, queued_tokens=0.0) for each in loads]
        return forecast_path(model, loads, tokens, delay)

    def beginning_at_first(self, path: LayerPath) -> float:
        """Return how many streams begin or queue at a path's first upstream."""
        counts = self.stream_counts("" if path.crossings else path.domain)
        return counts.beginning_at.get(path.stages[0].instance, 0.0)

    def onward_stages(
        self,
        model: ModelSpec,
        paths: Sequence[LayerPath],
        running: LayerPath,
        queued_ms: Callable[[str], float],
    ) -> list[list[OnwardStage]]:
        """Return the stages of paths as a request that runs on another path meets them.

        Args:
          model: the requested model.
          paths: the paths, of the domain of the running one.
          running: the path on which the request runs.
          queued_ms: returns the prefill that moves have queued at an upstream, milliseconds.
        """
        passing = self.stream_counts(running.domain).passing
        ran = {each.instance: each for each in running.stages}

        def onward_stage(stage: PathStage) -> OnwardStage:
            instance, layers = stage.instance, stage.end - stage.first
            kind, pace = self._kind_of(instance), self._upstreams.pace(instance)
            before = ran.get(instance)
            kept = min(stage.end, before.end) - max(stage.first, before.first) if before else 0
            queued, prompts = queued_ms(instance), self._watch.queued(instance)
            if prompts:
                queued += pace * prefill_ms(model, kind, layers, prompts * model.usual_prompt)
            load = StageLoad(kind, layers, pace, passing.get(instance, 0.0))
            return OnwardStage(instance, load, layers - max(0, kept), queued)

        return [[onward_stage(each) for each in path.stages] for path in paths]

    def profile(self, model: ModelSpec, path: LayerPath) -> PathProfile:
        """Return the part of a path's forecasts that doesn't depend on load, cached.

        A path is computed again when its upstreams change, so that its profile stays valid.
        """
        cached = self._cached_profiles.get(id(path))
        if cached is None or cached[1].model is not model:
            if len(self._cached_profiles) >= MAX_PROFILES:
                self._cached_profiles.clear()
            stages = {
                each.instance: StageLoad(
                    self._kind_of(each.instance),
                    each.end - each.first,
                    self._upstreams.pace(each.instance),
                )
                for each in path.stages
            }
            delay = model.delay(path.domain, self._domain)
            # Keeps a reference to the path, so that its id isn't reused.
            cached = self._cached_profiles[id(path)] = path, profile_path(model, stages, delay)
        return cached[1]

    def is_lost(self, instance: str) -> bool:
        """Return whether an upstream is gone or suspected without having announced it."""
        row = self._upstreams.last_known(instance)
        if row is not None and self._upstreams.is_leaving(row):
            return False
        return self._upstreams.get(instance) is None or self._upstreams.is_suspected(instance)

    def free_slots(self, path: LayerPath, counts: StreamCounts, fill: float) -> float:
        """Return the requests that a path's first stage takes until a share of its slots is used.

        None is free if requests queue there for memory.
        """
        first = self._upstreams.get(path.stages[0].instance)
        if first is None or self._watch.cache_share(first.instance) >= fill:
            return 0.0
        return max(0.0, fill * first.slots - counts.beginning_at.get(first.instance, 0.0))

    def _stage_loads(self, model: ModelSpec, path: LayerPath) -> list[StageLoad]:
        """Return the load of a path's stages; prompts queued at its first one wait at all."""
        passing = self.stream_counts("" if path.crossings else path.domain).passing
        queued = self._watch.queued(path.stages[0].instance) * model.usual_prompt
        return [
            StageLoad(
                self._kind_of(each.instance),
                each.end - each.first,
                self._upstreams.pace(each.instance),
                passing.get(each.instance, 0.0),
                queued,
            )
            for each in path.stages
        ]

    def _kind_of(self, instance: str) -> str:
        row = self._upstreams.last_known(instance)
        return row.kind if row is not None else ""

    def firsts(self) -> list[Upstream]:
        """Return the usable upstreams that hold the first layer."""
        changes = self._upstreams.change_count
        if self._cached_firsts is None or self._cached_firsts[0] != changes:
            usable = self._upstreams.usable(self._service)
            self._cached_firsts = changes, [each for each in usable if each.first == 0 < each.end]
        return self._cached_firsts[1]

    def utilization(self, path: LayerPath, counts: StreamCounts | None = None) -> float:
        """Return the requests per slot of a path's most utilized stage.

        The first stage has slots for requests that begin there, and every stage has memory for the
        requests that pass it.

        Args:
          path: the path.
          counts: the stream counts of its domain, if the caller has them.
        """
        first = self._upstreams.get(path.stages[0].instance)
        if first is None:
            return 0.0
        if counts is None:
            counts = self.stream_counts("" if path.crossings else path.domain)
        beginning = counts.beginning_at.get(first.instance, 0.0)
        at_first = max(self._watch.cache_share(first.instance), beginning / max(1, first.slots))
        passing_streams = counts.passing
        return max(
            at_first,
            *[
                passing_streams[instance] / capacity
                for instance, capacity in self.stage_capacities(path)
            ],
        )

    def stage_capacities(self, path: LayerPath) -> Sequence[tuple[str, float]]:
        """Return the instance and capacity of each stage of a path, cached until rows change."""
        changes = self._upstreams.change_count
        if (
            self._capacities_valid_for[0] != changes
            or self._capacities_valid_for[1] is not self._cached_path_set
        ):
            self._capacities_valid_for = changes, self._cached_path_set
            self._cached_capacities.clear()
        cached = self._cached_capacities.get(id(path))
        if cached is None:
            capacities = [(each.instance, self._capacity(each)) for each in path.stages]
            # Keeps a reference to the path, so that its id isn't reused.
            cached = self._cached_capacities[id(path)] = path, capacities
        return cached[1]

    def stream_counts(self, domain: str = "") -> StreamCounts:
        """Return how many streams begin at and pass each upstream, computed once per choice.

        Args:
          domain: count only the paths inside this domain; all paths if empty.
        """
        now = self._clock()
        paths: list[LayerPath] = []
        if self._cached_path_set is not None:
            path_set = self._cached_path_set[1]
            paths = path_set.paths_inside(domain) if domain else path_set.all_paths()
        cached = self._cached_stream_counts.get(domain)
        if cached is None or not cached.is_current(now, self._watch.version, paths):
            begun = streams_started_at(
                paths, self._watch.running, self._find_passers(domain, paths)
            )
            beginning_at = {name: each + self._watch.waiting(name) for name, each in begun.items()}
            counts = StreamCounts(beginning_at, streams_by_upstream(paths, beginning_at))
            cached = _CachedCounts(now, self._watch.version, paths, counts)
            self._cached_stream_counts[domain] = cached
        return cached.counts

    def _find_passers(self, domain: str, paths: list[LayerPath]) -> Mapping[str, Sequence[str]]:
        """Return the upstreams whose paths pass each first upstream, cached for a list of paths."""
        cached = self._cached_passers.get(domain)
        if cached is None or cached[0] is not paths:
            cached = self._cached_passers[domain] = paths, passing_first_stages(paths)
        return cached[1]

    def _stream_seconds(self) -> float:
        """Return how long a usual stream takes on this domain's paths, 0 if it has none."""
        if self._cached_path_set is None:
            return 0.0
        paths = self._cached_path_set[1].paths_inside(self._domain)
        return sum([each.cost for each in paths]) / max(1, len(paths)) / 1000

    def total_requests(self) -> float:
        """Return the number of requests at all first upstreams, each counted once.

        Loads that other domains report are scaled by the ratio found in this process's domain.
        """
        beginning_at = self.stream_counts(self._domain).beginning_at
        domain_total = sum(map(self._watch.reported, beginning_at))
        scale = sum(beginning_at.values()) / domain_total if domain_total else 1.0
        return scale * sum(self._watch.reported(each.instance) for each in self.firsts())

    def running_streams(self, domains: frozenset[str]) -> float | None:
        """Return how many streams run that began in some failure domains, None if unknown.

        A report of a first upstream also counts streams that pass it. They are told apart by the
        paths of this process's own domain; computing those of other domains would take too long.
        """
        firsts = [each.instance for each in self.firsts() if each.domain in domains]
        if self._cached_path_set is None or not any(map(self._watch.has_report, firsts)):
            return None
        beginning_at = self.stream_counts(self._domain).beginning_at
        reported = sum(map(self._watch.reported, beginning_at))
        begun_share = min(1.0, sum(beginning_at.values()) / reported) if reported else 1.0
        return begun_share * sum(map(self._watch.reported, firsts))

    def _capacity(self, stage: PathStage) -> float:
        """Return how many typical requests fit into a stage's memory beside the model weights."""
        row = self._upstreams.get(stage.instance)
        if row is None or self._cached_path_set is None:
            return 1.0
        model = self._cached_path_set[1].model
        return max(
            1.0, model.request_capacity(row.kind, row.end - row.first, stage.end - stage.first)
        )

    def path_set(self, model: ModelSpec) -> PathSet:
        """Return the paths over the usable upstreams."""
        key = (self._upstreams.change_count, model)
        if self._cached_path_set is None or self._cached_path_set[0] != key:
            before = self._cached_path_set[1] if self._cached_path_set is not None else None
            hosts = self._upstreams.layer_hosts(self._service)
            listed = [each for each in hosts if not each.lapsing]
            paths = PathSet(model, listed, before)
            if len(listed) < len(hosts) and not paths.all_paths():
                paths = PathSet(model, hosts, before)
            self._cached_path_set = (key, paths)
        return self._cached_path_set[1]
