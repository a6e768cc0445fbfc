"""The membership view of one process, as shown to operators."""

import msgspec

from deckcourse.peers.roster import Roster
from deckcourse.peers.shared_feed import SharedFeed

__all__ = ["MEMBERS_PATH", "MemberView", "PeersView", "decode_view", "encode_view", "view_of"]

MEMBERS_PATH = b"/members"


class MemberView(msgspec.Struct, frozen=True):
    """One live member."""

    name: str
    domain: str
    address: str
    leaving: bool


class PeersView(msgspec.Struct, frozen=True):
    """One process, where it receives changes from, and the members that it considers live.

    Attributes:
      name: the name of the process.
      domain: its failure domain.
      follows: whether it follows the store.
      source: the process that it subscribes to, empty if none.
      serving: the number of its subscribers.
      seconds_behind: the staleness of its newest replica.
      members: the live members.
    """

    name: str
    domain: str
    follows: bool
    source: str
    serving: int
    seconds_behind: float
    members: tuple[MemberView, ...]


def view_of(roster: Roster, feed: SharedFeed) -> PeersView:
    """Return the current view of a process."""
    live = sorted(roster.live(), key=lambda each: (each.domain, each.name))
    return PeersView(
        roster.own.name,
        roster.own.domain,
        feed.follows,
        feed.source,
        feed.server.subscriber_count,
        round(feed.staleness_seconds, 3),
        tuple(MemberView(each.name, each.domain, each.address, each.leaving) for each in live),
    )


def encode_view(view: PeersView) -> bytes:
    """Encode a view as JSON."""
    return msgspec.json.encode(view)


def decode_view(data: bytes) -> PeersView:
    """Decode the view in a response body.

    Raises:
      msgspec.MsgspecError: the body is malformed.
    """
    return msgspec.json.decode(data, type=PeersView)
