"""Chooses a path for each request by the current load, refusals and failures of upstreams."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from random import Random

from deckcourse.decisions.path_draw import draw_path
from deckcourse.decisions.path_forecast import PathForecast, StageLoad, forecast_path
from deckcourse.decisions.path_load import (
    passing_first_stages,
    streams_by_upstream,
    streams_started_at,
)
from deckcourse.decisions.usual_paths import preferred_paths
from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.refusal_backoffs import RefusalBackoffs
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.paths import LayerPath, PathStage
from deckcourse.peers.loads import LoadBoard

__all__ = ["PathChoice"]

# Cost factor of a path that begins in another failure domain. One chain of upstreams can be 1.4
# times as fast as another; if every process chose it, its loss would interrupt all streams at once.
REMOTE_WEIGHT = 1.5
# Added to the cost factor of a path when its most utilized stage is full, since all streams share
# its passes, and when as many requests again are queued there.
BUSY_WEIGHT = 2.0
QUEUE_WEIGHT = 20.0
# Requests per slot above which a request is refused immediately: at this value the last one waits
# about 1.5 s, and its caller abandons it after 2 s.
MAX_UTILIZATION = 1.4
# Requests per slot below which a path has room for one more: the known load is about 0.4 s old, and
# other processes send requests too.
ROOM_UTILIZATION = 0.8
# First upstreams of its own domain that a process uses while they have room. With more of them,
# connections idle longer than upstreams keep them open, and each request needs a new one.
MAX_PREFERRED_PATHS = 3
# Added to the cost factor of a path if all recent streams of its first upstream failed.
FAILURE_WEIGHT = 4.0


@dataclass(frozen=True)
class _StreamCounts:
    """Streams that begin or queue at each first upstream, and streams that pass each upstream."""

    beginning_at: Mapping[str, float]
    passing: Mapping[str, float]


class PathChoice:
    """Chooses paths for one service; the set of paths is cached until an upstream changes.

    Args:
      service: the name of the service.
      process: the name of this process.
      domain: the failure domain of this process.
      upstreams: the upstreams that this process knows.
      clock: returns seconds on trio's clock.
      control: queries the load of upstreams.
      traffic: updated with this process's share of all traffic.
      loads: the reported loads of upstreams.
      queries_loads: returns whether this process queries loads, for itself and for its peers.
      random: draws paths.
    """

    def __init__(
        self,
        service: str,
        process: str,
        domain: str,
        upstreams: UpstreamTable,
        clock: Callable[[], float],
        control: StreamControl,
        traffic: TrafficShare,
        loads: LoadBoard,
        queries_loads: Callable[[], bool],
        random: Random,
    ) -> None:
        self._service = service
        self._process = process
        self._domain = domain
        self._upstreams = upstreams
        self._clock = clock
        self._cached_path_set: tuple[tuple[int, ModelSpec], PathSet] | None = None
        self._refusals = RefusalBackoffs(clock, traffic)
        self._traffic = traffic
        self._watch = LoadWatch(
            control,
            domain,
            self._firsts,
            upstreams.in_flight,
            traffic,
            loads,
            queries_loads,
            self._total_requests,
            upstreams.throttles.is_limited,
        )
        self._random = random
        self._cached_stream_counts: dict[str, tuple[float, _StreamCounts]] = {}
        # For each domain, its paths and the upstreams whose paths pass their first upstreams.
        self._cached_passers: dict[str, tuple[list[LayerPath], Mapping[str, Sequence[str]]]] = {}
        # The capacities of a path's stages by the path's id, and the state that they are valid for.
        self._cached_capacities: dict[int, tuple[LayerPath, Sequence[tuple[str, float]]]] = {}
        self._capacities_valid_for: tuple[int, object] = (-1, None)
        # The paths inside this process's domain, and the same in the order of its preference.
        self._preferred: tuple[list[LayerPath], list[LayerPath]] = ([], [])
        # The upstreams that hold the first layer, and the change count that they are valid for.
        self._cached_firsts: tuple[int, list[Upstream]] | None = None

    @property
    def load_watch(self) -> LoadWatch:
        """The watch over the load of the first upstreams."""
        return self._watch

    def is_overloaded(self, path: LayerPath) -> bool:
        """Return whether a request on a path would wait for longer than its caller waits."""
        return self._utilization(path) > MAX_UTILIZATION

    def has_room(self, path: LayerPath) -> bool:
        """Return whether a path has room for one more request, as far as this process knows."""
        return self._utilization(path) < ROOM_UTILIZATION and not self.refused_recently(path)

    def forecast(self, model: ModelSpec, path: LayerPath, prompt_tokens: float) -> PathForecast:
        """Return the predicted times of one more request on a path, by the known load.

        Args:
          model: the requested model.
          path: the path.
          prompt_tokens: the tokens of its prompt, 0 for a usual one.
        """
        delay = model.delay(path.domain, self._domain)
        tokens = prompt_tokens or model.usual_prompt
        return forecast_path(model, self._stage_loads(model, path), tokens, delay)

    def _stage_loads(self, model: ModelSpec, path: LayerPath) -> list[StageLoad]:
        """Return the load of a path's stages; prompts queued at its first one wait at all."""
        passing = self._stream_counts("" if path.crossings else path.domain).passing
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

    def _firsts(self) -> list[Upstream]:
        changes = self._upstreams.change_count
        if self._cached_firsts is None or self._cached_firsts[0] != changes:
            usable = self._upstreams.usable(self._service)
            self._cached_firsts = changes, [each for each in usable if each.first == 0 < each.end]
        return self._cached_firsts[1]

    def _utilization(self, path: LayerPath) -> float:
        """Return the requests per slot of a path's most utilized stage.

        The first stage has slots for requests that begin there, and every stage has memory for the
        requests that pass it.
        """
        first = self._upstreams.get(path.stages[0].instance)
        if first is None:
            return 0.0
        counts = self._stream_counts("" if path.crossings else path.domain)
        beginning = counts.beginning_at.get(first.instance, 0.0)
        at_first = max(self._watch.cache_share(first.instance), beginning / max(1, first.slots))
        passing_streams = counts.passing
        return max(
            at_first,
            *[
                passing_streams[instance] / capacity
                for instance, capacity in self._stage_capacities(path)
            ],
        )

    def _stage_capacities(self, path: LayerPath) -> Sequence[tuple[str, float]]:
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

    def _stream_counts(self, domain: str = "") -> _StreamCounts:
        """Return how many streams begin at and pass each upstream, computed once per clock value.

        Args:
          domain: count only the paths inside this domain; all paths if empty.
        """
        now = self._clock()
        cached = self._cached_stream_counts.get(domain)
        if cached is None or cached[0] != now:
            paths: list[LayerPath] = []
            if self._cached_path_set is not None:
                paths = (
                    self._cached_path_set[1].paths_inside(domain)
                    if domain
                    else self._cached_path_set[1].all_paths()
                )
            begun = streams_started_at(
                paths, self._watch.running, self._find_passers(domain, paths)
            )
            beginning_at = {name: each + self._watch.waiting(name) for name, each in begun.items()}
            cached = self._cached_stream_counts[domain] = now, _StreamCounts(
                beginning_at, streams_by_upstream(paths, beginning_at)
            )
        return cached[1]

    def _find_passers(self, domain: str, paths: list[LayerPath]) -> Mapping[str, Sequence[str]]:
        """Return the upstreams whose paths pass each first upstream, cached for a list of paths."""
        cached = self._cached_passers.get(domain)
        if cached is None or cached[0] is not paths:
            cached = self._cached_passers[domain] = paths, passing_first_stages(paths)
        return cached[1]

    def _total_requests(self) -> float:
        """Return the number of requests at all first upstreams, each counted once.

        Loads that other domains report are scaled by the ratio found in this process's domain.
        """
        beginning_at = self._stream_counts(self._domain).beginning_at
        domain_total = sum(map(self._watch.reported, beginning_at))
        scale = sum(beginning_at.values()) / domain_total if domain_total else 1.0
        return scale * sum(self._watch.reported(each.instance) for each in self._firsts())

    def _capacity(self, stage: PathStage) -> float:
        """Return how many typical requests fit into a stage's memory beside the model weights."""
        row = self._upstreams.get(stage.instance)
        if row is None or self._cached_path_set is None:
            return 1.0
        model = self._cached_path_set[1].model
        return max(
            1.0, model.request_capacity(row.kind, row.end - row.first, stage.end - stage.first)
        )

    def note_full(self, instance: str) -> None:
        """Record that an upstream has no room at the moment."""
        self._refusals.note_full(instance)

    def refused_recently(self, path: LayerPath) -> bool:
        """Return whether a path passes an upstream that is avoided after a refusal."""
        return bool(path.instances & self._refusals.current())

    def choose(self, model: ModelSpec, avoid: frozenset[str] = frozenset()) -> LayerPath | None:
        """Return the path to take, None if the usable upstreams don't hold every layer.

        Args:
          model: the requested model.
          avoid: upstreams that this request must not use again.
        """
        # An upstream that is backing off can be a later stage if there is no other path, but never
        # the first. Existing paths are filtered, since computing new ones takes long.
        backing_off = self._upstreams.backing_off()
        unfavoured = self._refusals.current() | backing_off
        preferred = self._preferred_with_room(model, avoid | unfavoured)
        if preferred:
            return draw_path(preferred, self._score, self._random)
        path = self._draw(self._paths(model, avoid | unfavoured)) if unfavoured - avoid else None
        return path or self._draw(
            [
                each
                for each in self._paths(model, avoid)
                if each.stages[0].instance not in backing_off
            ]
        )

    def choose_least_busy(
        self, model: ModelSpec, avoid: frozenset[str] = frozenset()
    ) -> LayerPath | None:
        """Return the path whose first upstream has the fewest streams, whatever its cost.

        It is for suspect requests, which may crash that upstream and interrupt its streams.

        Args:
          model: the requested model.
          avoid: upstreams that this request must not use again.
        """
        backing_off = self._upstreams.backing_off()
        refusing = self._refusals.current()
        paths = [
            each
            for each in self._paths(model, avoid | refusing) or self._paths(model, avoid)
            if each.stages[0].instance not in backing_off
        ]
        beginning_at = self._stream_counts().beginning_at
        return min(
            paths, key=lambda each: beginning_at.get(each.stages[0].instance, 0.0), default=None
        )

    def _preferred_with_room(self, model: ModelSpec, avoid: frozenset[str]) -> list[LayerPath]:
        """Return the preferred paths inside this process's domain that have room."""
        inside = self._path_set(model).paths_inside(self._domain)
        if self._preferred[0] is not inside:
            self._preferred = inside, preferred_paths(inside, self._process, len(inside))
        avoiding = (each for each in self._preferred[1] if not each.instances & avoid)
        with_room = (each for each in avoiding if self._utilization(each) < 1.0)
        return list(islice(with_room, MAX_PREFERRED_PATHS))

    def _paths(self, model: ModelSpec, avoid: frozenset[str]) -> list[LayerPath]:
        paths = self._path_set(model)
        avoiding = [each for each in paths.all_paths() if not each.instances & avoid]
        return avoiding or paths.all_paths(avoid)

    def _path_set(self, model: ModelSpec) -> PathSet:
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

    def accepts_at(self, model: ModelSpec) -> float | None:
        """Return when a path's first upstream accepts requests again at the earliest, on the clock.

        None if one accepts them now, or if no path holds every layer.
        """
        firsts = [each.stages[0].instance for each in self._path_set(model).all_paths()]
        return self._upstreams.first_accepts_at(firsts)

    def _draw(self, paths: list[LayerPath]) -> LayerPath | None:
        return draw_path(self._without_overloaded(paths) or paths, self._score, self._random)

    def _without_overloaded(self, paths: list[LayerPath]) -> list[LayerPath]:
        return [each for each in paths if not self.is_overloaded(each)]

    def _score(self, path: LayerPath) -> float:
        first = path.stages[0].instance
        utilization = self._utilization(path)
        load = (
            1.0 + BUSY_WEIGHT * min(utilization, 1.0) + QUEUE_WEIGHT * max(0.0, utilization - 1.0)
        )
        failures = 1.0 + FAILURE_WEIGHT * self._upstreams.failure_share(first)
        remote = 1.0 if path.domain == self._domain else REMOTE_WEIGHT
        return path.cost * load * failures * remote

    def onward(self, model: ModelSpec, first: PathStage, avoid: frozenset[str]) -> LayerPath | None:
        """Return another path for a running request; its first stage can't change.

        Args:
          model: the requested model.
          first: the stage of the upstream that the request was sent to.
          avoid: upstreams that the path must not use.

        Returns:
          The path, None if the usable upstreams don't hold every further layer.
        """
        row = self._upstreams.last_known(first.instance)
        if row is None:
            return None
        return self._path_set(model).path_after(first, row.domain, avoid)
