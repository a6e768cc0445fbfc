"""How long a suspect request is quarantined, depending on the crashes it was running in.

Load pattern: a crash interrupts all other streams on the upstream, while quarantining a request
affects one caller. But a request that was waiting for its first event when an upstream crashed for
another reason is innocent, so one crash suffices only while crashing requests are around.
"""

__all__ = [
    "CONFIRMING_CRASHES",
    "had_recent_confirmed_crash",
    "part_quarantine_seconds",
    "quarantine_seconds",
]

# Number of crashes under one request that is not a coincidence.
CONFIRMING_CRASHES = 2
# After this many crashes a request is refused until its record expires or an operator releases it.
# The platform allows three more attempts after three crashes, for attempts already in flight.
PERMANENT_QUARANTINE_CRASHES = 3
# Quarantine of a confirmed request before it is tried again, in case the upstreams were fixed.
CONFIRMED_QUARANTINE_SECONDS = 10.0
# Within this time after a crash under a confirmed request, one crash is enough to quarantine
# another request, seconds.
ALERT_SECONDS = 60.0
# Quarantine of a request after a single crash, seconds.
SUSPECT_QUARANTINE_SECONDS = 10.0
# Of more requests than this at one crash, most are innocent: none of them is quarantined for it.
MAX_QUARANTINED_SUSPECTS = 2


# Number of successive crashes with one part of a prompt, without a success of any request with it,
# that is not a coincidence. Sound requests share most parts, so it takes more than for a request.
CONFIRMING_PART_CRASHES = 3
# After this many, or after crashes of this many upstreams, a part is refused until its record
# expires or an operator releases it: the platform allows three more attempts after five crashes.
PERMANENT_PART_CRASHES = 4
PERMANENT_PART_UPSTREAMS = 5
# Upstreams that end within this time may have ended together, for another reason, seconds.
TOGETHER_SECONDS = 1.0


def had_recent_confirmed_crash(confirmed_at: float, now: float) -> bool:
    """Return whether a confirmed request crashed an upstream recently.

    Args:
      confirmed_at: the time of the last crash under a confirmed request, seconds.
      now: the current time on the same clock, seconds.
    """
    return now < confirmed_at + ALERT_SECONDS


def quarantine_seconds(crashes: int, suspects: int, is_alert: bool) -> float:
    """Return how long a request is quarantined after its last crash; infinity for permanently.

    Args:
      crashes: the number of successive upstream crashes under the request.
      suspects: the number of requests, this one included, at the crash that had the fewest.
      is_alert: whether a confirmed request crashed an upstream recently.
    """
    if crashes >= PERMANENT_QUARANTINE_CRASHES:
        return float("inf")
    if crashes >= CONFIRMING_CRASHES:
        return CONFIRMED_QUARANTINE_SECONDS
    is_quarantined = crashes and is_alert and suspects <= MAX_QUARANTINED_SUSPECTS
    return SUSPECT_QUARANTINE_SECONDS if is_quarantined else 0.0


def part_quarantine_seconds(crashes: int, upstreams: int, span: float) -> float:
    """Return how long a part is quarantined after its last crash; infinity for permanently.

    Args:
      crashes: the number of successive crashes with the part.
      upstreams: how many upstreams crashed.
      span: the time from the first of these crashes to the last one, seconds.
    """
    are_many = upstreams >= PERMANENT_PART_UPSTREAMS and span >= TOGETHER_SECONDS
    if crashes >= PERMANENT_PART_CRASHES or are_many:
        return float("inf")
    return CONFIRMED_QUARANTINE_SECONDS if crashes >= CONFIRMING_PART_CRASHES else 0.0
