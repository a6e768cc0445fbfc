"""The configuration that one process has in force: it only moves forward."""

import trio

from deckcourse.configuration import Change, Configuration, apply_change

__all__ = ["ConfigurationHolder"]

# Changes kept for peers that are behind; one further behind gets the whole configuration.
KEPT_CHANGES = 64


class ConfigurationHolder:
    """Holds the newest configuration that this process learned, from whichever side."""

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._changes: dict[int, Change] = {}
        self._changed = trio.Event()
        self._confirmed = False

    @property
    def configuration(self) -> Configuration:
        """What is in force."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force."""
        return self._configuration.version

    @property
    def confirmed(self) -> bool:
        """Whether the platform, or the peers in its stead, said what the newest version is."""
        return self._confirmed

    @property
    def changed(self) -> trio.Event:
        """Set at the next change; then there is a new one."""
        return self._changed

    def confirm(self) -> None:
        """Note that the newest version was asked for and is in force."""
        self._confirmed = True

    def apply(self, change: Change) -> None:
        """Put a change in force if it's the next one."""
        after = apply_change(self._configuration, change)
        if after.version > self.version:
            self._changes[change.version] = change
            self._changes.pop(change.version - KEPT_CHANGES, None)
            self._set(after)

    def replace(self, configuration: Configuration) -> None:
        """Put a whole configuration in force if it's newer."""
        if configuration.version > self.version:
            self._changes.clear()
            self._set(configuration)

    def changes_after(self, version: int) -> tuple[Change, ...] | None:
        """Return the changes after `version`, None where some aren't kept any more."""
        wanted = range(version + 1, self.version + 1)
        if any(each not in self._changes for each in wanted):
            return None
        return tuple(self._changes[each] for each in wanted)

    def _set(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._changed.set()
        self._changed = trio.Event()
