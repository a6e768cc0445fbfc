"""Counts function calls: the cost of a decision, the same on every machine."""

import sys


def calls_of(work):
    """Return how many function calls `work` makes, including built-in functions."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count
