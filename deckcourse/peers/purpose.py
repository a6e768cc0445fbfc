"""Kinds of messages sent to upstreams."""

from enum import StrEnum

__all__ = ["Purpose"]


class Purpose(StrEnum):
    """The kind of message that a token is spent on.

    A query is a control message that only reads state; an order changes something.
    """

    REQUEST = "request"
    QUERY = "question"
    ORDER = "order"
