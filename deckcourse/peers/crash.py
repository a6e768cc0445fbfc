"""An upstream that ended under a request, as processes tell each other of it."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["MOST_TOLD", "Crash"]

# Crashes in one message between processes.
MOST_TOLD = 16
# Letters of an instance; a longer one would be no key of the store.
LONGEST_INSTANCE = 150

# More ends than anybody lets come together.
MOST_ENDS = 1000

_Identity = Annotated[str, Meta(pattern="^[0-9a-f]{32}$")]
_Instance = Annotated[str, Meta(min_length=1, max_length=LONGEST_INSTANCE)]


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A start of an upstream that ended while it ran a request and had brought nothing of it.

    `known_ends` is how many such ends were known when the request was sent there.
    """

    identity: _Identity
    instance: _Instance
    known_ends: Annotated[int, Meta(ge=0, le=MOST_ENDS)] = 0
