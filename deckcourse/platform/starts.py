"""Conversion between a runner's id with its start time and the instance name of an incarnation.

A runner may restart under the same id. The gateway treats each incarnation as an instance of its
own, so that data about one is never applied to another. Messages contain only the id.
"""

__all__ = ["instance_name", "runner_id"]

# Separates the id from the start time. It is appended to an id that contains it and has no start
# time, so that the id always ends at the last separator.
_SEPARATOR = "@"


def instance_name(runner: str, start: int | None) -> str:
    """Return the instance name of an incarnation; `start` is None if the runner reports none."""
    if start is not None:
        return f"{runner}{_SEPARATOR}{start}"
    return f"{runner}{_SEPARATOR}" if _SEPARATOR in runner else runner


def runner_id(instance: str) -> str:
    """Return the runner id of an instance, as messages contain it."""
    runner, separator, _ = instance.rpartition(_SEPARATOR)
    return runner if separator else instance
