"""Kinds of messages to upstreams."""

from enum import StrEnum

__all__ = ["Purpose"]


class Purpose(StrEnum):
    """The kind of message that a token is spent on."""

    REQUEST = "request"
    QUESTION = "question"
    ORDER = "order"
