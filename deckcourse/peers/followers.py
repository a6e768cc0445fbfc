"""Who follows the store for all of a failure domain, and whom a process asks instead.

Load pattern: hundreds of processes that each ask for every change make the store's calls grow with
their number times the changes. A few that follow for the rest keep them flat. There is no vote and
no lease: each process ranks the members that it knows, and whoever is asked by others follows.
"""

from collections.abc import Collection, Iterable, Sequence

from deckcourse.peers.member import Member
from deckcourse.rendezvous import ranked

__all__ = ["FOLLOWERS", "followers", "sources", "turn_of"]

# So many processes of each domain follow the store: the second goes on where the first is lost, and
# the next in rank replaces a lost one as soon as somebody asks it.
FOLLOWERS = 2


def _in_order(members: Iterable[Member], domains: Collection[str], key: str) -> list[Member]:
    """Return the members of some domains that don't leave, in their order for a key."""
    able = {each.name: each for each in members if each.domain in domains and not each.leaving}
    return [able[name] for name in ranked(key, {name: able[name].weight for name in able})]


def followers(members: Iterable[Member], domain: str) -> tuple[Member, ...]:
    """Return the members of a domain that should follow the store, the first one first."""
    return tuple(_in_order(members, (domain,), domain)[:FOLLOWERS])


def turn_of(own: Member, members: Iterable[Member], domains: Collection[str], key: str) -> int:
    """Return how many members of some domains go before a process in what one does for all.

    Where the key is the name of a domain, those that follow the store for it go first: they know
    of changes first.
    """
    names = [each.name for each in _in_order(members, domains, key)]
    return names.index(own.name) if own.name in names else len(names)


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
