"""Whether an entry was in touch: neither disturbed nor cut off for the contact time."""

from collections.abc import Collection, Mapping, Sequence

from soak.disturbances import STORE, Disturbances, PlannedKind

__all__ = ["APPLY_SECONDS", "CONTACT_SECONDS", "Contact"]

# What the platform guarantees: how long a machine must have been undisturbed, and the time in
# which an acknowledged desired state takes effect.
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 2.0


class Contact:
    """Tells when rules with a time bound hold for an entry.

    Args:
      disturbances: when something was disturbed and when planned work took place.
      started_at: when each entry was started, by its name.
    """

    def __init__(
        self, disturbances: Disturbances, started_at: Mapping[str, Sequence[float]]
    ) -> None:
        self._disturbances = disturbances
        self._started_at = started_at

    def is_in_touch(
        self, entry: str, begin: float, end: float, others: Collection[str] = ()
    ) -> bool:
        """Return whether an entry was in touch all the time from `begin` to `end`.

        Args:
          entry: the name of the entry.
          begin: when the time begins, on trio's clock.
          end: when it ends.
          others: what else must not have been disturbed, such as the runners of a request.
        """
        since = begin - CONTACT_SECONDS
        names = {entry, f"callers to {entry}", f"{entry} to store", STORE, *others}
        was_disturbed = (
            self._disturbances.is_disturbed(names, since, end)
            or self._disturbances.is_absent(entry, since, end)
            or self._disturbances.is_slowed(entry, since, end)
        )
        was_started = any(since <= at <= end for at in self._started_at.get(entry, ()))
        was_stopped = any(
            each.kind is PlannedKind.STOP and each.entry == entry and since <= each.at <= end
            for each in self._disturbances.planned
        )
        return not (was_disturbed or was_started or was_stopped)
