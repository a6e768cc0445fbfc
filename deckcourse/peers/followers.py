"""The choice of the followers of each failure domain, and of the sources of all other processes.

Load pattern: if hundreds of processes each polled the store for every change, its calls would grow
with the number of processes times the changes. A few followers that relay to the rest keep them
constant. There is neither an election nor a lease: each process ranks the members that it knows,
and a process that others use as a source follows the store.
"""

from collections.abc import Collection, Iterable, Sequence

from deckcourse.peers.member import Member
from deckcourse.rendezvous import ranked

__all__ = ["FOLLOWERS_PER_DOMAIN", "ROLE_INTERVAL_SECONDS", "followers", "sources", "rank_of"]

# Followers of the store in each domain: the second one continues if the first is lost, and the next
# in rank replaces a lost one as soon as another process uses it as a source.
FOLLOWERS_PER_DOMAIN = 2
# Interval between decisions of a process on whether it follows the store, seconds.
ROLE_INTERVAL_SECONDS = 0.25


def _ranked_members(members: Iterable[Member], domains: Collection[str], key: str) -> list[Member]:
    """Return the members of some domains that are not leaving, ranked by a key."""
    eligible = {each.name: each for each in members if each.domain in domains and not each.leaving}
    return [
        eligible[name] for name in ranked(key, {name: eligible[name].weight for name in eligible})
    ]


def followers(members: Iterable[Member], domain: str) -> tuple[Member, ...]:
    """Return the members of a domain that should follow the store, in rank order."""
    return tuple(_ranked_members(members, (domain,), domain)[:FOLLOWERS_PER_DOMAIN])


def rank_of(own: Member, members: Iterable[Member], domains: Collection[str], key: str) -> int:
    """Return how many members of some domains rank before a process for a shared task.

    If the key is the name of a domain, the followers of that domain rank first: they learn of
    changes first.
    """
    names = [each.name for each in _ranked_members(members, domains, key)]
    return names.index(own.name) if own.name in names else len(names)


def sources(own: Member, members: Sequence[Member], excluded: frozenset[str]) -> tuple[Member, ...]:
    """Return the sources that a process may receive changes from, the best first.

    The followers of a domain are shared among its other members. A follower that cannot reach the
    store uses the other members of its domain, then one follower of each other domain.

    Args:
      own: the process.
      members: the live members.
      excluded: names of members that recently did not answer.
    """
    candidates = [each for each in members if each.name not in excluded and each.name != own.name]
    domain_followers = followers((*candidates, own), own.domain)
    other_followers = [each for each in domain_followers if each.name != own.name]
    if len(other_followers) == len(domain_followers):
        # Each process has its own order, which spreads the load evenly over the followers.
        by_name = {each.name: each for each in other_followers}
        return tuple(by_name[name] for name in ranked(own.name, dict.fromkeys(by_name, 1.0)))
    next_in_rank = [
        each for each in followers(candidates, own.domain) if each not in other_followers
    ]
    other_domains = sorted({each.domain for each in candidates} - {own.domain})
    remote_followers = [
        each for domain in other_domains for each in followers(candidates, domain)[:1]
    ]
    return (*other_followers, *next_in_rank, *remote_followers)
