"""Logs: eliot's JSON lines on standard error; no prompt text and no key is ever in them."""

import sys

from eliot import to_file

__all__ = ["log_to_stderr"]


def log_to_stderr() -> None:
    """Send every log message to standard error."""
    to_file(sys.stderr)
