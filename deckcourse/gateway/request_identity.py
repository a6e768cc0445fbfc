"""What makes two requests the same one, under whatever id they come."""

from hashlib import blake2b

from deckcourse.gateway.dialect import CallerRequest

__all__ = ["identity_of"]

# Long enough that nobody finds another request with the identity of a given one.
IDENTITY_BYTES = 16
# Before each part stands its length, so that no two requests read alike.
LENGTH_BYTES = 8


def identity_of(caller: CallerRequest, account: str) -> str:
    """Return the identity of a request, in hex.

    Headers don't count: the id, the deadline and the last event differ with each sending.

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
