"""Requests that end the runner that begins to run them, and how a stand-in of a runner does so."""

import os
import time
from collections.abc import Callable

import trio

__all__ = ["DEADLY", "DEADLY_EXIT", "end_by"]

# What the body of such a request begins with.
DEADLY = b"deadly"
# The exit code of a runner that ended by one.
DEADLY_EXIT = 7
# From the begin of the run to its end, seconds: two events of other streams come in it.
FUSE_SECONDS = 0.04


async def end_by(body: bytes, request: str, tell: Callable[..., None]) -> None:
    """Record that a request runs that ends this process, and end a moment later."""
    tell(deadly=body.decode(), request=request, clock=time.monotonic())
    await trio.sleep(FUSE_SECONDS)
    os._exit(DEADLY_EXIT)
