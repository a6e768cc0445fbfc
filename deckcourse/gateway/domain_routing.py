"""Chooses between the failure domains by predicted times; see `decisions.domain_choice`.

The state is that of one process and one service: the share of its requests that should leave its
domain, the streams that were interrupted lately, and what the domains offer, as of a moment ago.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass
from itertools import islice
from random import Random

from deckcourse.decisions.domain_choice import (
    LEAVE_STRAIN,
    DomainOutlook,
    InterruptedStreams,
    Outflow,
    RouteLimits,
    choose_domain,
    free_share,
    strain_of,
)
from deckcourse.decisions.free_streams import PathRoom, free_streams
from deckcourse.decisions.path_forecast import PathForecast
from deckcourse.decisions.path_profile import PathProfile
from deckcourse.decisions.usual_paths import preferred_paths
from deckcourse.gateway.bounded import put_bounded
from deckcourse.gateway.path_loads import PathLoads, StreamCounts
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath

__all__ = ["MAX_PREFERRED_PATHS", "DomainRouting"]

# How long the outlook of a domain is reused: half the interval between two reports.
OUTLOOK_TTL_SECONDS = 0.2
# Share of slots and memory up to which a path takes requests of other domains: the known load is
# about 0.4 s old, and other processes send requests too.
FILL_FROM_OUTSIDE = 0.8
# The same for requests of the domain itself, which leave it above this share: between two reports
# more requests come than the rest of the slots, and each that finds none waits for a stream to end.
FILL_FROM_INSIDE = 0.9
# First upstreams of a domain that a process uses while they have room. With more of them,
# connections idle longer than upstreams keep them open, and each request needs a new one.
MAX_PREFERRED_PATHS = 3
# The time until a report shows a request: it is queried every 0.4 s and 0.2 s old.
REPORT_SECONDS = 0.6
# Stream counts of another domain that are older than this aren't taken for those before a loss:
# other domains are only looked at while this one is strained, so the loss may be long ago. With
# hundreds of processes, one gets a request every five seconds.
KNOWN_TTL_SECONDS = 10.0
# Interval between two log lines about the same service: a short return isn't worth a line.
LOG_INTERVAL_SECONDS = 1.0
# Bound on the kept states of routes and domains: a changed configuration leaves old ones behind.
MAX_ROUTES = 64
# Bound on logged free streams, which are infinite where nothing limits them.
MAX_LOGGED = 1_000_000


@dataclass(frozen=True)
class _Prospect:
    """One more request on a path; `forecast` is that of a request without a prompt."""

    path: LayerPath
    profile: PathProfile
    utilization: float
    forecast: PathForecast

    def forecast_for(self, prompt_tokens: float) -> PathForecast:
        """Return the predicted times of a request with a prompt of some tokens."""
        first_event = self.forecast.first_event + self.profile.prompt_seconds(prompt_tokens)
        return PathForecast(first_event, self.forecast.pause)


@dataclass(frozen=True)
class _View:
    """What a domain offers to usual requests of a route, and the streams that it has."""

    at: float
    paths: list[LayerPath]
    prospects: Sequence[_Prospect]
    strain: float
    free: float
    streams: float

    def outlook(self, domain: str, prompt_tokens: float) -> DomainOutlook:
        """Return what the domain offers to a request with a prompt of some tokens."""
        soonest = min(self.prospects, key=lambda each: each.forecast.first_event)
        return DomainOutlook(domain, soonest.forecast_for(prompt_tokens), self.free)


@dataclass
class _Departure:
    """The outflow of the requests with the same limits, and when it was last logged to begin."""

    outflow: Outflow = Outflow()
    is_logged: bool = False
    next_log_at: float = float("-inf")


class DomainRouting:
    """Chooses the paths among which a request of one service is sent.

    Args:
      service: the name of the service.
      process: the name of this process.
      domain: the failure domain of this process.
      loads: the load of the service's paths.
      clock: returns monotonic seconds.
      traffic: this process's share of all traffic.
      random: draws between domains.
      count: receives counters.
      log: writes the decision log.
    """

    def __init__(
        self,
        service: str,
        process: str,
        domain: str,
        loads: PathLoads,
        clock: Callable[[], float],
        traffic: TrafficShare,
        random: Random,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._service = service
        self._process = process
        self._domain = domain
        self._loads = loads
        self._clock = clock
        self._traffic = traffic
        self._random = random
        self._count = count
        self._log = log
        self._departures: dict[RouteLimits, _Departure] = {}
        self._views: dict[tuple[str, RouteLimits], _View] = {}
        self._interrupted: dict[str, InterruptedStreams] = {}
        # For each domain, the time of the last choice, its paths and the streams on them then.
        self._known: dict[str, tuple[float, list[LayerPath], StreamCounts]] = {}
        # For each domain, its paths, and the same in the order of this process's preference.
        self._preferred: dict[str, tuple[list[LayerPath], list[LayerPath]]] = {}

    def candidates(
        self,
        model: ModelSpec,
        limits: RouteLimits,
        prompt_tokens: float,
        unfavoured: Set[str],
    ) -> list[LayerPath]:
        """Return the paths among which to draw, all inside one domain; none if there is none.

        Args:
          model: the requested model.
          limits: what the request's route allows.
          prompt_tokens: the tokens of its prompt, 0 for a usual one.
          unfavoured: upstreams that the path should not use.
        """
        now = self._clock()
        tokens = prompt_tokens or model.usual_prompt
        own_paths = self._paths_of(model, self._domain, now)
        own_choices = self._timely(model, self._domain, own_paths, limits, tokens, unfavoured, now)
        departure = self._departure(limits)
        if own_choices and not departure.outflow.share:
            return own_choices
        own = self._view(model, self._domain, limits, now)
        names = sorted({each.domain for each in self._loads.firsts()} - {self._domain})
        found = {name: self._view(model, name, limits, now) for name in names}
        others = {name: each for name, each in found.items() if each is not None}
        if others:
            self._update_outflow(departure, limits, own, others, now)
        if not others or (own_choices and not departure.outflow.share):
            return own_choices or self._least_late(own, unfavoured)
        chosen = self._domain
        wanted = departure.outflow.share if own_choices else 1.0
        if self._may_leave(wanted, own, others, now):
            outlooks = [each.outlook(name, tokens) for name, each in others.items()]
            own_outlook = own.outlook(self._domain, tokens) if own is not None else None
            outlook = choose_domain(own_outlook, outlooks, limits, self._random)
            chosen = outlook.domain if outlook is not None else self._domain
        else:
            self._count("domain.kept")
        if chosen != self._domain:
            view = others[chosen]
            remote = self._timely(model, chosen, view.paths, limits, tokens, unfavoured, now)
            remote = remote or self._least_late(view, unfavoured)
            if remote:
                self._count("domain.remote")
                return remote
        return own_choices or self._least_late(own, unfavoured)

    def _may_leave(
        self, wanted: float, own: _View | None, others: Mapping[str, _View], now: float
    ) -> bool:
        """Return whether this request may leave the domain, given what the others have free.

        Args:
          wanted: the share of such requests that should leave.
          own: the view of this process's domain, None if it has no path.
          others: those of the other domains.
          now: the current time.
        """
        if own is None:
            return True
        # Requests of all processes until the next report, and those of them whose callers are in
        # this domain: by its streams, which are few after a loss, but at least its equal share.
        elsewhere = sum(each.streams for each in others.values())
        domain_share = max(1 / (1 + len(others)), own.streams / max(1.0, own.streams + elsewhere))
        requests = self._loads.own_rate * REPORT_SECONDS / self._traffic.share * domain_share
        requests += self._interrupted_in(self._domain).restarting(now)
        free = sum(each.free for each in others.values())
        return self._random.random() < min(wanted, free_share(free, requests))

    def _departure(self, limits: RouteLimits) -> _Departure:
        departure = self._departures.get(limits)
        if departure is None:
            departure = _Departure()
            put_bounded(self._departures, limits, departure, MAX_ROUTES)
        return departure

    def _update_outflow(
        self,
        departure: _Departure,
        limits: RouteLimits,
        own: _View | None,
        others: Mapping[str, _View],
        now: float,
    ) -> None:
        """Update the share of requests that leave; log when the first leaves and the last returns.

        Upstreams that one request must avoid, or that refused one, don't count here.
        """
        strain = own.strain if own is not None else float("inf")
        before, departure.outflow = departure.outflow, departure.outflow.next(strain, now)
        has_left = departure.outflow.share > 0
        if has_left == (before.share > 0):
            return
        self._count("domain.left" if has_left else "domain.returned")
        # A return is logged if the departure was.
        if now < departure.next_log_at if has_left else not departure.is_logged:
            return
        departure.is_logged = has_left
        departure.next_log_at = now + LOG_INTERVAL_SECONDS
        self._log(
            "domain-left" if has_left else "domain-returned",
            service=self._service,
            domain=self._domain,
            objective=limits.objective,
            strain=round(strain, 2) if own is not None else None,
            streams=round(own.streams) if own is not None else 0,
            restarting=round(self._interrupted_in(self._domain).prefilling(now)),
            free={name: round(min(each.free, MAX_LOGGED)) for name, each in others.items()},
        )

    def _paths_of(self, model: ModelSpec, domain: str, now: float) -> list[LayerPath]:
        """Return the paths inside a domain; record the streams of those that were lost."""
        paths = self._loads.path_set(model).paths_inside(domain)
        known = self._known.get(domain)
        if (
            known is not None
            and known[1] is not paths
            and (domain == self._domain or now - known[0] < KNOWN_TTL_SECONDS)
        ):
            self._note_losses(domain, *known[1:], now)
        self._known[domain] = now, paths, self._loads.stream_counts(domain)
        return paths

    def _note_losses(
        self, domain: str, paths: list[LayerPath], counts: StreamCounts, now: float
    ) -> None:
        """Record the streams on paths over lost upstreams, by their counts before the loss."""
        names = {name for path in paths for name in path.instances}
        lost = {name for name in names if self._loads.is_lost(name)}
        restarted = moved = 0.0
        for path in paths if lost else ():
            first = path.stages[0].instance
            streams = counts.beginning_at.get(first, 0.0)
            if first in lost:
                restarted += streams
            elif path.instances & lost:
                moved += streams
        total = sum(counts.beginning_at.values())
        self._interrupted_in(domain).note(restarted, moved, total, now)

    def _interrupted_in(self, domain: str) -> InterruptedStreams:
        return self._interrupted.setdefault(domain, InterruptedStreams())

    def _timely(
        self,
        model: ModelSpec,
        domain: str,
        paths: list[LayerPath],
        limits: RouteLimits,
        tokens: float,
        unfavoured: Set[str],
        now: float,
    ) -> list[LayerPath]:
        """Return the preferred paths of a domain that have room to spare for a request.

        Each path is evaluated only if those before it don't suffice.
        """
        fill = FILL_FROM_INSIDE if domain == self._domain else FILL_FROM_OUTSIDE
        preferred = self._preferred.get(domain)
        if preferred is None or preferred[0] is not paths:
            preferred = paths, preferred_paths(paths, self._process, len(paths))
            self._preferred[domain] = preferred
        usable = (each for each in preferred[1] if not each.instances & unfavoured)
        timely = (
            each.path
            for each in self._prospects(model, domain, usable, len(paths), now)
            if each.utilization < fill
            and strain_of(each.forecast_for(tokens), limits) <= LEAVE_STRAIN
        )
        return list(islice(timely, MAX_PREFERRED_PATHS))

    def _prospects(
        self,
        model: ModelSpec,
        domain: str,
        paths: Iterable[LayerPath],
        path_count: int,
        now: float,
    ) -> Iterator[_Prospect]:
        """Yield the prospects of some of the paths inside a domain."""
        counts = self._loads.stream_counts(domain)
        interrupted = self._interrupted_in(domain)
        restarting = interrupted.restarting(now)
        scale = (
            1.0 + restarting / max(1.0, sum(counts.beginning_at.values())) if restarting else 1.0
        )
        # The tokens so far of streams that run again are processed like prompts.
        prompts = interrupted.prefilling(now) / max(1, path_count)
        prompts *= model.usual_tokens / max(1.0, model.usual_prompt)
        for path in paths:
            profile = self._loads.profile(model, path)
            utilization = scale * self._loads.utilization(path, counts)
            queued = prompts + self._loads.watch.queued(path.stages[0].instance)
            forecast = profile.forecast(counts.passing, 0.0, queued, scale)
            # As many requests as exceed the slots must end before the next one begins.
            slot_wait = max(0.0, utilization - 1.0) * path.cost / 1000
            forecast = PathForecast(forecast.first_event + slot_wait, forecast.pause)
            yield _Prospect(path, profile, utilization, forecast)

    def _view(self, model: ModelSpec, domain: str, limits: RouteLimits, now: float) -> _View | None:
        """Return what a domain offers, None if no path runs inside it; computed anew at times."""
        paths = self._paths_of(model, domain, now)
        view = self._views.get((domain, limits))
        if view is not None and view.paths is paths and now - view.at < OUTLOOK_TTL_SECONDS:
            return view
        prospects = list(self._prospects(model, domain, paths, len(paths), now))
        if not prospects:
            return None
        counts = self._loads.stream_counts(domain)
        strain = float("inf")
        rooms: list[PathRoom] = []
        for each in prospects:
            forecast = each.forecast_for(model.usual_prompt)
            slot_strain = each.utilization * LEAVE_STRAIN / FILL_FROM_INSIDE
            strain = min(strain, max(slot_strain, strain_of(forecast, limits)))
            # What later stages and times allow doesn't matter where no slot is free.
            slots = self._loads.free_slots(each.path, counts, FILL_FROM_OUTSIDE)
            if slots > 0:
                rooms.append(self._room(each, forecast, slots, limits, counts))
        free = free_streams(rooms) - self._interrupted_in(domain).restarting(now)
        streams = sum(counts.beginning_at.values())
        view = _View(now, paths, prospects, strain, max(0.0, free), streams)
        put_bounded(self._views, (domain, limits), view, MAX_ROUTES)
        return view

    def _room(
        self,
        prospect: _Prospect,
        forecast: PathForecast,
        slots: float,
        limits: RouteLimits,
        counts: StreamCounts,
    ) -> PathRoom:
        passing = counts.passing
        memory = [
            (instance, FILL_FROM_OUTSIDE * capacity - passing.get(instance, 0.0))
            for instance, capacity in self._loads.stage_capacities(prospect.path)
        ]
        timely = prospect.profile.timely_streams(
            forecast, LEAVE_STRAIN * limits.objective, LEAVE_STRAIN * limits.max_pause
        )
        return PathRoom(slots, timely, tuple(memory))

    def _least_late(self, view: _View | None, unfavoured: Set[str]) -> list[LayerPath]:
        """Return the paths of a domain with the soonest first events."""
        if view is None:
            return []
        usable = [each for each in view.prospects if not each.path.instances & unfavoured]
        usable.sort(key=lambda each: each.forecast.first_event)
        return [each.path for each in usable[:MAX_PREFERRED_PATHS]]
