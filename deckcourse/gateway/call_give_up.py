"""The outcome of a plain call for which no further attempt is made."""

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.call_results import LostAnswer, RefusedCall
from deckcourse.gateway.calls import schedule_retry_after
from deckcourse.gateway.context import GatewayContext
from deckcourse.outcomes import NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["give_up"]

# Retry-after value when every upstream refused; a call takes about 60 ms.
REFUSED_RETRY_AFTER_SECONDS = 0.1
# Retry-after value while no upstream is listed as usable.
NO_ROUTE_RETRY_AFTER_SECONDS = 0.5


def give_up(
    context: GatewayContext,
    admitted: Admitted,
    has_run: bool,
    last_failure: RefusedCall | LostAnswer | None,
) -> Outcome:
    """Return the outcome of a call without an answer.

    Args:
      context: knows the upstreams and their backoffs.
      admitted: the call.
      has_run: whether an upstream may have executed it.
      last_failure: the last attempt without an answer, None if there is none.
    """
    if has_run:
        message = last_failure.message if last_failure is not None else "the answer was lost"
        return Unknown(UnknownReason.UPSTREAM_LOST, message)
    accepts_at = context.upstreams.accepts_at(admitted.service.name)
    if accepts_at is not None:
        min_seconds = max(REFUSED_RETRY_AFTER_SECONDS, accepts_at - trio.current_time())
        retry_after = schedule_retry_after(context, admitted, min_seconds)
        message = f"no upstream takes a request for {min_seconds:.2f} s"
        return NotRun(NotRunReason.UPSTREAM_BACKOFF, message, retry_after)
    if isinstance(last_failure, RefusedCall):
        return NotRun(
            NotRunReason.UPSTREAM_REFUSED, last_failure.message, REFUSED_RETRY_AFTER_SECONDS
        )
    return NotRun(NotRunReason.NO_ROUTE, "no usable upstream", NO_ROUTE_RETRY_AFTER_SECONDS)
