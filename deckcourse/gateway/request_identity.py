"""The identity of a request: equal for repeated requests, whatever their ids."""

from hashlib import blake2b

from deckcourse.gateway.dialect import CallerRequest

__all__ = ["identity_of", "part_identities"]

# Long enough that finding another request with the same identity is infeasible.
IDENTITY_BYTES = 16
# Each part is prefixed with its length, so that different requests never hash the same bytes.
LENGTH_BYTES = 8


# Parts of one prompt that evidence is kept for. Of more, always the same ones are taken, whatever
# the others are and in whatever order.
MAX_PARTS = 64
# Separates the hashes of parts from those of requests.
PART_PERSONALIZATION = b"prompt-part"


def part_identities(caller: CallerRequest, service: str) -> tuple[str, ...]:
    """Return the identities of the shared parts of a request's prompt, each once, in hex.

    Args:
      caller: the request.
      service: the service that runs it.
    """
    identities = set()
    for name in caller.shared_parts:
        digest = blake2b(digest_size=IDENTITY_BYTES, person=PART_PERSONALIZATION)
        digest.update(service.encode() + b"\0" + name)
        identities.add(digest.hexdigest())
    return tuple(sorted(identities)[:MAX_PARTS])


def identity_of(caller: CallerRequest, account: str) -> str:
    """Return the identity of a request, in hex.

    Headers are excluded: the id, the deadline and the last event differ between attempts.

    Args:
      caller: the request.
      account: the client account's name, empty for a public route.
    """
    message = caller.message
    digest = blake2b(digest_size=IDENTITY_BYTES)
    for part in (account.encode(), caller.host.encode(), message.method, message.target):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    digest.update(message.body)
    return digest.hexdigest()
