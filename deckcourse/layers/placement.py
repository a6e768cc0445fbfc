"""The placement of a model's layers: what each upstream should hold, worked out from what is held.

The planner keeps no state of its own. It reads who is there and what they hold, and returns the
assignments that bring the model nearer to being whole in each group of upstreams. A group is a
failure domain that can hold the model by itself, so that no activations cross between domains;
upstreams of domains that can't are put together in one group.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from deckcourse.layers.model import ModelSpec

__all__ = ["EVEN_FILL", "Assignment", "Group", "LayerHost", "groups_of", "plan_group"]

# Parts of an accelerator's memory that weights may take; the rest holds the KV cache of requests.
# Trials: 16 of 20 layers leave room for what a calm day needs, 19 of 20 refuse most requests.
EVEN_FILL = 0.60
HEALING_FILL = 0.80
LARGEST_FILL = 0.92
# A host fuller than this gives up layers that others hold too. While it does, it takes no other
# order, so it is not done for less.
TRIM_FILL = 0.88
# A neighbour of a host fuller than this loads layers of it as well, so that requests may go there.
BALANCE_FILL = 0.72
# Between neighbours whose fill differs by more than this, layers move to the emptier one.
UNEVEN_FILL = 0.12
# What a host that is so many times slower than usual holds is loaded elsewhere as well.
SLOW_PACE = 2.5
# A second copy is placed where this much of a model's memory stays free for each copy.
MEMORY_PER_COPY = 1.65


@dataclass(frozen=True)
class LayerHost:
    """An upstream that holds the layers `first` up to `end`, none where both are 0.

    `usable` is false for one that leaves or that this process suspects; `pace` over 1 says how
    many times slower than usual it works.
    """

    instance: str
    domain: str
    kind: str
    first: int = 0
    end: int = 0
    address: str = ""
    usable: bool = True
    pace: float = 1.0

    @property
    def empty(self) -> bool:
        """Whether it holds nothing."""
        return self.end <= self.first


@dataclass(frozen=True)
class Assignment:
    """What one upstream should hold from now on, and why."""

    instance: str
    first: int
    end: int
    reason: str


@dataclass(frozen=True)
class Group:
    """Upstreams that are to hold `copies` of a model together."""

    name: str
    hosts: tuple[LayerHost, ...]
    copies: int


def groups_of(model: ModelSpec, hosts: Iterable[LayerHost]) -> tuple[Group, ...]:
    """Return the groups of the usable hosts; hosts of a rest that can't hold the model are none.

    Args:
      model: the model to place.
      hosts: every upstream of its service.
    """
    by_domain: dict[str, list[LayerHost]] = defaultdict(list)
    for host in hosts:
        if host.usable and host.pace < SLOW_PACE:
            by_domain[host.domain].append(host)
    groups = []
    rest: list[LayerHost] = []
    for domain, members in sorted(by_domain.items()):
        if _can_hold(model, members):
            groups.append(_group(model, domain, members))
        else:
            rest += members
    if rest and _can_hold(model, rest):
        groups.append(_group(model, "+".join(sorted({each.domain for each in rest})), rest))
    return tuple(groups)


def _can_hold(model: ModelSpec, hosts: Sequence[LayerHost]) -> bool:
    return sum(model.most_layers(each.kind, LARGEST_FILL) for each in hosts) >= model.layers


def _group(model: ModelSpec, name: str, hosts: Sequence[LayerHost]) -> Group:
    memory = sum(model.kind_of(each.kind).memory_mb for each in hosts)
    copies = int(memory / (MEMORY_PER_COPY * model.layers * model.layer_mb))
    ordered = tuple(sorted(hosts, key=lambda each: each.instance))
    return Group(name, ordered, max(1, copies))


def plan_group(
    model: ModelSpec,
    group: Group,
    pending: Mapping[str, tuple[int, int]] = {},
    settled: bool = True,
) -> tuple[Assignment, ...]:
    """Return what should be ordered now, nothing where the group is as it should be.

    Args:
      model: the model to place.
      group: who is there and what they hold.
      pending: ranges that are ordered and not yet held, by instance.
      settled: whether the rows can be relied on; if not, nothing is given up.
    """
    # `loaded` is what can be used now, `promised` what will be once pending orders are done.
    loaded = list(group.hosts)
    promised = [
        (
            replace(each, first=pending[each.instance][0], end=pending[each.instance][1])
            if each.instance in pending
            else each
        )
        for each in group.hosts
    ]
    if all(each.empty for each in promised):
        return _first_placement(model, group)
    gaps = _gaps(model, promised, 1)
    if gaps:
        return _heal(model, promised, pending, settled)
    if pending or not settled or _gaps(model, loaded, 1):
        return ()
    thin = _gaps(model, promised, group.copies) if group.copies > 1 else []
    idle = [each for each in promised if each.empty]
    if thin and idle:
        return _fill_all(model, promised, thin[:1], pending, only_idle=True)
    return _relieve(model, loaded) or _trim(model, loaded, group.copies) or _balance(model, loaded)


def _first_placement(model: ModelSpec, group: Group) -> tuple[Assignment, ...]:
    """Deal the hosts to the copies by memory, and slice each copy over its hosts."""
    decks: list[list[LayerHost]] = [[] for _ in range(group.copies)]
    ordered = sorted(
        group.hosts, key=lambda each: (-model.kind_of(each.kind).memory_mb, each.instance)
    )
    for host in ordered:
        min(decks, key=lambda deck: _memory(model, deck)).append(host)
    assignments: list[Assignment] = []
    for deck in decks:
        hosts = _interleaved(deck)
        assignments += _slice(model, hosts, 0, model.layers, LARGEST_FILL, "first placement")
    return tuple(assignments)


def _interleaved(hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Spread each kind evenly: a small host's neighbours should be able to take its layers."""
    by_kind: dict[str, list[LayerHost]] = defaultdict(list)
    for host in hosts:
        by_kind[host.kind].append(host)
    placed = [
        ((index + 0.5) / len(members), kind, host)
        for kind, members in by_kind.items()
        for index, host in enumerate(members)
    ]
    return [host for _, _, host in sorted(placed, key=lambda each: each[:2])]


def _memory(model: ModelSpec, hosts: Sequence[LayerHost]) -> float:
    return sum(model.kind_of(each.kind).memory_mb for each in hosts)


def _slice(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    first: int,
    end: int,
    fill: float,
    reason: str,
) -> list[Assignment]:
    """Cut a range into one slice for each host, in proportion to memory, within `fill`."""
    assignments = []
    at = first
    for index, host in enumerate(hosts):
        remaining = hosts[index:]
        share = model.kind_of(host.kind).memory_mb / _memory(model, remaining)
        room_after = sum(model.most_layers(each.kind, fill) for each in hosts[index + 1 :])
        count = min(
            max(round((end - at) * share), end - at - room_after),
            model.most_layers(host.kind, fill),
            end - at,
        )
        if count > 0:
            assignments.append(Assignment(host.instance, at, at + count, reason))
            at += count
    return assignments if at == end else []


def _gaps(model: ModelSpec, hosts: Sequence[LayerHost], depth: int) -> list[tuple[int, int]]:
    """Return the ranges that fewer than `depth` hosts hold."""
    count = [0] * model.layers
    for host in hosts:
        for layer in range(host.first, min(host.end, model.layers)):
            count[layer] += 1
    gaps = []
    start = None
    for layer in range(model.layers + 1):
        short = layer < model.layers and count[layer] < depth
        if short and start is None:
            start = layer
        if not short and start is not None:
            gaps.append((start, layer))
            start = None
    return gaps


def _fill_all(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    gaps: Sequence[tuple[int, int]],
    pending: Mapping[str, tuple[int, int]],
    only_idle: bool = False,
) -> tuple[Assignment, ...]:
    """Fill gaps by neighbours and idle hosts; nothing where one of the gaps is left."""
    now = {each.instance: each for each in hosts}
    changed: dict[str, Assignment] = {}
    # The largest gap has the first choice of idle hosts.
    for gap in sorted(gaps, key=lambda each: each[0] - each[1]):
        filled = None
        for fill in (HEALING_FILL, LARGEST_FILL):
            filled = _fill(model, list(now.values()), gap, fill, pending, only_idle)
            if filled:
                break
        if not filled:
            return ()
        for each in filled:
            changed[each.instance] = each
            now[each.instance] = replace(now[each.instance], first=each.first, end=each.end)
    return tuple(changed.values())


def _fill(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    gap: tuple[int, int],
    fill: float,
    pending: Mapping[str, tuple[int, int]],
    only_idle: bool,
) -> list[Assignment]:
    """Share a gap between the host before it, idle hosts and the host behind it.

    All load at the same time, so that equal shares are done first.
    """
    first, end = gap
    idle = [each for each in hosts if each.empty and each.instance not in pending]
    if not idle and not only_idle:
        idle = _redundant(model, hosts, pending)
    free = [each for each in hosts if each.instance not in pending and each not in idle]
    free = [] if only_idle else free
    before = _roomiest(model, free, fill, lambda each: each.end == first)
    behind = _roomiest(model, free, fill, lambda each: each.first == end)
    idle.sort(key=lambda each: (-model.kind_of(each.kind).memory_mb, each.instance))
    fillers = [each for each in (before, *idle, behind) if each is not None]
    spare = [_spare(model, each, fill, each in idle) for each in fillers]
    shares = _even_shares(end - first, spare)
    if shares is None:
        return []
    assignments = []
    at = first
    for host, share in zip(fillers, shares, strict=True):
        if share == 0:
            continue
        low, high = at, at + share
        if host is before:
            low = host.first
        elif host is behind:
            high = host.end
        assignments.append(Assignment(host.instance, low, high, f"gap {first}-{end}"))
        at += share
    return assignments


def _spare(model: ModelSpec, host: LayerHost, fill: float, idle: bool) -> int:
    """Return how many layers a host can take; an idle one gives up what it holds.

    What is given up stays in memory until no request needs it, so both must fit together.
    """
    held = host.end - host.first
    room = model.most_layers(host.kind, fill)
    return max(0, min(room, model.most_layers(host.kind) - held) if idle else room - held)


def _roomiest(model: ModelSpec, hosts: Sequence[LayerHost], fill: float, fits) -> LayerHost | None:
    options = [each for each in hosts if not each.empty and fits(each)]
    return max(options, key=lambda each: _spare(model, each, fill, False), default=None)


def _even_shares(total: int, limits: Sequence[int]) -> list[int] | None:
    """Split a number into shares as even as their limits allow, None where it doesn't fit."""
    if sum(limits) < total:
        return None
    shares = [0] * len(limits)
    for _ in range(total):
        open_ones = [index for index, limit in enumerate(limits) if shares[index] < limit]
        shares[min(open_ones, key=lambda index: shares[index])] += 1
    return shares


def _redundant(
    model: ModelSpec, hosts: Sequence[LayerHost], pending: Mapping[str, tuple[int, int]]
) -> list[LayerHost]:
    """Return at most one host all of whose layers another host holds as well."""
    for host in hosts:
        if host.empty or host.instance in pending:
            continue
        others = [each for each in hosts if each is not host]
        if not any(low < host.end and host.first < high for low, high in _gaps(model, others, 1)):
            return [host]
    return []


def _heal(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    settled: bool,
) -> tuple[Assignment, ...]:
    """Return what makes a model whole again, or nearer to it.

    Hosts that only widen their ranges break nothing, whatever becomes of the plan. Layers are given
    up only where that makes the model whole at once and nothing is under way; half of such a plan
    would open one gap for another.
    """
    widened, whole = _restore(model, hosts, pending, give_up=False)
    if whole or pending:
        return widened
    moved, whole = _restore(model, hosts, pending, give_up=True)
    if whole:
        return moved
    widened = widened or _widen_towards_slices(model, hosts)
    return widened or (_make_room(model, hosts) if settled else ())


def _restore(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    give_up: bool,
) -> tuple[tuple[Assignment, ...], bool]:
    """Cut the model anew over the hosts in their present order, with the smallest loads.

    The search goes from host to host and keeps, for each layer reached, the cuts that leave the
    fewest layers out, then those whose largest load is smallest: loads run at the same time, so
    that one decides when the model is whole.

    Args:
      model: the model.
      hosts: everybody in the group.
      pending: who takes no order now.
      give_up: whether a host may give up layers for others.

    Returns:
      The assignments, and whether the model is whole with them.
    """
    ordered = _in_order(model, hosts)
    best: dict[int, _Cut] = {0: _Cut(0, 0, 0, 0, 0)}
    trail: list[dict[int, _Cut]] = []
    for host in ordered:
        best = _cut_further(model, host, best, host.instance in pending, give_up)
        trail.append(best)
    assignments = []
    end = min(best, key=lambda reached: best[reached].cost_up_to(model.layers, reached))
    whole = best[end].cost_up_to(model.layers, end)[0] == 0
    for host, cuts in zip(reversed(ordered), reversed(trail), strict=True):
        cut = cuts[end]
        if cut.load:
            low, high = _widened(model, host, cut.first, end)
            reason = f"restores {cut.first}-{end}"
            assignments.append(Assignment(host.instance, low, high, reason))
        end = cut.before
    return tuple(reversed(assignments)), whole


class _Cut(NamedTuple):
    """The best way to reach a layer; ways are compared by the first three.

    `left_out` layers before it are held by nobody, `largest` is the largest load so far and
    `total` all loads; this host runs from `first`, behind hosts that reach up to `before`, and
    loads `load` layers for it. A tuple, since there are tens of thousands of them in one search.
    """

    left_out: int
    largest: int
    total: int
    first: int
    load: int
    before: int = 0

    def cost_up_to(self, layers: int, reached: int) -> tuple[int, int, int]:
        """Return the cost with all layers behind the one reached left out."""
        return self.left_out + layers - reached, self.largest, self.total


def _in_order(model: ModelSpec, hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Return the hosts by what they hold, the idle ones where the largest gap begins."""
    gaps = _gaps(model, hosts, 1)
    largest = max(gaps, key=lambda each: each[1] - each[0], default=(0, 0))
    return sorted(
        hosts,
        key=lambda each: (largest[0], -1, "") if each.empty else (each.first, each.end, ""),
    )


def _cut_further(
    model: ModelSpec, host: LayerHost, reached: Mapping[int, _Cut], fixed: bool, give_up: bool
) -> dict[int, _Cut]:
    """Return the best cuts after one more host; a fixed one runs only what it holds."""
    keeps = not (give_up or host.empty)
    room = model.most_layers(host.kind, LARGEST_FILL)
    spare = 0 if fixed else model.most_layers(host.kind) - (host.end - host.first)
    found: dict[int, _Cut] = {}
    for first, way in _starts(model, reached):
        left_out, largest, total, _, _, before = way
        for end in range(first, min(model.layers, first + room) + 1):
            kept = min(end, host.end) - max(first, host.first)
            load = end - first - kept if kept > 0 else end - first
            if load > spare:
                continue
            if keeps and load and max(end, host.end) - min(first, host.first) > room:
                continue
            cost = (left_out, max(largest, load), total + load)
            if end not in found or cost < found[end][:3]:
                found[end] = _Cut(*cost, first, load, before)
    return found


def _starts(model: ModelSpec, reached: Mapping[int, _Cut]) -> Iterator[tuple[int, _Cut]]:
    """Yield the cheapest way to begin at each layer, leaving layers out where that is best."""
    best: _Cut | None = None
    for layer in range(model.layers + 1):
        here = reached.get(layer)
        if best is not None:
            best = best._replace(left_out=best.left_out + 1)
        if here is not None and (best is None or here[:3] <= best[:3]):
            best = here._replace(before=layer)
        if best is not None:
            yield layer, best


def _widened(model: ModelSpec, host: LayerHost, first: int, end: int) -> tuple[int, int]:
    """Return a new part with as much of what the host holds beside it as its memory takes."""
    spare = model.most_layers(host.kind, LARGEST_FILL) - (end - first)
    while spare > 0 and host.first <= end < host.end:
        end += 1
        spare -= 1
    while spare > 0 and host.first < first <= host.end:
        first -= 1
        spare -= 1
    return first, end


def _widen_towards_slices(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let every host load layers towards an even slice of the model, beside what it holds.

    A gap that is too wide for its neighbours is closed from afar: each host takes layers of the
    next one, which can then give them up and take others nearer to the gap.
    """
    ordered = sorted(hosts, key=lambda each: (each.first, each.end, each.instance))
    by_instance = {each.instance: each for each in hosts}
    assignments = []
    for wanted in _slice(model, ordered, 0, model.layers, LARGEST_FILL, "widens"):
        host = by_instance[wanted.instance]
        low, high = wanted.first, wanted.end
        if not host.empty:
            low, high = _extended(model, host, wanted)
        if (low, high) != (host.first, host.end):
            assignments.append(replace(wanted, first=low, end=high))
    return tuple(assignments)


def _extended(model: ModelSpec, host: LayerHost, wanted: Assignment) -> tuple[int, int]:
    """Return a host's range, wider towards what is wanted as far as its memory goes."""
    low, high = host.first, host.end
    spare = model.most_layers(host.kind, LARGEST_FILL) - (high - low)
    while spare > 0 and (wanted.first < low or high < wanted.end):
        if high < wanted.end:
            high += 1
        else:
            low -= 1
        spare -= 1
    return low, high


def _make_room(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let hosts that are full give up layers that others hold too, on the side away from a gap."""
    depth = [0] * model.layers
    for host in hosts:
        for layer in range(host.first, host.end):
            depth[layer] += 1
    ordered = sorted(hosts, key=lambda each: (each.first, each.end, each.instance))
    by_instance = {each.instance: each for each in hosts}
    assignments = []
    for wanted in _slice(model, ordered, 0, model.layers, LARGEST_FILL, "makes room"):
        host = by_instance[wanted.instance]
        low, high = host.first, host.end
        if low <= wanted.first and wanted.end <= high:
            continue
        while low < min(wanted.first, high - 1) and depth[low] > 1:
            depth[low] -= 1
            low += 1
        while high > max(wanted.end, low + 1) and depth[high - 1] > 1:
            high -= 1
            depth[high] -= 1
        if (low, high) != (host.first, host.end):
            assignments.append(replace(wanted, first=low, end=high))
    return tuple(assignments)


def _fill_of(model: ModelSpec, host: LayerHost) -> float:
    return (host.end - host.first) * model.layer_mb / model.kind_of(host.kind).memory_mb


def _relieve(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let idle hosts take layers of the fullest ones; they are trimmed once that is loaded."""
    assignments = []
    fullest = sorted(
        (each for each in hosts if not each.empty), key=lambda each: -_fill_of(model, each)
    )
    for idle, full in zip((each for each in hosts if each.empty), fullest, strict=False):
        count = model.most_layers(idle.kind, EVEN_FILL)
        if count == 0:
            continue
        low = max(0, min(full.first, model.layers - count))
        assignments.append(Assignment(idle.instance, low, low + count, "relieves the fullest"))
    return tuple(assignments)


def _balance(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let an emptier neighbour load edge layers of the fullest host; they are trimmed there later.

    A host with little room left refuses requests, and a path is no wider than its fullest host.
    """
    for full in sorted(hosts, key=lambda each: -_fill_of(model, each)):
        if full.empty or _fill_of(model, full) <= BALANCE_FILL:
            return ()
        beside = [
            each
            for each in hosts
            if not each.empty
            and (each.first < full.first <= each.end or each.first <= full.end < each.end)
            and _fill_of(model, full) - _fill_of(model, each) > UNEVEN_FILL
        ]
        if beside:
            emptier = min(beside, key=lambda each: _fill_of(model, each))
            taking = _taking_over(model, emptier, full)
            if (taking.first, taking.end) != (emptier.first, emptier.end):
                return (taking,)
    return ()


def _taking_over(model: ModelSpec, emptier: LayerHost, full: LayerHost) -> Assignment:
    """Return the emptier host's range with as many layers of the full one as make both even."""
    memory = [model.kind_of(each.kind).memory_mb for each in (full, emptier)]
    both = (full.end - full.first) + (emptier.end - emptier.first)
    keep = max(1, round(both * memory[0] / sum(memory)))
    count = max(1, full.end - full.first - keep)
    room = model.most_layers(emptier.kind, HEALING_FILL) - (emptier.end - emptier.first)
    count = max(1, min(count, room))
    if emptier.first < full.first:
        low, high = emptier.first, max(emptier.end, full.first + count)
    else:
        low, high = min(emptier.first, full.end - count), emptier.end
    return Assignment(emptier.instance, low, high, "balances")


def _trim(model: ModelSpec, hosts: Sequence[LayerHost], copies: int) -> tuple[Assignment, ...]:
    """Take layers from one host that is too full, where enough others hold them."""
    for host in sorted(hosts, key=lambda each: -_fill_of(model, each)):
        if host.empty or _fill_of(model, host) <= TRIM_FILL:
            return ()
        others = [each for each in hosts if each is not host]
        needed = _gaps(model, others, copies)
        low, high = _still_needed(host, needed)
        keep = max(1, model.most_layers(host.kind, EVEN_FILL))
        low, high = _at_least(host, low, high, keep)
        if (low, high) != (host.first, host.end):
            return (Assignment(host.instance, low, high, "trimmed"),)
    return ()


def _still_needed(host: LayerHost, needed: Sequence[tuple[int, int]]) -> tuple[int, int]:
    inside = [
        (max(low, host.first), min(high, host.end))
        for low, high in needed
        if low < host.end and host.first < high
    ]
    if not inside:
        return host.first, host.first
    return inside[0][0], inside[-1][1]


def _at_least(host: LayerHost, low: int, high: int, keep: int) -> tuple[int, int]:
    """Widen a part of a host's range to `keep` layers within that range."""
    while high - low < keep and (low > host.first or high < host.end):
        if high < host.end:
            high += 1
        elif low > host.first:
            low -= 1
    return low, high
