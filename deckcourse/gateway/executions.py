"""The upstreams that may have executed one request, against the number that its route allows.

The promise is about what was sent: an upstream counts from the moment at which the request is sent
to it, whatever is believed of it later. One that is silent, suspected or no longer listed may still
go on with the request; only its known end takes it out of the count.
"""

from collections.abc import Callable, Collection

import trio

from deckcourse.gateway.admitted import EarlierExecutions

__all__ = ["Executions"]


class Executions:
    """Counts the upstreams that may have executed one request.

    Args:
      allowed: the largest number of upstreams that the route allows.
      has_ended: returns whether an upstream is known to have ended since a time on trio's clock.
      earlier: the executions before a peer handed the request over. The peer has counted those
        upstreams: they may execute it again, and only further ones are counted here.
    """

    def __init__(
        self,
        allowed: int,
        has_ended: Callable[[str, float], bool] = lambda instance, since: False,
        earlier: EarlierExecutions | None = None,
    ) -> None:
        self._allowed = allowed
        self._has_ended = has_ended
        self._runs = 0
        self._counted_elsewhere: frozenset[str] = frozenset()
        # How many runs each upstream may have executed, and when the latest was sent to it.
        self._runs_at: dict[str, int] = {}
        self._sent_at: dict[str, float] = {}
        # Upstreams that peers which were lost since were allowed to use.
        self._granted = 0
        self._earlier = earlier or EarlierExecutions()
        if earlier is not None:
            self._runs = earlier.count
            self._allowed = min(allowed, earlier.allowance)
            self._counted_elsewhere = frozenset(earlier.instances)
            self._add(earlier.instances)

    @property
    def runs(self) -> int:
        """How often the request may have been executed."""
        return self._runs

    @property
    def instances(self) -> tuple[str, ...]:
        """The upstreams that may have executed it and aren't known to have ended."""
        ended = [each for each, at in self._sent_at.items() if self._has_ended(each, at)]
        for instance in ended:
            del self._runs_at[instance], self._sent_at[instance]
        return tuple(sorted(self._runs_at))

    @property
    def allowance(self) -> int:
        """How many further upstreams may execute it."""
        counted = len(set(self.instances) - self._counted_elsewhere) + self._granted
        return max(0, self._allowed - counted)

    @property
    def candidates(self) -> frozenset[str] | None:
        """The upstreams that may execute it next, None for any.

        One that may have executed it already may do so again.
        """
        return None if self.allowance else frozenset(self.instances)

    def note_sent(self, instance: str) -> None:
        """Record that the request is sent to an upstream, which may execute it from now on."""
        self._runs += 1
        self._runs_at[instance] = self._runs_at.get(instance, 0) + 1
        self._sent_at[instance] = trio.current_time()
        self._earlier.on_sent(instance)

    def note_not_executed(self, instance: str) -> None:
        """Record that an upstream did not execute the request that was sent to it last."""
        self._runs -= 1
        self._runs_at[instance] = self._runs_at.get(instance, 0) - 1
        if self._runs_at[instance] <= 0:
            del self._runs_at[instance]
            self._sent_at.pop(instance, None)
            self._earlier.on_not_executed(instance)

    def note_lost_handover(self, granted: int, named: Collection[str]) -> None:
        """Record that a peer was lost that may have had the request executed.

        All that was granted counts for good: the peer may have used others in place of named
        upstreams that have ended.

        Args:
          granted: how many further upstreams the peer was allowed to use.
          named: the upstreams that it had named as those that may have executed the request. They
            may do so again.
        """
        self._runs += 1
        self._granted += granted
        added = frozenset(named) - self._runs_at.keys()
        self._counted_elsewhere |= added
        self._add(added)

    def note_ended_handover(self, named: Collection[str]) -> None:
        """Record the end of a handover that was not successful.

        Args:
          named: all upstreams that may have executed the request there.
        """
        self._runs += 1
        self._add(frozenset(named) - self._runs_at.keys())

    def _add(self, instances: Collection[str]) -> None:
        self._runs_at |= dict.fromkeys(instances, 1)
        self._sent_at |= dict.fromkeys(instances, trio.current_time())
