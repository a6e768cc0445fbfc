"""Requests that crash the runner that executes them, and the crash of a stand-in runner."""

import os
import time
from collections.abc import Callable

import trio

__all__ = ["DEADLY", "DEADLY_EXIT", "end_by"]

# The first bytes of the body of a crash request.
DEADLY = b"deadly"
DEADLY_EXIT = 7
# The time from the start of the execution to the exit: two event intervals of other streams.
FUSE_SECONDS = 0.04


async def end_by(body: bytes, request: str, tell: Callable[..., None]) -> None:
    """Record that a crash request is executed, and exit after a delay."""
    tell(deadly=body.decode(), request=request, clock=time.monotonic())
    await trio.sleep(FUSE_SECONDS)
    os._exit(DEADLY_EXIT)
