"""Render docs/CAPACITY.md from the measured slopes."""

from dataclasses import dataclass
from math import log2

from deckcourse.claims import WRITES_PER_TRANSACTION
from deckcourse.gossip import LOADS_PER_DIGEST, PEERS_PER_ROUND, ROUND_SECONDS
from deckcourse.lease import RENEWALS_PER_TERM, TERM_SECONDS
from deckcourse.membership import REPORT_LIFETIME_SECONDS
from deckcourse.node import HEAD_SECONDS, POLL_SECONDS, READS_PER_SECOND

# The target size, and the limits on cost at that size.
NODES = 390
RUNNERS = 2300
ACCOUNTS = 220
REQUESTS = 3300.0  # per second
TOKENS = 1.4e6  # per second
CHANGES_PER_DAY = 4100
FAILURES_PER_DAY = 27
RESTARTS_PER_DAY = 220
REGIONS = 3
DOMAINS = 6
SECONDS_PER_DAY = 86400.0
MAX_CORE_SHARE = 0.035
MAX_MEMORY_MB = 128
MAX_BYTES_PER_SECOND = 24 * 1024
MAX_READS_PER_SECOND = 2000.0
MAX_WRITES_PER_SECOND = 300.0
MAX_SPREAD_SECONDS = 12.0
PROCESSES = 2 * NODES
MiB = 1024 * 1024


@dataclass(frozen=True)
class Row:
    """One line of a table: a quantity, its value, its limit, and the mechanism that provides it."""

    quantity: str
    value: str
    limit: str
    mechanism: str


class Slopes:
    """The slopes by name."""

    def __init__(self, figures: dict) -> None:
        self._slopes = {slope["name"]: slope for slope in figures["slopes"]}

    def per_unit(self, name: str) -> float:
        """Return the cost of one more unit: the gradient of the line."""
        return self._slopes[name]["each"]

    def value_at(self, name: str, size: float) -> float:
        """Return the value of the line at a size; a negative value counts as zero."""
        slope = self._slopes[name]
        return max(0.0, slope["base"] + slope["each"] * size)


@dataclass(frozen=True)
class NodeCost:
    """Cost of control traffic and polls for one node, per second.

    `exchanges` counts those that both processes start, `entry_exchanges` those of the entry alone.
    """

    exchanges: float
    digest_bytes: float
    bytes_out: float
    core_share: float
    polls: float
    entry_exchanges: float


def node_cost(slopes: Slopes) -> NodeCost:
    """Compute the cost of control on a node, which runs an entry and a controller."""
    exchanges_per_process = PEERS_PER_ROUND / ROUND_SECONDS
    own_loads = min(LOADS_PER_DIGEST, RUNNERS / NODES)
    # Worst case: all accounts. At any moment a node sees only some of them.
    digest_bytes = (
        slopes.value_at("load report in a digest", own_loads)
        + slopes.per_unit("account in a digest") * ACCOUNTS
        + slopes.per_unit("leaving upstream in a digest") * FAILURES_PER_DAY
    )
    # Two processes, each of which starts that many exchanges and answers as many; each exchange
    # started or answered sends one message.
    messages_per_second = 2 * 2 * exchanges_per_process
    polls_per_second = RUNNERS / NODES / POLL_SECONDS
    exchange_seconds = slopes.per_unit("exchange with a peer, both sides, 16 loads")
    core_share = (
        2 * exchanges_per_process * exchange_seconds
        + polls_per_second * slopes.per_unit("poll of an upstream, both sides") / 2
    )
    core_share += (
        CHANGES_PER_DAY
        / SECONDS_PER_DAY
        * 2
        * slopes.value_at("apply a change, by runners placed", RUNNERS)
    )
    return NodeCost(
        2 * exchanges_per_process,
        digest_bytes,
        messages_per_second * digest_bytes,
        core_share,
        polls_per_second,
        exchanges_per_process,
    )


def table(rows: list[Row]) -> str:
    """Return a table in Markdown."""
    lines = ["| what | at the target | limit | carried by |", "|---|---|---|---|"]
    lines += [f"| {row.quantity} | {row.value} | {row.limit} | {row.mechanism} |" for row in rows]
    return "\n".join(lines)


def entry_rows(slopes: Slopes) -> list[Row]:
    requests, tokens = REQUESTS / NODES, TOKENS / NODES
    request_core_share = requests * slopes.per_unit("request of one token through an entry")
    token_core_share = tokens * slopes.per_unit("token through an entry")
    route_seconds = slopes.value_at("choice of a route, by runners in the configuration", RUNNERS)
    check_seconds = (
        slopes.value_at("limit check of each account, 20 peers known", ACCOUNTS) / ACCOUNTS
    )
    check_seconds *= NODES / 20
    state_bytes = (
        slopes.value_at("configuration in memory", RUNNERS)
        + slopes.value_at("load reports in memory", RUNNERS)
        + slopes.per_unit("accounts in memory") * ACCOUNTS
    )
    return [
        Row(
            "tokens",
            f"{tokens:,.0f} a second, {token_core_share:.2f} of a core",
            "one core",
            "`relay.py`, `pipeline.py`: one task a stream, stage-to-stage forwarding",
        ),
        Row(
            "requests",
            f"{requests:.1f} a second, {request_core_share:.3f} of a core",
            "one core",
            "`entry_app.py`",
        ),
        Row(
            "choice of a route",
            f"{route_seconds * 1000:.2f} ms a request, {route_seconds * requests:.4f} of a core",
            "in 0.35 s to the first token",
            "`router.py`; it reads every placement of the configuration: an index by model will "
            "take the factor 17 off (not built)",
        ),
        Row(
            "limit check",
            f"{check_seconds * 1000:.2f} ms a request, {check_seconds * requests:.4f} of a core",
            "as above",
            "`quota.py`; it sums the demand of each peer: a sum kept on each digest will make it "
            "constant (not built)",
        ),
        Row(
            "state",
            f"{state_bytes / MiB:.1f} MiB over the process's own",
            f"{MAX_MEMORY_MB} MB for both processes",
            "`configuration.py`, `membership.py`; the whole configuration on each node",
        ),
    ]


def control_rows(slopes: Slopes) -> list[Row]:
    cost = node_cost(slopes)
    spread_seconds = slopes.value_at(
        "spread of a change to all entries, by gossip alone", log2(PROCESSES)
    )
    full_update_seconds = NODES / (2 * cost.entry_exchanges)
    return [
        Row(
            "exchanges with peers",
            f"{cost.exchanges:.0f} started a second by a node, {cost.core_share:.4f} of "
            "a core with polls and changes",
            f"{MAX_CORE_SHARE} of a core",
            "`gossip.py`: a few peers each round, the number of nodes has no part in it",
        ),
        Row(
            "bytes sent",
            f"{cost.digest_bytes:,.0f} B a message, {cost.bytes_out / 1024:.0f} KiB a second",
            f"{MAX_BYTES_PER_SECOND / 1024:.0f} KB a second",
            _bytes_mechanism(cost),
        ),
        Row(
            "load reports",
            f"an entry hears of all others once in {full_update_seconds:.0f} s",
            f"{REPORT_LIFETIME_SECONDS:.0f} s, a report's lifetime",
            "**does not fit**: digests carry only a node's own polls. Reports will ride on the "
            "frames of streams, and an entry will use a subset of each model's replicas (not "
            "built); holds up to about "
            f"{2 * cost.entry_exchanges * REPORT_LIFETIME_SECONDS:.0f} entries",
        ),
        Row(
            "a change in force everywhere",
            f"{spread_seconds:.1f} s by gossip alone (line over 9 to 72 entries on a virtual "
            "clock)",
            f"{MAX_SPREAD_SECONDS:.0f} s",
            "`gossip.py`: a change starts a round at once; the head row is read besides",
        ),
        Row(
            "polls of upstreams",
            f"{cost.polls:.1f} a second by a node",
            "in the core above",
            "`node.py`: rendezvous hashing gives each upstream one entry",
        ),
    ]


def _bytes_mechanism(cost: NodeCost) -> str:
    if cost.bytes_out <= MAX_BYTES_PER_SECOND:
        return "`peer_link.py`: load reports as rows without names"
    excess = cost.bytes_out / MAX_BYTES_PER_SECOND
    return (
        f"**{excess:.1f} times over** with all {ACCOUNTS} accounts in each digest: only the "
        "accounts whose demand changed by a tenth will be sent, and one process of a node will "
        "speak for both (not built)"
    )


def controller_rows(slopes: Slopes) -> list[Row]:
    plan_seconds = slopes.value_at("plan of one intent, by runners", RUNNERS)
    flow_seconds = slopes.value_at("flow of all 17 models, by runners", RUNNERS)
    losses_per_second = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / SECONDS_PER_DAY
    return [
        Row(
            "a plan",
            f"{plan_seconds:.2f} s of processor time",
            "none is set; an operator waits",
            "`planner.py`, `flow.py`, in a process of its own so that no token waits",
        ),
        Row(
            "weights of one model after a change",
            f"{flow_seconds / 17 * 1000:.0f} ms",
            f"{MAX_CORE_SHARE} of a core in the mean",
            f"`flow.py`, on the lease's holder; {losses_per_second * SECONDS_PER_DAY:.0f} losses a "
            f"day make {losses_per_second * flow_seconds / 17:.6f} of a core",
        ),
        Row(
            "without the lease",
            f"{1 / _renewal_interval_seconds():.1f} reads a second",
            "see the platform",
            "`lease.py`",
        ),
    ]


def _renewal_interval_seconds() -> float:
    return TERM_SECONDS / RENEWALS_PER_TERM


def platform_rows(slopes: Slopes) -> list[Row]:
    lease_reads = NODES / _renewal_interval_seconds()
    head_reads = min(PROCESSES / HEAD_SECONDS, READS_PER_SECOND)
    change_bytes = slopes.value_at("a change's row", 4)
    snapshot_bytes = slopes.value_at("snapshot of the configuration", RUNNERS)
    total_reads = lease_reads + head_reads
    max_claims = MAX_WRITES_PER_SECOND / 2
    return [
        Row(
            "reads of the head row",
            f"{head_reads:.0f} a second by all {PROCESSES} processes",
            f"{MAX_READS_PER_SECOND:.0f} reads a second in all",
            "`node.py`: the pause between reads grows with the peers heard of",
        ),
        Row(
            "reads of the list",
            f"{head_reads:.0f} a second",
            "the list's own",
            "as above",
        ),
        Row(
            "reads of the lease",
            f"{lease_reads:.0f} a second; {total_reads:.0f} with the head row",
            f"{MAX_READS_PER_SECOND:.0f} a second",
            "`lease.py`: every controller reads it each "
            f"{_renewal_interval_seconds():.0f} s; a few candidates by rendezvous hashing will "
            "do (not built)",
        ),
        Row(
            "writes of the lease, of changes",
            f"{1 / _renewal_interval_seconds() + 2 * CHANGES_PER_DAY / SECONDS_PER_DAY:.2f} a "
            f"second, {change_bytes:,.0f} B a change of four placements",
            f"{MAX_WRITES_PER_SECOND:.0f} a second (assumed of «a few hundred»)",
            "`configuration_store.py`",
        ),
        Row(
            "claims",
            f"{max_claims:.0f} claimed requests a second at the most, "
            f"{100 * max_claims / REQUESTS:.1f} % of all, at two writes each",
            f"{MAX_WRITES_PER_SECOND:.0f} writes a second",
            "`claims.py` shares a transaction among up to "
            f"{WRITES_PER_TRANSACTION} claims that wait at one entry; at "
            f"{REQUESTS / NODES:.1f} requests a second few wait together. Beyond it, claims will "
            "go by the key's hash to a few entries that write for all (not built)",
        ),
        Row(
            "a snapshot",
            f"{snapshot_bytes / 1024:,.0f} KiB in the object store, every 50 changes",
            "none is set",
            "`configuration_store.py`",
        ),
    ]


def large_failures(slopes: Slopes) -> str:
    """Return what large failures and a restart of all entries cost at the target size."""
    rack_runners = RUNNERS / 100
    domain_runners = RUNNERS / DOMAINS
    flow_seconds = slopes.value_at("flow of all 17 models, by runners", RUNNERS)
    snapshot_bytes = slopes.value_at("snapshot of the configuration", RUNNERS)
    change_bytes = slopes.value_at("a change's row", 1)
    placement_bytes = slopes.per_unit("a change's row")
    spread_seconds = slopes.value_at(
        "spread of a change to all entries, by gossip alone", log2(PROCESSES)
    )
    restart_mib = NODES * 2 * snapshot_bytes / MiB
    lines = [
        f"- **An instance** ({FAILURES_PER_DAY} a day): each stream through it resumes on its own; "
        f"the holder replaces it after 4 s by one change of {change_bytes:,.0f} B, in force after "
        f"{spread_seconds:.1f} s, and an order.",
        f"- **A rack** (taken as {rack_runners:.0f} runners): one change for all that were lost "
        f"in the same half second, {change_bytes + placement_bytes * rack_runners:,.0f} B; the "
        f"weights of up to 17 models, {flow_seconds:.2f} s of the holder's processor.",
        f"- **A failure domain** ({domain_runners:.0f} runners and {NODES / DOMAINS:.0f} nodes): "
        f"a change of {(change_bytes + placement_bytes * domain_runners) / 1024:,.0f} KiB if "
        f"spare runners are there; the polls of {domain_runners:.0f} upstreams move to the other "
        f"nodes by hashing, {RUNNERS / NODES:.1f} to {RUNNERS / (NODES * 5 / 6):.1f} a node. A "
        "lease held there is taken over 8 s after its last renewal.",
        "- **Regions apart** (a third of the nodes): each side serves with what it knows. The "
        "lease and changes stay with the side that reaches the platform. Account shares are "
        "frozen for 30 s, then fall to an equal part: over-admission is at most one account's "
        "limit twice for that time (worked out, not measured).",
        "- **The platform out for an hour**: serving goes on; no claim is granted (not run, at "
        "once), no plan is confirmed, nothing is healed, since both need the table. Reads that "
        f"fail go on at {READS_PER_SECOND:.0f} a second; afterwards each node is one read behind.",
        f"- **All entries restart**: {PROCESSES} snapshots of {snapshot_bytes / 1024:,.0f} KiB are "
        f"{restart_mib:,.0f} MiB from the object store, and as many reads of the head row at once: "
        f"{PROCESSES / MAX_READS_PER_SECOND:.1f} s of the platform's reads. Rendezvous hashing "
        "settles within the peers' lifetime of 5 s.",
    ]
    return "\n".join(lines)


def slopes_table(figures: dict) -> str:
    """Return a table of all measured points, fitted lines and residuals."""
    lines = [
        "| measured | points | base | one more | residual |",
        "|---|---|---|---|---|",
    ]
    for slope in figures["slopes"]:
        pairs = zip(slope["x"], slope["y"], strict=True)
        points = ", ".join(f"{x:.3g}: {y:.3g}" for x, y in pairs)
        lines.append(
            f"| {slope['name']} | {points} | {slope['base']:.3g} {slope['unit']} | "
            f"{slope['each']:.3g} {slope['unit']} a {slope['per']} | {slope['residual']:.1%} |"
        )
    return "\n".join(lines)


def render_page(figures: dict) -> str:
    """Render the page in Markdown."""
    slopes = Slopes(figures)
    return f"""# Capacity at the target size

Written by `make capacity` on {figures["date"]} ({figures["machine"]}) from slopes measured on one
machine with small stand-ins; a new run writes the page anew. Seconds are processor seconds of the
measured code. What could not be measured here is marked as assumed.

The target: {NODES} nodes before {RUNNERS:,} runners on 9,400 accelerators of 6 kinds,
{REQUESTS:,.0f} requests and {TOKENS / 1e6:.1f} million tokens a second, {ACCOUNTS} client accounts,
17 models, {REGIONS} regions, {DOMAINS} failure domains, {CHANGES_PER_DAY:,} changes a day in force
everywhere in {MAX_SPREAD_SECONDS:.0f} s. Control on a node: {MAX_CORE_SHARE:.1%} of a core,
{MAX_MEMORY_MB} MB, {MAX_BYTES_PER_SECOND / 1024:.0f} KB a second.

## What breaks first

1. Load reports: they reach an entry only from the node that polled the upstream, so beyond about
   {2 * node_cost(slopes).entry_exchanges * REPORT_LIFETIME_SECONDS:.0f} entries they are too old to
   route by.
2. Bytes of the digests, with every account in each of them.
3. Claims: two writes each, against a few hundred writes a second for all.
4. Reads of the lease by every controller.

The first token (0.35 s) and the gap between tokens (61 ms) depend on the engines, which are not
here; what an entry adds to the first token is in docs/PROOFS.md.

## Entry: the data path

{table(entry_rows(slopes))}

## Node: control, an entry and a controller together

{table(control_rows(slopes))}

Memory of the processes themselves is in docs/PROOFS.md.

## Controller

{table(controller_rows(slopes))}

## The platform's services, as all nodes together use them

{table(platform_rows(slopes))}

## When something large goes

Worked out from the slopes, not run at this size.

{large_failures(slopes)}

## Assumed, not measured

- That a line fitted at these sizes goes on to the target: the largest runs had 72 entries on a
  virtual clock, and configurations of 2,300 runners in one process.
- Links between regions, real engines, the platform's own times: there are none here.
- A few hundred writes a second: taken as {MAX_WRITES_PER_SECOND:.0f}.

## The slopes

{slopes_table(figures)}

![data path](capacity-data-path.png)

![control](capacity-control.png)
"""
