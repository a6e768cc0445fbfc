"""Settings of a process on the users' platform: its file, and what its environment gives.

A platform that doesn't tell the contact time leaves its variable empty; in a file, an empty value
would be refused.
"""

import math
from collections.abc import Mapping
from dataclasses import replace

from returns.result import Failure, Result, Success

from deckcourse.platform.names import CONTACT_VARIABLE
from deckcourse.settings import Duration, Problem, Settings, read_settings

__all__ = ["read_deployed_settings"]


def read_deployed_settings(
    path: str, environment: Mapping[str, str]
) -> Result[Settings, tuple[Problem, ...]]:
    """Read a settings file and what the environment gives in its place.

    Args:
      path: the file.
      environment: the variables of the process; the contact time is in milliseconds.

    Returns:
      The settings, or every problem that there is.
    """
    text = environment.get(CONTACT_VARIABLE, "").strip()
    settings = read_settings(path)
    if not text or isinstance(settings, Failure):
        return settings
    seconds = _seconds(text)
    if seconds is None:
        wrong, right = f"{text!r} is no value for it", "want milliseconds, such as 3000"
        return Failure((Problem(CONTACT_VARIABLE, "", "", wrong, right),))
    return settings.bind(lambda each: Success(_with_contact(each, seconds)))


def _with_contact(settings: Settings, seconds: float) -> Settings:
    return replace(settings, gateway=replace(settings.gateway, contact=Duration(seconds)))


def _seconds(text: str) -> float | None:
    """Return a positive number of milliseconds in seconds, None if it is none."""
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        return None
    return seconds if 0.0 < seconds < math.inf else None
