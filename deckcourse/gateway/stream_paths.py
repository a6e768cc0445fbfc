"""The paths that one stream may take next, given where it may have run and what is in progress."""

from functools import partial

import trio

from deckcourse.decisions.domain_choice import RouteLimits
from deckcourse.gateway.active_stream import Interruption
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.stream_attempts import StreamAttempts
from deckcourse.gateway.stream_retries import MAX_PAUSE_SECONDS
from deckcourse.gateway.stream_state import AttemptResult, StreamState
from deckcourse.layers.paths import LayerPath

__all__ = ["PATH_SEARCH_INTERVAL_SECONDS", "StreamPaths"]

# Interval between two searches for a path for a stream whose response has started.
PATH_SEARCH_INTERVAL_SECONDS = 0.03


class StreamPaths:
    """Finds paths for the attempts of one stream.

    Args:
      context: the objects that requests share.
      admitted: the stream's request.
      state: what is known of the stream.
      executions: the upstreams that may have executed it.
      attempts: its attempts in progress.
    """

    def __init__(
        self,
        context: GatewayContext,
        admitted: Admitted,
        state: StreamState,
        executions: Executions,
        attempts: StreamAttempts[AttemptResult],
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._choice = context.path_choice(admitted.service.name)
        self._state = state
        self._executions = executions
        self._attempts = attempts

    @property
    def _has_started(self) -> bool:
        return self._admitted.exchange.started

    @property
    def may_run_again(self) -> bool:
        """Whether some upstream may execute the stream from now on."""
        candidates = self._executions.candidates
        return self._admitted.route.repeatable and (
            candidates is None or bool(candidates - self._state.failed - self._attempts.instances)
        )

    @property
    def is_bound(self) -> bool:
        """Whether only upstreams that may have executed the stream may do so again."""
        return self._executions.candidates is not None

    @property
    def may_be_found(self) -> bool:
        """Whether there is a path now, also if upstreams refused the stream before."""
        return self.may_run_again and self.choose(frozenset(self._state.failed)) is not None

    @property
    def may_wait(self) -> bool:
        """Whether its caller waits for longer, once a response has started or may have."""
        search_ends_at = self._state.progress_at + MAX_PAUSE_SECONDS
        may_start_late = self._has_started or self.is_bound
        return may_start_late and trio.current_time() < search_ends_at

    def may_leave(self, instance: str, why: Interruption) -> bool:
        """Return whether the stream may be detached from an upstream.

        Unless there is another path, it stays. It doesn't return to an upstream only for a better
        path; on another connection, it may be sent to the same one again.
        """
        if not self._admitted.route.repeatable:
            return False
        if why is Interruption.CONNECTION_SILENT or (self._has_started and not self.is_bound):
            return True
        if self.is_bound and why is Interruption.BETTER_ELSEWHERE:
            return False
        if instance not in self._executions.instances:
            # It has ended, or the request wasn't sent there yet.
            return self.may_run_again
        return self.choose(frozenset(self._state.avoided | {instance})) is not None

    async def find(self) -> LayerPath | None:
        """Return a path, None if there is none; waits for one if the response has started."""
        while True:
            avoid = frozenset(self._state.avoided)
            path = self.choose(avoid)
            if path is None and avoid and (self._has_started or self.is_bound):
                path = self.choose(frozenset())
            if path is not None or not self.may_wait:
                return path
            await trio.sleep(PATH_SEARCH_INTERVAL_SECONDS)

    def choose(self, avoid: frozenset[str]) -> LayerPath | None:
        """Return a path, if possible one without upstreams that are executing suspect requests.

        With as many upstreams as its route allows, it begins at one of these. Silent ones that may
        still go on with an earlier attempt are left out.
        """
        avoid |= self._attempts.instances
        model = self._admitted.service.model
        trials = self._context.crashes.trial_upstreams()
        route, caller = self._admitted.route, self._admitted.caller
        choose = partial(
            self._choice.choose,
            limits=RouteLimits(route.objective, route.gap_objective),
            prompt_tokens=caller.prompt_tokens,
        )
        if self._context.crashes.crash_count(self._admitted):
            choose = self._choice.choose_least_busy
        candidates = self._executions.candidates
        if candidates is not None:
            choose = partial(self._choice.choose_from, candidates - self._state.failed)
        path = choose(model, avoid | trials) if trials else None
        return path or choose(model, avoid)
