"""Who follows the store for all of a failure domain, and whom a process asks instead.

Load pattern: hundreds of processes that each ask for every change make the store's calls grow with
their number times the changes. A few that follow for the rest keep them flat. There is no vote and
no lease: each process ranks the members that it knows, and whoever is asked by others follows.
"""

from collections.abc import Iterable, Sequence

from deckcourse.peers.member import Member
from deckcourse.rendezvous import ranked

__all__ = ["FOLLOWERS", "followers", "sources"]

# So many processes of each domain follow the store: the second goes on where the first is lost, and
# the next in rank replaces a lost one as soon as somebody asks it.
FOLLOWERS = 2


def _able(members: Iterable[Member], domain: str) -> dict[str, Member]:
    return {each.name: each for each in members if each.domain == domain and not each.leaving}


def followers(members: Iterable[Member], domain: str) -> tuple[Member, ...]:
    """Return the members of a domain that should follow the store, the first one first."""
    able = _able(members, domain)
    order = ranked(domain, {name: each.weight for name, each in able.items()})
    return tuple(able[name] for name in order[:FOLLOWERS])


def sources(own: Member, members: Sequence[Member], avoid: frozenset[str]) -> tuple[Member, ...]:
    """Return whom a process may ask for changes, the best first.

    Members of its own domain share those that follow; a process that follows itself, and lost the
    store, asks the others of its domain and then one of each other domain.

    Args:
      own: the process.
      members: who lives.
      avoid: names of members that did not answer of late.
    """
    reachable = [each for each in members if each.name not in avoid and each.name != own.name]
    chosen = followers((*reachable, own), own.domain)
    near = [each for each in chosen if each.name != own.name]
    if len(near) == len(chosen):
        # Each process has its own order, so that those that follow have as many to serve.
        by_name = {each.name: each for each in near}
        return tuple(by_name[name] for name in ranked(own.name, dict.fromkeys(by_name, 1.0)))
    further = [each for each in followers(reachable, own.domain) if each not in near]
    others = sorted({each.domain for each in reachable} - {own.domain})
    far = [each for domain in others for each in followers(reachable, domain)[:1]]
    return (*near, *further, *far)
