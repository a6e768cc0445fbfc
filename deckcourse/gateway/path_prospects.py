"""What the paths of a service offer one more request, by load reports and what happened since.

Load pattern: load reports are some 0.4 s old, and during a shortage hundreds of processes wait for
the few slots that each report shows as free.
"""

from random import Random

from deckcourse.decisions.admission_order import Prospect, SharedRoom
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath

__all__ = ["PathProspects"]

# Predicted time to the first event above which it matters whether load is the cause: callers give
# up after two seconds without data.
SLOW_FIRST_EVENT_SECONDS = 1.0


class PathProspects:
    """Returns what paths of one service offer.

    Args:
      choice: the choice of paths of the service, with the known load.
      upstreams: the upstreams that this process knows.
      traffic: this process's share of all traffic.
      random: draws which processes take the free slots that are fewer than the processes.
    """

    def __init__(
        self, choice: PathChoice, upstreams: UpstreamTable, traffic: TrafficShare, random: Random
    ) -> None:
        self._choice = choice
        self._upstreams = upstreams
        self._traffic = traffic
        self._random = random
        # For each first upstream, when its latest report was queried and a number drawn for it.
        self._draws: dict[str, tuple[float, float]] = {}

    def find(
        self,
        model: ModelSpec,
        path: LayerPath,
        prompt_tokens: float,
        max_pause: float,
        arrivals_per_second: float,
    ) -> Prospect:
        """Return what a path offers one more request.

        Args:
          model: the requested model.
          path: the path.
          prompt_tokens: the tokens of its prompt, 0 for a usual one.
          max_pause: the longest pause that its route allows, seconds; 0 for none.
          arrivals_per_second: the rate at which requests of the service come to this process.
        """
        forecast = idle = self._choice.forecast(model, path, prompt_tokens)
        # The limit of the pause is lower during a shortage, but at least half of it.
        if forecast.first_event > SLOW_FIRST_EVENT_SECONDS or forecast.pause > max_pause / 2 > 0:
            idle = self._choice.forecast(model, path, prompt_tokens, is_idle=True)
        first = path.stages[0].instance
        utilization = self._choice.utilization(path)
        duration = model.usual_answer * forecast.pause / model.event_tokens
        shared = self._shared_room(
            first,
            self._choice.beginning_at_first(path),
            utilization,
            arrivals_per_second * duration,
        )
        if shared is not None:
            utilization = shared.estimated_utilization
        return Prospect(
            forecast.first_event,
            forecast.pause,
            idle.first_event,
            idle.pause,
            utilization,
            duration,
            self._choice.refused_for(path),
            shared,
            shared.share * self._choice.load_watch.total() / duration if shared else 0.0,
        )

    def _shared_room(
        self, first: str, begun: float, utilization: float, demand: float
    ) -> SharedRoom | None:
        """Return the reported free capacity of a path, None if nothing was reported.

        Args:
          first: the first upstream of the path.
          begun: the streams that begin there, with the estimate of those not yet reported.
          utilization: the requests per slot, with the same.
          demand: the requests that this process would have in flight if none waited.
        """
        watch = self._choice.load_watch
        reported_at = watch.reported_at(first)
        row = self._upstreams.get(first)
        if reported_at is None or row is None:
            return None
        if self._draws.get(first, (None, 0.0))[0] != reported_at:
            self._draws[first] = reported_at, self._random.random()
        sent = watch.sent(first)
        # By its requests in flight alone, a process that has just started would never get a share.
        share = max(self._traffic.share, min(1.0, demand / max(1.0, watch.total())))
        reported = max(0.0, begun - watch.unreported(first))
        return SharedRoom(
            utilization * reported / begun if begun else 0.0,
            begun / utilization if begun and utilization else float(max(1, row.slots)),
            share,
            sent,
            watch.ended(first),
            self._draws[first][1],
        )
