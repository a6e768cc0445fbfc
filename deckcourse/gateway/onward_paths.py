"""Candidate paths for the streams that run on a path, found before its hosts are lost.

Load pattern: when hosts are lost, a process with a third of a core moves its streams within some
milliseconds. Paths over other replicas are searched while nothing has to be moved; at the moment of
a loss, what can't be used is left out and lost stages are replaced.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from deckcourse.gateway.active_stream import ActiveStream
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.path_splice import spliced_path
from deckcourse.layers.paths import LayerPath, PathStage

__all__ = ["OnwardPaths"]

# Bound on the paths of running streams for which others are kept: a process uses three first stages
# of its domain as a rule, and some more while streams are moved.
MAX_RUNNING_PATHS = 32
# Below this number of candidates, paths are searched at the moment of the loss: with a single one,
# all processes would move their streams to the same hosts.
MIN_CANDIDATES = 2

_Key = tuple[str, LayerPath]


@dataclass(frozen=True)
class _Replicas:
    """Paths over other replicas, and the state of the upstream table that they were found in."""

    paths: tuple[LayerPath, ...]
    changes: int


class OnwardPaths:
    """The candidate paths of running streams.

    Args:
      upstreams: the upstreams that this process knows.
      choices: returns the path choice of a service.
      count: increments the counter of a name.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        choices: Callable[[str], PathChoice],
        count: Callable[[str], None],
    ) -> None:
        self._upstreams = upstreams
        self._choices = choices
        self._count = count
        self._replicas: dict[_Key, _Replicas] = {}

    def prepare_one(self, streams: Iterable[ActiveStream]) -> bool:
        """Search the replicas of one running path that lacks current ones; return whether it did.

        Those of paths on which no stream runs any more are forgotten.
        """
        # Most streams share a few path objects, and hashing a path visits all its stages.
        by_object = {(each.service, id(each.path)): each for each in streams}
        running = {(each.service, each.path): each for each in by_object.values()}
        self._replicas = {key: each for key, each in self._replicas.items() if key in running}
        changes = self._upstreams.change_count
        for key, stream in running.items():
            known = self._replicas.get(key)
            if known is None and len(self._replicas) >= MAX_RUNNING_PATHS:
                continue
            if known is None or known.changes != changes:
                paths = self._search(stream, frozenset())
                self._replicas[key] = _Replicas(tuple(paths), changes)
                return True
        return False

    def candidates(self, stream: ActiveStream, avoid: frozenset[str]) -> list[LayerPath]:
        """Return the paths inside its domain that a stream can be moved to.

        Args:
          stream: the stream.
          avoid: upstreams that no path may use behind the first stage.
        """
        known = self._replicas.get((stream.service, stream.path))
        found = self._usable_paths(stream, known.paths, avoid) if known is not None else []
        if len(found) < MIN_CANDIDATES:
            self._count("move.searched")
            searched = self._search(stream, avoid)
            stages = {each.stages for each in found}
            usable = self._usable_paths(stream, searched, avoid)
            found += [each for each in usable if each.stages not in stages]
        return found

    def _search(self, stream: ActiveStream, avoid: frozenset[str]) -> list[LayerPath]:
        return self._choices(stream.service).paths_after(stream.path, stream.model, avoid)

    def _usable_paths(
        self, stream: ActiveStream, replicas: Iterable[LayerPath], avoid: frozenset[str]
    ) -> list[LayerPath]:
        """Return the running path with lost stages replaced by replicas.

        Whole paths over replicas, which need more prefill, are added if there are few others. A
        path that leaves its domain is not repaired: the link between domains is narrow.
        """
        running, others = stream.path, list(replicas)

        def is_usable(stage: PathStage) -> bool:
            return stage.instance not in avoid and self._is_held(stage)

        paths: list[LayerPath | None] = []
        if not running.crossings:
            paths += [
                spliced_path(running, others[index:] + others[:index], is_usable)
                for index in range(len(others))
            ]
        distinct = {each.stages: each for each in paths if each is not None}
        if len(distinct) < MIN_CANDIDATES:
            whole = (each for each in others if all(map(is_usable, each.stages[1:])))
            distinct |= {each.stages: each for each in whole}
        distinct.pop(running.stages, None)
        return list(distinct.values())

    def _is_held(self, stage: PathStage) -> bool:
        """Return whether an upstream that may get requests holds the layers of a stage."""
        row = self._upstreams.get(stage.instance)
        return (
            row is not None
            and row.address == stage.address
            and row.first <= stage.first
            and stage.end <= row.end
            and not self._upstreams.is_leaving(row)
            and not self._upstreams.is_suspected(stage.instance)
        )
