"""Load of paths, computed from the stream counts that first stages report.

Load pattern: several paths share upstreams after their first stages, and the first stage of one
path may be a later stage of others. An upstream reports all streams that it runs, whether they
start there or not, but limits only those that start there. Using reported counts directly would
count streams on shared upstreams twice: every path would look full, and one first stage would queue
requests while others are at half its load.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from deckcourse.layers.paths import LayerPath

__all__ = ["passing_first_stages", "streams_by_upstream", "streams_started_at"]

# Iterations until the counts converge: a first stage is passed by paths that start before it, and
# sites have three first stages a copy.
ITERATIONS = 4


def passing_first_stages(paths: Sequence[LayerPath]) -> dict[str, list[str]]:
    """Return for each first stage that other paths pass through, the first stages of those."""
    firsts = {path.stages[0].instance: path for path in paths}
    passers_of: dict[str, list[str]] = defaultdict(list)
    for name, path in firsts.items():
        for passed in path.instances & firsts.keys() - {name}:
            passers_of[passed].append(name)
    # In path order: counts of later first stages are corrected with those of earlier ones.
    return {passed: passers_of[passed] for passed in firsts if passed in passers_of}


def streams_started_at(
    paths: Sequence[LayerPath],
    reported_streams: Callable[[str], float],
    passed_by: Mapping[str, Sequence[str]] | None = None,
) -> dict[str, float]:
    """Return the number of streams that start at each first stage.

    Args:
      paths: one from each first stage; all processes compute the same paths, and most streams use
        them.
      reported_streams: returns the number of streams that an upstream runs, wherever they start.
      passed_by: the `passing_first_stages` of the paths, if they were computed before.
    """
    reported = {
        path.stages[0].instance: reported_streams(path.stages[0].instance) for path in paths
    }
    started = dict(reported)
    passers_by_stage = passing_first_stages(paths) if passed_by is None else passed_by
    for _ in range(ITERATIONS):
        for stage, names in passers_by_stage.items():
            passing_streams = sum([started[name] for name in names])
            started[stage] = max(0.0, reported[stage] - passing_streams)
    return started


def streams_by_upstream(
    paths: Sequence[LayerPath], started: Mapping[str, float]
) -> Mapping[str, float]:
    """Return the number of streams at each upstream of the paths, wherever they start.

    Args:
      paths: one from each first stage.
      started: the number of streams that start at each first stage.
    """
    streams_at: dict[str, float] = defaultdict(float)
    for path in paths:
        count = started.get(path.stages[0].instance, 0.0)
        for part in path.stages:
            streams_at[part.instance] += count
    return streams_at
