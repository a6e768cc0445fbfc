"""Requests that crash the runner that executes them, and the crash of a stand-in runner."""

import os
import time
from collections.abc import Callable

import trio

__all__ = ["CRASH_BODY_PREFIX", "CRASH_EXIT_CODE", "crash"]

# The first bytes of the body of a crash request.
CRASH_BODY_PREFIX = b"deadly"
CRASH_EXIT_CODE = 7
# The time from the start of the execution to the exit: two event intervals of other streams.
CRASH_DELAY_SECONDS = 0.04


async def crash(body: bytes, request_id: str, write_record: Callable[..., None]) -> None:
    """Record that a crash request is executed, and exit after a delay."""
    write_record(deadly=body.decode(), request=request_id, clock=time.monotonic())
    await trio.sleep(CRASH_DELAY_SECONDS)
    os._exit(CRASH_EXIT_CODE)
