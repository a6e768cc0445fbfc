"""What a request says to a runner, as its caller sent it or as the runner received it."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from hashlib import sha256

__all__ = ["SentRequest", "parse_request"]

# The headers by which a runner chooses what to run.
MODEL_HEADERS = (b"x-model", b"x-token-usage", b"x-prompt-prefix")


@dataclass(frozen=True)
class SentRequest:
    """The parts of a request that nothing between its caller and a runner may change.

    `model` holds the values of MODEL_HEADERS, one a line; `digest` identifies the body.
    """

    method: str
    target: str
    model: str
    digest: str

    @classmethod
    def of(
        cls, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> "SentRequest":
        """Return these parts of a request, whose header names are in lower case."""
        pairs = list(headers)
        model = [value for name in MODEL_HEADERS for each, value in pairs if each == name]
        return cls(
            method.decode("latin-1"),
            target.decode("latin-1"),
            b"\n".join(model).decode("latin-1"),
            sha256(body).hexdigest(),
        )

    def to_record(self) -> dict[str, str]:
        """Return the request as it stands in a runner's record."""
        return asdict(self)


def parse_request(data: bytes) -> SentRequest:
    """Return the request that a caller of the soak writes: a head and a body with a length."""
    head, _, body = data.partition(b"\r\n\r\n")
    request_line, *lines = head.split(b"\r\n")
    method, target, _ = request_line.split(b" ")
    headers = [line.split(b": ", 1) for line in lines]
    return SentRequest.of(method, target, [(name.lower(), value) for name, value in headers], body)
