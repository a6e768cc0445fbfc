"""The crash record that processes exchange when an upstream crashes during a request."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["MAX_CRASHES_PER_DIGEST", "Crash", "Identity"]

# Largest number of crashes in one digest.
MAX_CRASHES_PER_DIGEST = 16
# Largest length of an instance, in characters; a longer one is not a valid key of the store.
MAX_INSTANCE_LENGTH = 150

# Upper bound on the crash count that another process may report.
MAX_KNOWN_CRASHES = 1000

Identity = Annotated[str, Meta(pattern="^[0-9a-f]{32}$")]
_Instance = Annotated[str, Meta(min_length=1, max_length=MAX_INSTANCE_LENGTH)]


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of an upstream during a request of which it had returned no part.

    Attributes:
      identity: the identity of the request.
      instance: the incarnation that crashed.
      known_crashes: how many crashes under this request were known when it was sent there.
      is_part: whether the identity is that of a part of the request's prompt.
    """

    identity: Identity
    instance: _Instance
    known_crashes: Annotated[int, Meta(ge=0, le=MAX_KNOWN_CRASHES)] = 0
    is_part: bool = False
