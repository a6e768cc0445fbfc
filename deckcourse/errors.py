"""The exceptions of the package: broken invariants and unusable input, nothing else.

Everything that can go wrong in the ordinary course of events (an upstream that is gone, a
platform outage, a refused request) is a value; see `deckcourse.outcomes` and the failure types
beside each port.
"""

__all__ = ["CommandError", "DeckcourseError", "InvariantError", "RouteError", "SettingsError"]


class DeckcourseError(Exception):
    """Base of every exception that the package raises itself."""


class InvariantError(DeckcourseError):
    """A state that the program promises never to reach; the process stops."""


class RouteError(DeckcourseError):
    """Layer ranges that do not join from 0 to the last layer without gap or overlap."""


class SettingsError(DeckcourseError):
    """A settings file that can't be used; the message names file, section, key and remedy."""


class CommandError(DeckcourseError):
    """An operator's command that was refused; the message names cause and remedy."""
