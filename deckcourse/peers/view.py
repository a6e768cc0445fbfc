"""What one process knows of the others, as an operator sees it."""

import msgspec

from deckcourse.peers.roster import Roster
from deckcourse.peers.shared_feed import SharedFeed

__all__ = ["MEMBERS_PATH", "MemberView", "PeersView", "decode_view", "encode_view", "view_of"]

MEMBERS_PATH = b"/members"


class MemberView(msgspec.Struct, frozen=True):
    """One member that lives."""

    name: str
    domain: str
    address: str
    leaving: bool


class PeersView(msgspec.Struct, frozen=True):
    """One process, whom it hears changes from, and who lives as far as it knows.

    `source` is empty where it follows the store itself; `seconds_behind` is the age of the newest
    thing that it knows of the store.
    """

    name: str
    domain: str
    follows: bool
    source: str
    serving: int
    seconds_behind: float
    members: tuple[MemberView, ...]


def view_of(roster: Roster, feed: SharedFeed) -> PeersView:
    """Return what a process knows now."""
    live = sorted(roster.live(), key=lambda each: (each.domain, each.name))
    return PeersView(
        roster.own.name,
        roster.own.domain,
        feed.follows,
        feed.source,
        feed.server.serving,
        round(feed.seconds_behind, 3),
        tuple(MemberView(each.name, each.domain, each.address, each.leaving) for each in live),
    )


def encode_view(view: PeersView) -> bytes:
    """Return a view as JSON."""
    return msgspec.json.encode(view)


def decode_view(data: bytes) -> PeersView:
    """Return the view in an answer.

    Raises:
      msgspec.MsgspecError: the answer is none.
    """
    return msgspec.json.decode(data, type=PeersView)
