"""Settings of a process on the users' platform: its file, and what its environment gives.

A platform that doesn't tell one of these times leaves its variable empty; in a file, an empty value
would be refused.
"""

import math
from collections.abc import Mapping
from dataclasses import replace

from returns.result import Failure, Result, Success

from deckcourse.platform.names import (
    APPLY_VARIABLE,
    CONTACT_VARIABLE,
    DRAIN_VARIABLE,
    READ_SLACK_VARIABLE,
)
from deckcourse.settings import Duration, Problem, Settings, read_settings

__all__ = ["read_deployed_settings"]

# The gateway's setting that each variable gives.
SETTINGS = {
    CONTACT_VARIABLE: "contact",
    APPLY_VARIABLE: "apply",
    DRAIN_VARIABLE: "drain",
    READ_SLACK_VARIABLE: "read_slack",
}


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
    given = {name: environment.get(name, "").strip() for name in SETTINGS}
    problems = tuple(
        _problem(name, text) for name, text in given.items() if text and _seconds(text) is None
    )
    if problems:
        return Failure(problems)
    times = {
        SETTINGS[name]: Duration(seconds)
        for name, text in given.items()
        if (seconds := _seconds(text)) is not None
    }
    return settings.bind(lambda each: Success(_with_times(each, times)))


def _problem(name: str, text: str) -> Problem:
    return Problem(name, "", "", f"{text!r} is no value for it", "want milliseconds, such as 3000")


def _with_times(settings: Settings, times: Mapping[str, Duration]) -> Settings:
    return replace(settings, gateway=replace(settings.gateway, **times))


def _seconds(text: str) -> float | None:
    """Return a positive number of milliseconds in seconds, None if it is none."""
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        return None
    return seconds if 0.0 < seconds < math.inf else None
