"""Chooses a path for each request by the current load, refusals and failures of upstreams."""

from collections.abc import Callable, Sequence
from heapq import nsmallest
from itertools import islice
from random import Random

from deckcourse.decisions.domain_choice import RouteLimits
from deckcourse.decisions.onward_choice import OnwardStage
from deckcourse.decisions.path_draw import draw_path
from deckcourse.decisions.path_forecast import PathForecast
from deckcourse.decisions.usual_paths import preferred_paths
from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.domain_routing import MAX_PREFERRED_PATHS, DomainRouting
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.path_loads import PathLoads
from deckcourse.gateway.refusal_backoffs import RefusalBackoffs
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath, PathStage
from deckcourse.peers.loads import LoadBoard
from deckcourse.settings import LoadSettings

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
# Added to the cost factor of a path if all recent streams of its first upstream failed.
FAILURE_WEIGHT = 4.0
# Paths over other replicas that are searched for each path of running streams. A layer is mostly
# held by two or three hosts of a failure domain; each search takes half a millisecond.
REPLICA_PATHS = 3


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
      settings: returns the current settings for load that exceeds capacity.
      count: receives counters.
      log: writes the decision log.
      reported_lost: returns the upstreams that processes report as gone; new requests avoid them.
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
        settings: Callable[[], LoadSettings] = LoadSettings,
        count: Callable[[str], None] = lambda name: None,
        log: Callable[..., None] = lambda decision, **fields: None,
        reported_lost: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._process = process
        self._domain = domain
        self._upstreams = upstreams
        self._refusals = RefusalBackoffs(clock, traffic, reported_lost)
        self._loads = PathLoads(
            service,
            domain,
            upstreams,
            clock,
            control,
            traffic,
            loads,
            queries_loads,
            random,
            settings,
        )
        self._random = random
        self._settings = settings
        self._domains = DomainRouting(
            service, process, domain, self._loads, clock, traffic, random, count, log
        )
        # The paths inside this process's domain, and the same in the order of its preference.
        self._preferred: tuple[list[LayerPath], list[LayerPath]] = ([], [])

    @property
    def load_watch(self) -> LoadWatch:
        """The watch over the load of the first upstreams."""
        return self._loads.watch

    def is_overloaded(self, path: LayerPath) -> bool:
        """Return whether a request on a path would wait for longer than its caller waits."""
        return self._loads.utilization(path) > MAX_UTILIZATION

    def has_room(self, path: LayerPath) -> bool:
        """Return whether a path has room for one more request, as far as this process knows."""
        return self._loads.utilization(path) < ROOM_UTILIZATION and not self.refused_recently(path)

    def utilization(self, path: LayerPath) -> float:
        """Return the requests per slot of a path's most utilized stage."""
        return self._loads.utilization(path)

    def forecast(
        self, model: ModelSpec, path: LayerPath, prompt_tokens: float, is_idle: bool = False
    ) -> PathForecast:
        """Return the predicted times of one more request on a path; see `PathLoads.forecast`."""
        return self._loads.forecast(model, path, prompt_tokens, is_idle)

    def beginning_at_first(self, path: LayerPath) -> float:
        """Return how many streams begin or queue at a path's first upstream."""
        return self._loads.beginning_at_first(path)

    def running_streams(self, domains: frozenset[str]) -> float | None:
        """Return how many streams run that began in some failure domains, None if unknown."""
        return self._loads.running_streams(domains)

    def best_paths(
        self, model: ModelSpec, count: int, avoid: frozenset[str] = frozenset()
    ) -> list[LayerPath]:
        """Return the known paths with the lowest cost at the known load.

        Args:
          model: the requested model.
          count: how many paths to return at most.
          avoid: upstreams that the request must not use.
        """
        excluded = avoid | self._refusals.current() | self._upstreams.backing_off()
        paths = [
            each
            for each in self._loads.path_set(model).all_paths()
            if not each.instances & excluded
        ]
        return nsmallest(count, paths, key=self._score)

    def note_sent(self, instance: str) -> None:
        """Record that a stream is sent to an upstream, for the requests that follow at once."""
        self._loads.watch.note_sent(instance)

    def note_ended(self, instance: str) -> None:
        """Record that a stream that was sent to an upstream ended."""
        self._loads.watch.note_ended(instance)

    def note_full(self, instance: str) -> None:
        """Record that an upstream has no room at the moment."""
        self._refusals.note_full(instance)

    def refused_recently(self, path: LayerPath) -> bool:
        """Return whether a path passes an upstream that is avoided after a refusal or loss."""
        return bool(path.instances & self._refusals.current())

    def refused_for(self, path: LayerPath) -> float:
        """Return how long a path is still avoided after a refusal, seconds."""
        return self._refusals.remaining(path.instances)

    def refusing(self) -> frozenset[str]:
        """Return the upstreams that are avoided after a refusal or a report of a loss."""
        return frozenset(self._refusals.current())

    def choose(
        self,
        model: ModelSpec,
        avoid: frozenset[str] = frozenset(),
        limits: RouteLimits | None = None,
        prompt_tokens: float = 0.0,
    ) -> LayerPath | None:
        """Return the path to take, None if the usable upstreams don't hold every layer.

        Args:
          model: the requested model.
          avoid: upstreams that this request must not use again.
          limits: what its route allows, None if the caller asks for no request of its own.
          prompt_tokens: the tokens of its prompt, 0 for a usual one.
        """
        # An upstream that is backing off can be a later stage if there is no other path, but never
        # the first. Existing paths are filtered, since computing new ones takes long.
        backing_off = self._upstreams.backing_off()
        unfavoured = self._refusals.current() | backing_off
        if limits is not None and self._settings().domain_forecast:
            candidates = self._domains.candidates(model, limits, prompt_tokens, avoid | unfavoured)
            preferred = self._without_overloaded(candidates)
        else:
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
        beginning_at = self._loads.stream_counts().beginning_at
        return min(
            paths, key=lambda each: beginning_at.get(each.stages[0].instance, 0.0), default=None
        )

    def choose_from(
        self, firsts: frozenset[str], model: ModelSpec, avoid: frozenset[str] = frozenset()
    ) -> LayerPath | None:
        """Return the path to take for a request that only some upstreams may execute.

        Args:
          firsts: the upstreams at which the path may begin.
          model: the requested model.
          avoid: upstreams that this request must not use again.
        """
        excluded = self._upstreams.backing_off()
        return self._draw(
            [
                each
                for each in self._paths(model, avoid)
                if each.stages[0].instance in firsts - excluded
            ]
        )

    def _preferred_with_room(self, model: ModelSpec, avoid: frozenset[str]) -> list[LayerPath]:
        """Return the preferred paths inside this process's domain that have room."""
        inside = self._loads.path_set(model).paths_inside(self._domain)
        if self._preferred[0] is not inside:
            self._preferred = inside, preferred_paths(inside, self._process, len(inside))
        avoiding = (each for each in self._preferred[1] if not each.instances & avoid)
        with_room = (each for each in avoiding if self._loads.utilization(each) < 1.0)
        return list(islice(with_room, MAX_PREFERRED_PATHS))

    def _paths(self, model: ModelSpec, avoid: frozenset[str]) -> list[LayerPath]:
        paths = self._loads.path_set(model)
        avoiding = [each for each in paths.all_paths() if not each.instances & avoid]
        return avoiding or paths.all_paths(avoid)

    def accepts_at(self, model: ModelSpec) -> float | None:
        """Return when a path's first upstream accepts requests again at the earliest, on the clock.

        None if one accepts them now, or if no path holds every layer.
        """
        firsts = [each.stages[0].instance for each in self._loads.path_set(model).all_paths()]
        return self._upstreams.first_accepts_at(firsts)

    def _draw(self, paths: list[LayerPath]) -> LayerPath | None:
        return draw_path(self._without_overloaded(paths) or paths, self._score, self._random)

    def _without_overloaded(self, paths: list[LayerPath]) -> list[LayerPath]:
        return [each for each in paths if not self.is_overloaded(each)]

    def _score(self, path: LayerPath) -> float:
        first = path.stages[0].instance
        utilization = self._loads.utilization(path)
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
        return self._loads.path_set(model).path_after(first, row.domain, avoid)

    def paths_after(
        self, running: LayerPath, model: ModelSpec, avoid: frozenset[str]
    ) -> list[LayerPath]:
        """Return paths over other replicas for requests that run on a path; see `PathSet`."""
        return self._loads.path_set(model).paths_after(running, avoid, REPLICA_PATHS)

    def onward_stages(
        self,
        model: ModelSpec,
        paths: Sequence[LayerPath],
        running: LayerPath,
        queued_ms: Callable[[str], float],
    ) -> list[list[OnwardStage]]:
        """Return the stages of paths as a running request meets them; see `PathLoads`."""
        return self._loads.onward_stages(model, paths, running, queued_ms)
