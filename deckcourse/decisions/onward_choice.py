"""The choice of a running stream's new path after hosts of its path were lost.

Load pattern: the loss of four hosts interrupts 30 to 80 streams at dozens of processes within
50 ms. Stages new to a stream prefill all its tokens so far, 10 to 20 ms a stream; if all processes
take the cheapest path, its hosts run that prefill for one stream after the other.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from deckcourse.decisions.path_forecast import StageLoad, forecast_path, prefill_ms
from deckcourse.layers.model import ModelSpec

__all__ = ["OnwardForecast", "OnwardStage", "draw_onward", "forecast_onward", "move_rank"]

# Streams whose time left differs by less count as equally urgent: the prefill of one moved stream
# takes 10 to 20 ms, so the one with fewer tokens goes first and delays the other by less.
SAME_URGENCY_MS = 10.0


@dataclass(frozen=True)
class OnwardStage:
    """A stage of a candidate path as a moved stream meets it.

    Attributes:
      instance: the upstream.
      load: its load; `queued_tokens` isn't used.
      new_layers: the layers that the stream has not run there so far.
      queued_ms: the prefill that is queued there, milliseconds.
    """

    instance: str
    load: StageLoad
    new_layers: int
    queued_ms: float = 0.0


@dataclass(frozen=True)
class OnwardForecast:
    """What a move to a candidate path costs until the stream's next event, milliseconds.

    Attributes:
      new_layers: the layers in which the stream's tokens are processed again.
      prefill_ms: the time of that at each upstream with new layers.
      queue_ms: the wait for prefill that is queued before it.
      step_ms: the time of the tokens of the next event.
    """

    new_layers: int
    prefill_ms: Mapping[str, float]
    queue_ms: float
    step_ms: float

    @property
    def next_event_ms(self) -> float:
        """The time from the move until the next event."""
        return sum(self.prefill_ms.values()) + self.queue_ms + self.step_ms


def forecast_onward(
    model: ModelSpec, stages: Sequence[OnwardStage], tokens: float
) -> OnwardForecast:
    """Return the predicted cost of a move to a path.

    Args:
      model: the model.
      stages: the stages of the path.
      tokens: the tokens that the stream holds so far.
    """
    prefill: dict[str, float] = {}
    queue_ms = chunk_ms = 0.0
    for each in stages:
        load = each.load
        if each.new_layers:
            prefill[each.instance] = load.pace * prefill_ms(
                model, load.kind, each.new_layers, tokens
            )
            # Hosts work at the same time, so that the longest queue counts, not their sum.
            queue_ms = max(queue_ms, each.queued_ms)
        elif each.queued_ms:
            # Queued prefill runs in chunks between token steps.
            chunk = prefill_ms(model, load.kind, load.layers, model.prefill_chunk)
            chunk_ms += min(each.queued_ms, load.pace * chunk)
    step_ms = forecast_path(model, [each.load for each in stages], 0.0).pause * 1000
    return OnwardForecast(
        sum(each.new_layers for each in stages), prefill, queue_ms, step_ms + chunk_ms
    )


def draw_onward(forecasts: Sequence[OnwardForecast], moves: float, random: Random) -> int:
    """Return the index of the candidate to take, drawn between the two best.

    Processes can't see each other's moves in time. So each draws with the probability at which the
    expected moves of all processes finish at the same time on both candidates. Of more than two
    candidates that those moves would make equal, each stream draws its own pair. Candidates that
    need more prefill than a cheaper one, and none less, aren't considered.

    Args:
      forecasts: the candidates, at least one.
      moves: the moves that all processes are expected to make now, this one included.
      random: the random number generator.
    """
    order = sorted(range(len(forecasts)), key=lambda each: forecasts[each].next_event_ms)
    ranked: list[int] = []
    for index in order:
        if not any(_relieves(forecasts[each], forecasts[index]) for each in ranked):
            ranked.append(index)
    best = forecasts[ranked[0]]
    reach_ms = best.next_event_ms + moves * max(best.prefill_ms.values(), default=0.0) / 2
    near = [each for each in ranked if forecasts[each].next_event_ms <= reach_ms]
    pair = random.sample(near, 2) if len(near) > 2 else ranked[:2]
    if len(pair) < 2:
        return pair[0]
    first, second = pair
    share = _balanced_share(forecasts[first], forecasts[second], moves)
    return first if random.random() < share else second


def _relieves(cheaper: OnwardForecast, other: OnwardForecast) -> bool:
    """Return whether a cheaper candidate needs no more prefill at any host than another one."""
    return all(ms <= other.prefill_ms.get(name, 0.0) for name, ms in cheaper.prefill_ms.items())


def _balanced_share(one: OnwardForecast, other: OnwardForecast, moves: float) -> float:
    """Return the share of the moves to `one` with which both candidates take equally long.

    A host with new layers on both paths gets all the moves either way and doesn't count.
    """
    one_ms = _busiest_apart(one, other) * moves
    other_ms = _busiest_apart(other, one) * moves
    ahead_ms = other.next_event_ms - one.next_event_ms
    if one_ms + other_ms <= 0.0:
        return 1.0 if ahead_ms >= 0.0 else 0.0
    return min(1.0, max(0.0, (ahead_ms + other_ms) / (one_ms + other_ms)))


def _busiest_apart(one: OnwardForecast, other: OnwardForecast) -> float:
    """Return the longest prefill of a candidate at a host where the other one has none."""
    apart = (ms for name, ms in one.prefill_ms.items() if name not in other.prefill_ms)
    return max(apart, default=0.0)


def move_rank(left_ms: float, tokens: float, least_ms: float) -> tuple[bool, float, float]:
    """Return the rank of a stream among those to be moved; the lowest is moved first.

    Streams that miss their pause in any case come last: their prefill would only delay those that
    can still make it.

    Args:
      left_ms: the time until the stream's maximum pause is over.
      tokens: the tokens that it holds so far.
      least_ms: the least time from a move until its next event.
    """
    return left_ms < least_ms, left_ms // SAME_URGENCY_MS, tokens
