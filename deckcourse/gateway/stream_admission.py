"""Decides whether a stream that no upstream has executed yet may be sent, and when.

With admission control it may wait for a place or for its next retry; without it a request is sent
or refused at one fixed utilization.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio

from deckcourse.decisions.admission_order import CALLER_TIMEOUT_SECONDS, RequestNeed, service_cost
from deckcourse.gateway.admission_ticket import Place, Refused, Ticket
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.calls import STOPPING_RETRY_AFTER_SECONDS
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.stream_retries import StreamRetries
from deckcourse.layers.paths import LayerPath
from deckcourse.reasons import NotRunReason

__all__ = ["FULL_RETRY_AFTER_SECONDS", "Refusal", "StreamAdmission"]

# Retry-after value when every path was full: each stream that ends frees capacity, and a retry
# after this time can still deliver its first event within the objective.
FULL_RETRY_AFTER_SECONDS = 0.25
# Retry-after value while requests queue on every path: a second refusal costs more than a late
# start.
OVERLOAD_RETRY_AFTER_SECONDS = 1.2
OVERLOADED_MESSAGE = "every path has more waiting than it can serve in time"
# Interval between two attempts to get a retry: other requests earn some, and the issuer grants more
# a few times a second.
RETRY_INTERVAL_SECONDS = 0.1
# Paths that are considered besides the drawn one if that one has no room.
OTHER_PATHS = 3


@dataclass(frozen=True)
class Refusal:
    """The stream is refused; `message` is empty if the last attempt's failure explains it."""

    reason: NotRunReason
    retry_after: float
    message: str = ""


class StreamAdmission:
    """Admits the attempts of one stream.

    Args:
      context: the objects that requests share.
      admitted: the stream's request.
      retries: the stream's retries.
      choose: returns a path for the stream, None if there is none.
      avoided: returns the upstreams that the stream must not use again.
    """

    def __init__(
        self,
        context: GatewayContext,
        admitted: Admitted,
        retries: StreamRetries,
        choose: Callable[[], LayerPath | None],
        avoided: Callable[[], frozenset[str]],
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._choice = context.path_choice(admitted.service.name)
        self._retries = retries
        self._choose = choose
        self._avoided = avoided
        self._arrived_at = trio.current_time()
        self._counted_path: LayerPath | None = None
        if context.admission.is_on(admitted.service.name):
            route = admitted.route
            context.admission.of(admitted.service.name).note_arrival(
                admitted.priority, route.gap_objective
            )

    async def admit(self, path: LayerPath, attempts: int) -> LayerPath | Refusal:
        """Return the path on which the stream may be sent now, or its refusal.

        The retry of a further attempt is reserved.

        Args:
          path: the path that was chosen for it.
          attempts: how many attempts were made.
        """
        if self._outlasts_process(path):
            message = "this entry stops before a usual stream ends"
            return Refusal(NotRunReason.STOPPING, STOPPING_RETRY_AFTER_SECONDS, message)
        if not self._context.admission.is_on(self._admitted.service.name):
            refusal = await self._refuse_by_utilization(path, attempts)
            return path if refusal is None else refusal
        if attempts:
            refusal = await self._wait_for_retry(path)
            if refusal is not None:
                return refusal
            # Reserved while the stream waits, so that it is returned if its caller leaves.
            self._retries.reserve_unused()
        queue = self._context.admission.of(self._admitted.service.name)
        outcome = await queue.enter(self._new_ticket(path, attempts))
        if isinstance(outcome, Refused):
            return self._refusal_of(outcome)
        self._counted_path = outcome.path
        return outcome.path

    def _outlasts_process(self, path: LayerPath) -> bool:
        """Return whether this process stops and ends before the stream would on a path."""
        end_by = self._admitted.stop.end_by
        if end_by == float("inf"):
            return False
        caller, model = self._admitted.caller, self._admitted.service.model
        tokens = min(model.usual_answer, caller.max_answer_tokens or model.usual_answer)
        forecast = self._choice.forecast(model, path, caller.prompt_tokens)
        seconds = forecast.first_event + tokens * forecast.pause / model.event_tokens
        return trio.current_time() + seconds > end_by

    def note_sent(self, path: LayerPath) -> None:
        """Record that the stream is sent, unless that was counted when it was admitted."""
        if self._counted_path is not path:
            self._choice.load_watch.note_sent(path.stages[0].instance)
        self._counted_path = None

    def note_refused(self) -> None:
        """Record that an upstream had no room for the stream."""
        if self._context.admission.is_on(self._admitted.service.name):
            self._context.admission.of(self._admitted.service.name).note_shortage()

    async def _refuse_by_utilization(self, path: LayerPath, attempts: int) -> Refusal | None:
        if self._choice.is_overloaded(path):
            return Refusal(
                NotRunReason.OVERLOADED, OVERLOAD_RETRY_AFTER_SECONDS, OVERLOADED_MESSAGE
            )
        if attempts and self._choice.refused_recently(path):
            return Refusal(NotRunReason.UPSTREAM_REFUSED, FULL_RETRY_AFTER_SECONDS)
        if attempts:
            if not await self._retries.acquire(was_executed=False):
                return Refusal(NotRunReason.RETRY_BUDGET, FULL_RETRY_AFTER_SECONDS)
            self._retries.reserve_unused()
        return None

    async def _wait_for_retry(self, path: LayerPath) -> Refusal | None:
        """Spend a retry, waiting for one as long as the first event can still come in time."""
        while not await self._retries.acquire(was_executed=False):
            route = self._admitted.route
            place = self._place(path)
            first_event_at = trio.current_time() + RETRY_INTERVAL_SECONDS
            first_event_at += place.prospect.first_event
            if route.objective and first_event_at > self._arrived_at + route.objective:
                return Refusal(NotRunReason.RETRY_BUDGET, FULL_RETRY_AFTER_SECONDS)
            queue = self._context.admission.of(self._admitted.service.name)
            refused = await queue.pause(self._new_ticket(path, 1), RETRY_INTERVAL_SECONDS)
            if refused is not None:
                return self._refusal_of(refused)
        return None

    def _refusal_of(self, refused: Refused) -> Refusal:
        messages = {
            NotRunReason.OVERLOADED: OVERLOADED_MESSAGE,
            NotRunReason.STOPPING: "this entry is stopping",
        }
        retry_after = refused.retry_after
        if refused.reason is not NotRunReason.STOPPING:
            retry_after = max(FULL_RETRY_AFTER_SECONDS, retry_after)
        return Refusal(refused.reason, retry_after, messages.get(refused.reason, ""))

    def _new_ticket(self, path: LayerPath, attempts: int) -> Ticket:
        admitted, caller = self._admitted, self._admitted.caller
        route, model = admitted.route, admitted.service.model
        remaining = admitted.deadline - self._arrived_at
        caller_timeout = min(CALLER_TIMEOUT_SECONDS, remaining)
        answer_tokens = caller.answer_tokens or caller.max_answer_tokens or model.usual_answer
        need = RequestNeed(
            admitted.priority,
            admitted.account_name,
            service_cost(caller.prompt_tokens or model.usual_prompt, answer_tokens),
            route.objective,
            caller_timeout,
            self._arrived_at,
            bool(attempts),
            trio.current_time() - self._arrived_at if attempts else 0.0,
        )
        places = _Places(path, self._choose, self._place, self._other_places)
        return Ticket(
            caller.request_id, need, route.gap_objective, len(caller.message.body), places.find
        )

    def _place(self, path: LayerPath) -> Place:
        admitted, queues = self._admitted, self._context.admission
        service = admitted.service.name
        prospect = queues.prospects(service).find(
            admitted.service.model,
            path,
            admitted.caller.prompt_tokens,
            admitted.route.gap_objective,
            queues.of(service).arrivals_per_second,
        )
        return Place(path, prospect)

    def _other_places(self) -> Iterator[Place]:
        model = self._admitted.service.model
        for path in self._choice.best_paths(model, OTHER_PATHS, self._avoided()):
            yield self._place(path)


class _Places:
    """The places of a request: the path chosen on arrival at first, then as chosen anew.

    Args:
      path: the path chosen on arrival.
      choose: chooses another path, None if there is none.
      place: returns what a path offers.
      others: returns places on other paths, the best first.
    """

    def __init__(
        self,
        path: LayerPath,
        choose: Callable[[], LayerPath | None],
        place: Callable[[LayerPath], Place],
        others: Callable[[], Iterator[Place]],
    ) -> None:
        self._path: LayerPath | None = path
        self._choose = choose
        self._place = place
        self._others = others

    def find(self) -> Iterator[Place]:
        """Return the places lazily; none if no path holds every layer."""
        path = self._path if self._path is not None else self._choose()
        self._path = None
        if path is None:
            return
        yield self._place(path)
        yield from self._others()
