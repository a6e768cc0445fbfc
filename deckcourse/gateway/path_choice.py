"""The choice of a path for one request, from what this process knows at the moment."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from random import Random

from deckcourse.decisions.path_draw import draw_path
from deckcourse.decisions.path_load import begun_at, passers, passing
from deckcourse.decisions.usual_paths import usual_paths
from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.paths import LayerPath, PathPart
from deckcourse.peers.loads import LoadBoard

__all__ = ["PathChoice"]

# A path that begins in another failure domain counts this much dearer. One chain may be 1.4 times
# as fast as another; if all chose it, its loss would stop every stream at once.
REMOTE_WEIGHT = 1.5
# A path with all places of its tightest part taken makes streams this much slower beyond, since all
# share its passes, and one with as many again waiting this much more.
BUSY_WEIGHT = 2.0
QUEUE_WEIGHT = 20.0
# With more than so many requests for each place, the last one waits some 1.5 s of the 2 s that its
# caller does: it is refused at once.
MOST_UTILIZATION = 1.4
# A path with fewer requests for each place than this takes one more: what is known is some 0.4 s
# old, and other processes choose as well.
ROOM_UTILIZATION = 0.8
# A process sends requests to so many first upstreams of its domain while they have room: with more
# its connections rest longer than upstreams keep them, and each request needs a new one.
USUAL_FIRSTS = 3
# A first upstream all of whose streams broke of late counts this much dearer beyond.
FAILURE_WEIGHT = 4.0
# An upstream that refused is left out for so long where another path exists, seconds; twice as long
# with each refusal that follows soon after, up to the longest: each try is a retry for somebody.
FULL_SECONDS = 0.15
LONGEST_FULL_SECONDS = 1.2
# A refusal so long after the last one was over is no sign that it goes on, seconds.
FORGOTTEN_SECONDS = 0.5
# A process that carries less of the traffic than this remembers refusals longer, in proportion: its
# requests come so much more seldom, and each would meet the same full upstream anew.
REMEMBERING_SHARE = 0.1
MOST_TIMES_LONGER = 4.0


@dataclass(frozen=True)
class _Refusal:
    """An upstream is left out until a deadline; `seconds` is how long it was that time."""

    until: float
    seconds: float


@dataclass(frozen=True)
class _Streams:
    """How many streams begin or wait to at each first upstream, and how many pass each upstream."""

    beginning: Mapping[str, float]
    passing: Mapping[str, float]


class PathChoice:
    """Chooses paths for one service; the paths themselves are kept until something changes.

    Args:
      service: its name.
      process: the name of this process.
      domain: its failure domain.
      upstreams: what this process knows of upstreams.
      clock: seconds, trio's clock.
      control: asks upstreams for their load.
      traffic: gets what their load tells of this process's part of all traffic.
      loads: what is known of their load.
      asks: returns whether this process asks for it, for itself and for others.
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
        asks: Callable[[], bool],
        random: Random,
    ) -> None:
        self._service = service
        self._process = process
        self._domain = domain
        self._upstreams = upstreams
        self._clock = clock
        self._known: tuple[tuple[int, ModelSpec], PathSet] | None = None
        self._refusals: dict[str, _Refusal] = {}
        self._traffic = traffic
        self._watch = LoadWatch(
            control,
            domain,
            self._firsts,
            upstreams.in_flight,
            traffic,
            loads,
            asks,
            self._standing,
            upstreams.throttles.is_limited,
        )
        self._random = random
        self._counted: dict[str, tuple[float, _Streams]] = {}
        # The paths as last asked for by domain, and who passes their first upstreams.
        self._passers: dict[str, tuple[list[LayerPath], Mapping[str, Sequence[str]]]] = {}
        # What the parts of paths have room for, by the id of the path, and as of what.
        self._sized: dict[int, tuple[LayerPath, Sequence[tuple[str, float]]]] = {}
        self._sized_as_of: tuple[int, object] = (-1, None)
        # The paths inside the own domain, and the same in the order in which this process uses
        # them.
        self._ordered: tuple[list[LayerPath], list[LayerPath]] = ([], [])
        # Who can be the first of a path, as of a count of changes.
        self._first_rows: tuple[int, list[Upstream]] | None = None

    @property
    def watch(self) -> LoadWatch:
        """What the first upstreams say of their load."""
        return self._watch

    def overloaded(self, path: LayerPath) -> bool:
        """Return whether a request on a path would wait for longer than its caller does."""
        return self._utilization(path) > MOST_UTILIZATION

    def has_room(self, path: LayerPath) -> bool:
        """Return whether a path takes one more request, as far as this process knows."""
        return self._utilization(path) < ROOM_UTILIZATION and not self.refused_of_late(path)

    def _firsts(self) -> list[Upstream]:
        changes = self._upstreams.changes
        if self._first_rows is None or self._first_rows[0] != changes:
            usable = self._upstreams.usable(self._service)
            self._first_rows = changes, [each for each in usable if each.first == 0 < each.end]
        return self._first_rows[1]

    def _utilization(self, path: LayerPath) -> float:
        """Return the requests on a path's busiest part for each one that there is room for.

        The first part has places for requests that begin there, every part memory for those that
        pass it.
        """
        first = self._upstreams.get(path.parts[0].instance)
        if first is None:
            return 0.0
        streams = self._streams("" if path.crossings else path.domain)
        beginning = streams.beginning.get(first.instance, 0.0)
        own = max(self._watch.cache_share(first.instance), beginning / max(1, first.slots))
        passed = streams.passing
        return max(own, *[passed[name] / places for name, places in self._places_on(path)])

    def _places_on(self, path: LayerPath) -> Sequence[tuple[str, float]]:
        """Return for each part of a path how many requests it takes; kept until rows change."""
        changes = self._upstreams.changes
        if self._sized_as_of[0] != changes or self._sized_as_of[1] is not self._known:
            self._sized_as_of = changes, self._known
            self._sized.clear()
        known = self._sized.get(id(path))
        if known is None:
            sizes = [(each.instance, self._places(each)) for each in path.parts]
            # With the path, so that no other one takes its id meanwhile.
            known = self._sized[id(path)] = path, sizes
        return known[1]

    def _streams(self, domain: str = "") -> _Streams:
        """Return how many streams begin at and pass each upstream, counted once a moment.

        Args:
          domain: counts the paths inside it, all paths where it is empty.
        """
        now = self._clock()
        known = self._counted.get(domain)
        if known is None or known[0] != now:
            paths: list[LayerPath] = []
            if self._known is not None:
                paths = self._known[1].inside(domain) if domain else self._known[1].starts()
            begun = begun_at(paths, self._watch.running, self._passers_of(domain, paths))
            beginning = {name: each + self._watch.waiting(name) for name, each in begun.items()}
            known = self._counted[domain] = now, _Streams(beginning, passing(paths, beginning))
        return known[1]

    def _passers_of(self, domain: str, paths: list[LayerPath]) -> Mapping[str, Sequence[str]]:
        """Return who passes the first upstreams of paths, worked out once for each list of them."""
        known = self._passers.get(domain)
        if known is None or known[0] is not paths:
            known = self._passers[domain] = paths, passers(paths)
        return known[1]

    def _standing(self) -> float:
        """Return all requests at first upstreams, each counted once.

        What those of other domains tell counts by as much less as it does in the own one.
        """
        beginning = self._streams(self._domain).beginning
        near = sum(map(self._watch.told, beginning))
        part = sum(beginning.values()) / near if near else 1.0
        return part * sum(self._watch.told(each.instance) for each in self._firsts())

    def _places(self, part: PathPart) -> float:
        """Return how many usual requests a part of a path takes at once beside its weights."""
        row = self._upstreams.get(part.instance)
        if row is None or self._known is None:
            return 1.0
        model = self._known[1].model
        return max(1.0, model.places(row.kind, row.end - row.first, part.end - part.first))

    def note_full(self, instance: str) -> None:
        """Note that an upstream has no room at the moment."""
        now = self._clock()
        known = self._refusals.get(instance)
        longer = self._longer
        seconds = FULL_SECONDS * longer
        if known is not None and now < known.until + FORGOTTEN_SECONDS * longer:
            # Requests that were under way together tell of one refusal.
            seconds = known.seconds if now < known.until else known.seconds * 2
        seconds = min(seconds, LONGEST_FULL_SECONDS * longer)
        self._refusals[instance] = _Refusal(now + seconds, seconds)

    @property
    def _longer(self) -> float:
        """How many times longer than on a small site refusals are remembered."""
        return min(MOST_TIMES_LONGER, self._traffic.spread(1.0, REMEMBERING_SHARE))

    def refused_of_late(self, path: LayerPath) -> bool:
        """Return whether a path passes an upstream that is left out where there is another."""
        return bool(path.instances & self._full())

    def _full(self) -> set[str]:
        now = self._clock()
        forgotten = now - FORGOTTEN_SECONDS * self._longer
        self._refusals = {
            name: each for name, each in self._refusals.items() if each.until > forgotten
        }
        return {name for name, each in self._refusals.items() if each.until > now}

    def choose(self, model: ModelSpec, avoid: frozenset[str] = frozenset()) -> LayerPath | None:
        """Return the path to take, None where the usable upstreams don't hold every layer.

        Args:
          model: what is asked for.
          avoid: upstreams that this request must not meet again.
        """
        # One that asked for time runs its part of a path that begins elsewhere where there is no
        # other, but begins none. Paths are passed over, since working them out anew takes long.
        closed = self._upstreams.backing_off()
        full = self._full() | closed
        near = self._near_with_room(model, avoid | full)
        if near:
            return draw_path(near, self._score, self._random)
        path = self._best(self._paths(model, avoid | full)) if full - avoid else None
        return path or self._best(
            [each for each in self._paths(model, avoid) if each.parts[0].instance not in closed]
        )

    def choose_quietest(
        self, model: ModelSpec, avoid: frozenset[str] = frozenset()
    ) -> LayerPath | None:
        """Return the path whose first upstream has the fewest streams, whatever it costs.

        For a request that may end it, with all of them.

        Args:
          model: what is asked for.
          avoid: upstreams that this request must not meet again.
        """
        closed = self._upstreams.backing_off()
        paths = [
            each
            for each in self._paths(model, avoid | self._full()) or self._paths(model, avoid)
            if each.parts[0].instance not in closed
        ]
        beginning = self._streams().beginning
        return min(paths, key=lambda each: beginning.get(each.parts[0].instance, 0.0), default=None)

    def _near_with_room(self, model: ModelSpec, avoid: frozenset[str]) -> list[LayerPath]:
        """Return the few paths of the own domain with room that this process keeps to."""
        inside = self._path_set(model).inside(self._domain)
        if self._ordered[0] is not inside:
            self._ordered = inside, usual_paths(inside, self._process, len(inside))
        clear = (each for each in self._ordered[1] if not each.instances & avoid)
        with_room = (each for each in clear if self._utilization(each) < 1.0)
        return list(islice(with_room, USUAL_FIRSTS))

    def _paths(self, model: ModelSpec, avoid: frozenset[str]) -> list[LayerPath]:
        paths = self._path_set(model)
        clear = [each for each in paths.starts() if not each.instances & avoid]
        return clear or paths.starts(avoid)

    def _path_set(self, model: ModelSpec) -> PathSet:
        key = (self._upstreams.changes, model)
        if self._known is None or self._known[0] != key:
            before = self._known[1] if self._known is not None else None
            hosts = self._upstreams.layer_hosts(self._service)
            listed = [each for each in hosts if not each.lapsing]
            paths = PathSet(model, listed, before)
            if len(listed) < len(hosts) and not paths.starts():
                paths = PathSet(model, hosts, before)
            self._known = (key, paths)
        return self._known[1]

    def opens_at(self, model: ModelSpec) -> float | None:
        """Return when the first upstream of a path takes requests again, on the clock.

        None where one does now, or where no path is whole.
        """
        firsts = [each.parts[0].instance for each in self._path_set(model).starts()]
        return self._upstreams.first_end(firsts)

    def _best(self, paths: list[LayerPath]) -> LayerPath | None:
        return draw_path(self._open(paths) or paths, self._score, self._random)

    def _open(self, paths: list[LayerPath]) -> list[LayerPath]:
        return [each for each in paths if not self.overloaded(each)]

    def _score(self, path: LayerPath) -> float:
        first = path.parts[0].instance
        use = self._utilization(path)
        load = 1.0 + BUSY_WEIGHT * min(use, 1.0) + QUEUE_WEIGHT * max(0.0, use - 1.0)
        failures = 1.0 + FAILURE_WEIGHT * self._upstreams.failure_share(first)
        remote = 1.0 if path.domain == self._domain else REMOTE_WEIGHT
        return path.cost * load * failures * remote

    def onward(self, model: ModelSpec, first: PathPart, avoid: frozenset[str]) -> LayerPath | None:
        """Return another path for a running request; its first part can't change.

        Args:
          model: what was asked for.
          first: the part of the upstream that the request was sent to.
          avoid: upstreams that the path must not meet.

        Returns:
          The path, None where the usable upstreams don't hold every further layer.
        """
        row = self._upstreams.last_known(first.instance)
        if row is None:
            return None
        return self._path_set(model).onward(first, row.domain, avoid)
