"""The choice of the peers that a process asks about what it can't find out itself."""

from random import Random

from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster

__all__ = ["sample_peers"]

# Peers of the own failure domain, and of each other one: all of one may be partitioned alike.
OWN_DOMAIN_PEERS = 3
OTHER_DOMAIN_PEERS = 2


def sample_peers(roster: Roster, random: Random, max_count: int) -> list[Member]:
    """Return some live peers that aren't leaving, those of the own failure domain first.

    Args:
      roster: the membership view.
      random: chooses the peers.
      max_count: the largest number to return, however many failure domains there are.
    """
    own = roster.own
    by_domain: dict[str, list[Member]] = {}
    for each in roster.live():
        if each.name != own.name and not each.leaving:
            by_domain.setdefault(each.domain, []).append(each)
    near = by_domain.pop(own.domain, [])
    chosen = random.sample(near, min(OWN_DOMAIN_PEERS, len(near)))
    domains = list(by_domain.values())
    random.shuffle(domains)
    for members in domains:
        chosen += random.sample(members, min(OTHER_DOMAIN_PEERS, len(members)))
    return chosen[:max_count]
