"""Requests that crash the runner that executes them, and the crash of a stand-in runner."""

import os
import time
from collections.abc import Callable

import trio

__all__ = [
    "CRASH_BODY_PREFIX",
    "CRASH_EXIT_CODE",
    "CRASH_PART",
    "PARTS_HEADER",
    "SHARED_PART",
    "crash",
    "holds_crash_part",
]

# The first bytes of the body of a crash request.
CRASH_BODY_PREFIX = b"deadly"
CRASH_EXIT_CODE = 7
# The header that names the parts of a prompt, the part that crashes runners, and one that all
# requests begin with.
PARTS_HEADER = "X-Prompt-Prefix"
CRASH_PART = "dead01"
SHARED_PART = "aaaa01"
# The time from the start of the execution to the exit: two event intervals of other streams.
CRASH_DELAY_SECONDS = 0.04


def holds_crash_part(prefix: str) -> bool:
    """Return whether the part that crashes runners is among the shared parts of a prompt."""
    return CRASH_PART in [each.partition(":")[0] for each in prefix.split(",")[:-1]]


async def crash(
    cause: str, request_id: str, write_record: Callable[..., None], kind: str = "deadly"
) -> None:
    """Record that a crash request is executed, and exit after a delay.

    Args:
      cause: the body or the part that crashes runners.
      request_id: the request.
      write_record: writes a record with the given fields.
      kind: the field for the cause.
    """
    write_record(**{kind: cause}, request=request_id, clock=time.monotonic())
    await trio.sleep(CRASH_DELAY_SECONDS)
    os._exit(CRASH_EXIT_CODE)
