"""Settings of a process on the users' platform: its file, and what its environment gives.

A platform that doesn't tell one of these values leaves its variable empty; in a file, an empty
value would be refused.
"""

import math
from collections.abc import Mapping
from dataclasses import replace

from returns.result import Failure, Result, Success

from deckcourse.platform.names import (
    APPLY_VARIABLE,
    CONTACT_VARIABLE,
    DRAIN_VARIABLE,
    LOST_MACHINES_VARIABLE,
    READ_SLACK_VARIABLE,
)
from deckcourse.settings import Duration, Problem, Settings, read_settings

__all__ = ["read_deployed_settings"]

# Far more machines than any site has.
MAX_DIGITS = 6
# The gateway's setting that each variable gives.
TIMES = {
    CONTACT_VARIABLE: "contact",
    APPLY_VARIABLE: "apply",
    DRAIN_VARIABLE: "drain",
    READ_SLACK_VARIABLE: "read_slack",
}
NUMBERS = {LOST_MACHINES_VARIABLE: "lost_machines"}


def read_deployed_settings(
    path: str, environment: Mapping[str, str]
) -> Result[Settings, tuple[Problem, ...]]:
    """Read a settings file and what the environment gives in its place.

    Args:
      path: the file.
      environment: the variables of the process; the times are in milliseconds.

    Returns:
      The settings, or every problem that there is.
    """
    settings = read_settings(path)
    if isinstance(settings, Failure):
        return settings
    given = {name: environment.get(name, "").strip() for name in (*TIMES, *NUMBERS)}
    values = {name: _value(name, text) for name, text in given.items() if text}
    problems = tuple(_problem(name, given[name]) for name, each in values.items() if each is None)
    if problems:
        return Failure(problems)
    changes = {(TIMES | NUMBERS)[name]: each for name, each in values.items()}
    return settings.bind(lambda each: Success(_with_changes(each, changes)))


def _problem(name: str, text: str) -> Problem:
    right = "want milliseconds, such as 3000" if name in TIMES else "want a whole number, such as 2"
    return Problem(name, "", "", f"{text!r} is no value for it", right)


def _with_changes(settings: Settings, changes: Mapping[str, Duration | int]) -> Settings:
    return replace(settings, gateway=replace(settings.gateway, **changes))


def _value(name: str, text: str) -> Duration | int | None:
    """Return the value that a variable gives, None if it gives none."""
    if name in NUMBERS:
        return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS else None
    seconds = _seconds(text)
    return None if seconds is None else Duration(seconds)


def _seconds(text: str) -> float | None:
    """Return a positive number of milliseconds in seconds, None if it is none."""
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        return None
    return seconds if 0.0 < seconds < math.inf else None
