"""For how long a request is refused, by the upstreams that ended under it.

Load pattern: an end takes the streams of everybody else on an upstream with it, while one refused
request is one caller's. Yet whoever waits for a first event when an upstream ends by itself has
done nothing: one end condemns only while requests that end upstreams are about.
"""

__all__ = ["CONVICTING_ENDS", "is_guarded", "quarantine_seconds"]

# So many ends of upstreams under one request are no chance.
CONVICTING_ENDS = 2
# With one end more a request is refused until all that is known of it is forgotten or an operator
# releases it; the platform allows three more sendings after three ends, for what was under way.
FINAL_ENDS = 3
# A convicted request is tried once more after this, seconds: the upstreams may have been mended.
CONVICTED_SECONDS = 10.0
# While a request was convicted within this time, seconds, one end is enough to refuse another one,
GUARDED_SECONDS = 60.0
# for this long, seconds.
SUSPECTED_SECONDS = 10.0
# Of more than so many that were at one end most are innocent: none of them is refused for it.
MOST_SUSPECTS = 2


def is_guarded(convicted_at: float, now: float) -> bool:
    """Return whether requests that end upstreams are about.

    Args:
      convicted_at: when an upstream last ended under a convicted request, seconds.
      now: the moment, on the same clock.
    """
    return now < convicted_at + GUARDED_SECONDS


def quarantine_seconds(ends: int, suspects: int, guarded: bool) -> float:
    """Return for how long after the last end a request is refused; infinity for good.

    Args:
      ends: how many upstreams ended under it, one after the other.
      suspects: how many requests were at the end at which the fewest were, itself among them.
      guarded: whether requests that end upstreams are about.
    """
    if ends >= FINAL_ENDS:
        return float("inf")
    if ends >= CONVICTING_ENDS:
        return CONVICTED_SECONDS
    refused = ends and guarded and suspects <= MOST_SUSPECTS
    return SUSPECTED_SECONDS if refused else 0.0
