"""The instance of one start of a runner, made from its id and its start, and back.

A runner may start again under the id that it had. Inside, each start is an instance of its own, so
that nothing known of one is taken for the other; on the wire only the id stands.
"""

__all__ = ["instance_of", "runner_id"]

# Stands between the id and the start. An id that holds it gets one more where no start is told, so
# that the last one always ends the id.
_SEPARATOR = "@"


def instance_of(runner: str, start: int | None) -> str:
    """Return the name of one start of a runner; the id alone where it tells no start."""
    if start is not None:
        return f"{runner}{_SEPARATOR}{start}"
    return f"{runner}{_SEPARATOR}" if _SEPARATOR in runner else runner


def runner_id(instance: str) -> str:
    """Return the id under which a runner goes over the wire."""
    runner, separator, _ = instance.rpartition(_SEPARATOR)
    return runner if separator else instance
