"""The part of a path's forecast that doesn't depend on load, so that it is computed once.

Load pattern: while a failure domain is short of capacity, each request compares all paths of all
domains, up to 40 of 18 stages each, in a process that has a third of a core. With a profile, a
forecast is one multiplication for each stage.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from deckcourse.decisions.path_forecast import PathForecast, StageLoad
from deckcourse.layers.model import HOP_MS, ModelSpec

__all__ = ["PathProfile", "profile_path"]


@dataclass(frozen=True)
class PathProfile:
    """What a forecast of a path needs besides the load; times in milliseconds.

    Attributes:
      model: the model.
      step_ms: the time of a token step if the path runs no other stream.
      stream_ms: by upstream, what each stream that it runs adds to a step.
      prefill_weight: the prefill time of the path relative to that of the fastest accelerator.
      max_prefill_weight: the same of its slowest stage.
    """

    model: ModelSpec
    step_ms: float
    stream_ms: tuple[tuple[str, float], ...]
    prefill_weight: float
    max_prefill_weight: float

    def prompt_seconds(self, tokens: float) -> float:
        """Return the prefill time of a request's prompt on the path."""
        return self.prefill_weight * _full_prefill_ms(self.model, tokens) / 1000

    def timely_streams(self, forecast: PathForecast, objective: float, max_pause: float) -> float:
        """Return with how many more streams the predicted times stay within some bounds.

        Args:
          forecast: the prediction without them.
          objective: the bound on the first event, seconds; 0 for none.
          max_pause: the bound on the pause, seconds; 0 for none.
        """
        first_left = objective - forecast.first_event if objective else float("inf")
        pause_left = max_pause - forecast.pause if max_pause else float("inf")
        if first_left <= 0 or pause_left <= 0:
            return 0.0
        stream_step = sum(each for _, each in self.stream_ms) / 1000
        if not stream_step:
            return float("inf")
        event_step = self.model.event_tokens * stream_step
        return min(first_left / (event_step / 2 + stream_step), pause_left / event_step)

    def forecast(
        self,
        streams: Mapping[str, float],
        prompt_tokens: float,
        queued_prompts: float = 0.0,
        scale: float = 1.0,
    ) -> PathForecast:
        """Return the predicted times of one more request, as `forecast_path` does.

        Args:
          streams: the streams that each upstream runs.
          prompt_tokens: the tokens of the request's prompt.
          queued_prompts: the usual prompts that wait for prefill at the first stage.
          scale: the factor by which the stream counts are too low.
        """
        model = self.model
        step_ms = self.step_ms + scale * sum(
            [each * streams.get(instance, 0.0) for instance, each in self.stream_ms]
        )
        usual_ms = _full_prefill_ms(model, model.usual_prompt)
        chunk = min(queued_prompts * model.usual_prompt, model.prefill_chunk)
        chunk_ms = self.prefill_weight * _full_prefill_ms(model, chunk) if chunk else 0.0
        # Queued prompts are processed one by one, so pairs of tokens of two prompts don't count.
        queue_ms = self.max_prefill_weight * queued_prompts * usual_ms
        prompt_ms = self.prefill_weight * _full_prefill_ms(model, prompt_tokens)
        pause_ms = step_ms * model.event_tokens + chunk_ms
        first_ms = queue_ms + prompt_ms + pause_ms / 2 + step_ms
        return PathForecast(first_ms / 1000, pause_ms / 1000)


def profile_path(model: ModelSpec, stages: Mapping[str, StageLoad], delay: float) -> PathProfile:
    """Return the profile of a path.

    Args:
      model: the model.
      stages: the stages by upstream; their loads are ignored.
      delay: the time that the links between failure domains add to each token, seconds.
    """
    step_ms = HOP_MS * max(0, len(stages) - 1) + delay * 1000
    stream_ms: list[tuple[str, float]] = []
    weights: list[float] = []
    for instance, each in stages.items():
        share = each.pace * each.layers / model.layers
        first_stream_ms = model.token_ms(each.kind, 1.0)
        per_stream_ms = model.token_ms(each.kind, 2.0) - first_stream_ms
        step_ms += share * first_stream_ms
        stream_ms.append((instance, share * per_stream_ms))
        weights.append(share * model.kind_of(each.kind).prefill_factor)
    return PathProfile(model, step_ms, tuple(stream_ms), sum(weights), max(weights, default=0.0))


def _full_prefill_ms(model: ModelSpec, tokens: float) -> float:
    """Return the prefill time of some tokens in all layers of the fastest accelerator, ms."""
    return tokens / model.prefill_per_ms + tokens**2 / 2 / 1_000_000 * model.pairs_ms
