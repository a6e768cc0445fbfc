"""What a token is for."""

from enum import StrEnum

__all__ = ["Purpose"]


class Purpose(StrEnum):
    """What is sent to an upstream that names a rate limit."""

    REQUEST = "request"
    QUESTION = "question"
    ORDER = "order"
