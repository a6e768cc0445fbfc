"""Replaces the lost stages of a running path by the same layers of other paths.

A path may run any part of the layers that a host holds, so a lost stage can be replaced by the
stages of another path, cut to its layers, without a search.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace

from deckcourse.layers.paths import MAX_STAGES, LayerPath, PathStage, append_stage

__all__ = ["spliced_path"]


def spliced_path(
    running: LayerPath, others: Sequence[LayerPath], is_usable: Callable[[PathStage], bool]
) -> LayerPath | None:
    """Return a running path in which other paths run the layers of unusable stages.

    Args:
      running: the path; its first stage stays.
      others: the other paths; for each unusable stage the first one that is usable there is taken.
      is_usable: returns whether a stage can be used.

    Returns:
      The path, None if no other path is usable for some stage.
    """
    stages = list(running.stages[:1])
    for stage in running.stages[1:]:
        replacement: Sequence[PathStage] | None = (stage,)
        if not is_usable(stage):
            cuts = (list(_cut(other, stage)) for other in others)
            replacement = next((each for each in cuts if all(map(is_usable, each))), None)
        if not replacement:
            return None
        for each in replacement:
            append_stage(stages, each)
    whole = stages[0] == running.stages[0] and stages[-1].end == running.stages[-1].end
    return replace(running, stages=tuple(stages)) if whole and len(stages) <= MAX_STAGES else None


def _cut(path: LayerPath, stage: PathStage) -> Iterator[PathStage]:
    """Return the stages of a path, cut to the layers of a stage."""
    for each in path.stages[1:]:
        first, end = max(each.first, stage.first), min(each.end, stage.end)
        if first < end:
            yield replace(each, first=first, end=end)
