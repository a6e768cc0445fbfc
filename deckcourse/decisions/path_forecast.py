"""Prediction of when a path delivers a request's first event, and of the pauses between events.

Load pattern: after a loss, the remaining paths run more streams and process more prompts. Each
further stream lengthens every token step, and each queued prompt delays the events of running
streams, so that a request may begin on a path and still miss its route's objective or pause.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from deckcourse.layers.model import HOP_MS, ModelSpec

__all__ = ["PathForecast", "StageLoad", "forecast_path", "prefill_ms"]


@dataclass(frozen=True)
class StageLoad:
    """The load of one stage of a path.

    Attributes:
      kind: the accelerator.
      layers: the layers that the path runs there.
      pace: the factor by which the upstream is slower than usual.
      streams: the streams that it runs.
      queued_tokens: the tokens that wait for prefill there.
    """

    kind: str
    layers: int
    pace: float = 1.0
    streams: float = 0.0
    queued_tokens: float = 0.0


@dataclass(frozen=True)
class PathForecast:
    """The predicted times of a request on a path, seconds.

    Attributes:
      first_event: from its dispatch to its first event.
      pause: the usual pause between two of its events.
    """

    first_event: float
    pause: float


def prefill_ms(model: ModelSpec, kind: str, layers: int, tokens: float) -> float:
    """Return the time of processing prompt tokens in some layers of an accelerator, ms."""
    pairs_ms = tokens**2 / 2 / 1_000_000 * model.pairs_ms
    full_ms = tokens / model.prefill_per_ms + pairs_ms
    return model.kind_of(kind).prefill_factor * full_ms * layers / model.layers


def forecast_path(
    model: ModelSpec, stages: Sequence[StageLoad], prompt_tokens: float, delay: float = 0.0
) -> PathForecast:
    """Return the predicted times of a request on a path.

    Prompts are processed in chunks between the token steps of running streams, so a stage with
    queued prompts delays each event by at most one chunk.

    Args:
      model: the model.
      stages: the stages of the path, with the load that they have without the request.
      prompt_tokens: the tokens of its prompt.
      delay: the time that the links between failure domains add to each token, seconds.
    """
    step_ms = HOP_MS * max(0, len(stages) - 1) + delay * 1000
    chunk_ms = 0.0
    prompt_ms = 0.0
    queue_ms = 0.0
    for each in stages:
        share = each.layers / model.layers
        step_ms += each.pace * share * model.token_ms(each.kind, each.streams + 1)
        chunk = min(each.queued_tokens, model.prefill_chunk)
        chunk_ms += each.pace * prefill_ms(model, each.kind, each.layers, chunk)
        prompt_ms += each.pace * prefill_ms(model, each.kind, each.layers, prompt_tokens)
        # Stages work at the same time, so that the longest queue counts, not their sum.
        queue_ms = max(
            queue_ms, each.pace * prefill_ms(model, each.kind, each.layers, each.queued_tokens)
        )
    pause_ms = step_ms * model.event_tokens + chunk_ms
    # A new request waits on average for half of a pass.
    first_ms = queue_ms + prompt_ms + pause_ms / 2 + step_ms
    return PathForecast(first_ms / 1000, pause_ms / 1000)
