"""The text of docs/CAPACITY.md, worked out from the measured slopes."""

from dataclasses import dataclass
from math import log2

from deckcourse.claims import WRITES_PER_TRANSACTION
from deckcourse.gossip import LOADS_PER_DIGEST, PEERS_PER_ROUND, ROUND_SECONDS
from deckcourse.lease import RENEWALS_PER_TERM, TERM_SECONDS
from deckcourse.membership import REPORT_LIFETIME_SECONDS
from deckcourse.node import HEAD_SECONDS, POLL_SECONDS, READS_PER_SECOND

NODES = 390
RUNNERS = 2300
ACCOUNTS = 220
REQUESTS = 3300.0
TOKENS = 1.4e6
CHANGES_A_DAY = 4100
FAILURES_A_DAY = 27
RESTARTS_A_DAY = 220
REGIONS = 3
DOMAINS = 6
DAY = 86400.0
CORE_LIMIT = 0.035
MEMORY_LIMIT_MB = 128
BYTES_LIMIT = 24 * 1024
READS_LIMIT = 2000.0
WRITES_LIMIT = 300.0
CONFIG_LIMIT_SECONDS = 12.0
PROCESSES = 2 * NODES
MiB = 1024 * 1024


@dataclass(frozen=True)
class Row:
    """One line of a table: what, how much, its limit, and the mechanism."""

    what: str
    value: str
    limit: str
    mechanism: str


class Figures:
    """The slopes by name."""

    def __init__(self, figures: dict) -> None:
        self._slopes = {slope["name"]: slope for slope in figures["slopes"]}

    def each(self, name: str) -> float:
        """Return the cost of one more."""
        return self._slopes[name]["each"]

    def at(self, name: str, size: float) -> float:
        """Return the line's value at a size; below zero it's no cost."""
        slope = self._slopes[name]
        return max(0.0, slope["base"] + slope["each"] * size)


@dataclass(frozen=True)
class Control:
    """What control costs one node a second."""

    exchanges: float
    digest_bytes: float
    bytes_out: float
    core: float
    polls: float
    heard_entries: float


def control(figures: Figures) -> Control:
    """Work out control on a node: an entry and a controller."""
    started = PEERS_PER_ROUND / ROUND_SECONDS
    own_loads = min(LOADS_PER_DIGEST, RUNNERS / NODES)
    # A node sees a part of the accounts at any moment; here all of them, the worst case.
    digest = (
        figures.at("load report in a digest", own_loads)
        + figures.each("account in a digest") * ACCOUNTS
        + figures.each("leaving upstream in a digest") * FAILURES_A_DAY
    )
    # Each process starts so many exchanges and answers as many: a message out for each.
    messages = 2 * 2 * started
    polls = RUNNERS / NODES / POLL_SECONDS
    exchange = figures.each("exchange with a peer, both sides, 16 loads")
    core = 2 * started * exchange + polls * figures.each("poll of an upstream, both sides") / 2
    core += CHANGES_A_DAY / DAY * 2 * figures.at("apply a change, by runners placed", RUNNERS)
    return Control(2 * started, digest, messages * digest, core, polls, started)


def table(rows: list[Row]) -> str:
    """Return a table in Markdown."""
    lines = ["| what | at the target | limit | carried by |", "|---|---|---|---|"]
    lines += [f"| {row.what} | {row.value} | {row.limit} | {row.mechanism} |" for row in rows]
    return "\n".join(lines)


def entry_rows(figures: Figures) -> list[Row]:
    requests, tokens = REQUESTS / NODES, TOKENS / NODES
    request_core = requests * figures.each("request of one token through an entry")
    token_core = tokens * figures.each("token through an entry")
    route = figures.at("choice of a route, by runners in the configuration", RUNNERS)
    check = figures.at("limit check of each account, 20 peers known", ACCOUNTS) / ACCOUNTS
    check *= NODES / 20
    state = (
        figures.at("configuration in memory", RUNNERS)
        + figures.at("load reports in memory", RUNNERS)
        + figures.each("accounts in memory") * ACCOUNTS
    )
    return [
        Row(
            "tokens",
            f"{tokens:,.0f} a second, {token_core:.2f} of a core",
            "one core",
            "`relay.py`, `pipeline.py`: one task a stream, stage-to-stage forwarding",
        ),
        Row(
            "requests",
            f"{requests:.1f} a second, {request_core:.3f} of a core",
            "one core",
            "`entry_app.py`",
        ),
        Row(
            "choice of a route",
            f"{route * 1000:.2f} ms a request, {route * requests:.4f} of a core",
            "in 0.35 s to the first token",
            "`router.py`; it reads every placement of the configuration: an index by model will "
            "take the factor 17 off (not built)",
        ),
        Row(
            "limit check",
            f"{check * 1000:.2f} ms a request, {check * requests:.4f} of a core",
            "as above",
            "`quota.py`; it sums the demand of each peer: a sum kept on each digest will make it "
            "constant (not built)",
        ),
        Row(
            "state",
            f"{state / MiB:.1f} MiB over the process's own",
            f"{MEMORY_LIMIT_MB} MB for both processes",
            "`configuration.py`, `membership.py`; the whole configuration on each node",
        ),
    ]


def control_rows(figures: Figures) -> list[Row]:
    one = control(figures)
    spread = figures.at("spread of a change to all entries, by gossip alone", log2(PROCESSES))
    hear_all = NODES / (2 * one.heard_entries)
    return [
        Row(
            "exchanges with peers",
            f"{one.exchanges:.0f} started a second by a node, {one.core:.4f} of a core with polls "
            "and changes",
            f"{CORE_LIMIT} of a core",
            "`gossip.py`: a few peers each round, the number of nodes has no part in it",
        ),
        Row(
            "bytes sent",
            f"{one.digest_bytes:,.0f} B a message, {one.bytes_out / 1024:.0f} KiB a second",
            f"{BYTES_LIMIT / 1024:.0f} KB a second",
            _bytes_verdict(one),
        ),
        Row(
            "load reports",
            f"an entry hears of all others once in {hear_all:.0f} s",
            f"{REPORT_LIFETIME_SECONDS:.0f} s, a report's lifetime",
            "**does not fit**: digests carry only a node's own polls. Reports will ride on the "
            "frames of streams, and an entry will use a subset of each model's replicas (not "
            "built); holds up to about "
            f"{2 * one.heard_entries * REPORT_LIFETIME_SECONDS:.0f} entries",
        ),
        Row(
            "a change in force everywhere",
            f"{spread:.1f} s by gossip alone (line over 9 to 72 entries on a virtual clock)",
            f"{CONFIG_LIMIT_SECONDS:.0f} s",
            "`gossip.py`: a change starts a round at once; the head row is read besides",
        ),
        Row(
            "polls of upstreams",
            f"{one.polls:.1f} a second by a node",
            "in the core above",
            "`node.py`: rendezvous hashing gives each upstream one entry",
        ),
    ]


def _bytes_verdict(one: Control) -> str:
    if one.bytes_out <= BYTES_LIMIT:
        return "`peer_link.py`: load reports as rows without names"
    factor = one.bytes_out / BYTES_LIMIT
    return (
        f"**{factor:.1f} times over** with all {ACCOUNTS} accounts in each digest: only the "
        "accounts whose demand changed by a tenth will be sent, and one process of a node will "
        "speak for both (not built)"
    )


def controller_rows(figures: Figures) -> list[Row]:
    plan = figures.at("plan of one intent, by runners", RUNNERS)
    flow = figures.at("flow of all 17 models, by runners", RUNNERS)
    heals = (FAILURES_A_DAY + RESTARTS_A_DAY) / DAY
    return [
        Row(
            "a plan",
            f"{plan:.2f} s of processor time",
            "none is set; an operator waits",
            "`planner.py`, `flow.py`, in a process of its own so that no token waits",
        ),
        Row(
            "weights of one model after a change",
            f"{flow / 17 * 1000:.0f} ms",
            f"{CORE_LIMIT} of a core in the mean",
            f"`flow.py`, on the lease's holder; {heals * DAY:.0f} losses a day make "
            f"{heals * flow / 17:.6f} of a core",
        ),
        Row(
            "without the lease",
            f"{1 / _lease_seconds():.1f} reads a second",
            "see the platform",
            "`lease.py`",
        ),
    ]


def _lease_seconds() -> float:
    return TERM_SECONDS / RENEWALS_PER_TERM


def platform_rows(figures: Figures) -> list[Row]:
    lease = NODES / _lease_seconds()
    heads = min(PROCESSES / HEAD_SECONDS, READS_PER_SECOND)
    change = figures.at("a change's row", 4)
    snapshot = figures.at("snapshot of the configuration", RUNNERS)
    reads = lease + heads
    claimed = WRITES_LIMIT / 2
    return [
        Row(
            "reads of the head row",
            f"{heads:.0f} a second by all {PROCESSES} processes",
            f"{READS_LIMIT:.0f} reads a second in all",
            "`node.py`: the pause between reads grows with the peers heard of",
        ),
        Row(
            "reads of the list",
            f"{heads:.0f} a second",
            "the list's own",
            "as above",
        ),
        Row(
            "reads of the lease",
            f"{lease:.0f} a second; {reads:.0f} with the head row",
            f"{READS_LIMIT:.0f} a second",
            "`lease.py`: every controller reads it each "
            f"{_lease_seconds():.0f} s; a few candidates by rendezvous hashing will do (not built)",
        ),
        Row(
            "writes of the lease, of changes",
            f"{1 / _lease_seconds() + 2 * CHANGES_A_DAY / DAY:.2f} a second, "
            f"{change:,.0f} B a change of four placements",
            f"{WRITES_LIMIT:.0f} a second (assumed of «a few hundred»)",
            "`configuration_store.py`",
        ),
        Row(
            "claims",
            f"{claimed:.0f} claimed requests a second at the most, "
            f"{100 * claimed / REQUESTS:.1f} % of all, at two writes each",
            f"{WRITES_LIMIT:.0f} writes a second",
            "`claims.py` shares a transaction among up to "
            f"{WRITES_PER_TRANSACTION} claims that wait at one entry; at "
            f"{REQUESTS / NODES:.1f} requests a second few wait together. Beyond it, claims will "
            "go by the key's hash to a few entries that write for all (not built)",
        ),
        Row(
            "a snapshot",
            f"{snapshot / 1024:,.0f} KiB in the object store, every 50 changes",
            "none is set",
            "`configuration_store.py`",
        ),
    ]


def events(figures: Figures) -> str:
    """What happens at the target size when something large goes."""
    runners_a_rack = RUNNERS / 100
    runners_a_domain = RUNNERS / DOMAINS
    flow = figures.at("flow of all 17 models, by runners", RUNNERS)
    snapshot = figures.at("snapshot of the configuration", RUNNERS)
    row = figures.at("a change's row", 1)
    placement = figures.each("a change's row")
    spread = figures.at("spread of a change to all entries, by gossip alone", log2(PROCESSES))
    restart = NODES * 2 * snapshot / MiB
    lines = [
        f"- **An instance** ({FAILURES_A_DAY} a day): each stream through it resumes on its own; "
        f"the holder replaces it after 4 s by one change of {row:,.0f} B, in force after "
        f"{spread:.1f} s, and an order.",
        f"- **A rack** (taken as {runners_a_rack:.0f} runners): one change for all that were lost "
        f"in the same half second, {row + placement * runners_a_rack:,.0f} B; the weights of up to "
        f"17 models, {flow:.2f} s of the holder's processor.",
        f"- **A failure domain** ({runners_a_domain:.0f} runners and {NODES / DOMAINS:.0f} nodes): "
        f"a change of {(row + placement * runners_a_domain) / 1024:,.0f} KiB if spare runners are "
        f"there; the polls of {runners_a_domain:.0f} upstreams move to the other nodes by hashing, "
        f"{RUNNERS / NODES:.1f} to {RUNNERS / (NODES * 5 / 6):.1f} a node. A lease held there is "
        "taken over 8 s after its last renewal.",
        "- **Regions apart** (a third of the nodes): each side serves with what it knows. The "
        "lease and changes stay with the side that reaches the platform. Account shares are "
        "frozen for 30 s, then fall to an equal part: over-admission is at most one account's "
        "limit twice for that time (worked out, not measured).",
        "- **The platform out for an hour**: serving goes on; no claim is granted (not run, at "
        "once), no plan is confirmed, nothing is healed, since both need the table. Reads that "
        f"fail go on at {READS_PER_SECOND:.0f} a second; afterwards each node is one read behind.",
        f"- **All entries restart**: {PROCESSES} snapshots of {snapshot / 1024:,.0f} KiB are "
        f"{restart:,.0f} MiB from the object store, and as many reads of the head row at once: "
        f"{PROCESSES / READS_LIMIT:.1f} s of the platform's reads. Rendezvous hashing settles "
        "within the peers' lifetime of 5 s.",
    ]
    return "\n".join(lines)


def slopes_table(figures: dict) -> str:
    """Return all points, fits and residuals."""
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


def page(measured: dict) -> str:
    """Return the page."""
    figures = Figures(measured)
    return f"""# Capacity at the target size

Written by `make capacity` on {measured["date"]} ({measured["machine"]}) from slopes measured on one
machine with small stand-ins; a new run writes the page anew. Seconds are processor seconds of the
measured code. What could not be measured here is marked as assumed.

The target: {NODES} nodes before {RUNNERS:,} runners on 9,400 accelerators of 6 kinds,
{REQUESTS:,.0f} requests and {TOKENS / 1e6:.1f} million tokens a second, {ACCOUNTS} client accounts,
17 models, {REGIONS} regions, {DOMAINS} failure domains, {CHANGES_A_DAY:,} changes a day in force
everywhere in {CONFIG_LIMIT_SECONDS:.0f} s. Control on a node: {CORE_LIMIT:.1%} of a core,
{MEMORY_LIMIT_MB} MB, {BYTES_LIMIT / 1024:.0f} KB a second.

## What breaks first

1. Load reports: they reach an entry only from the node that polled the upstream, so beyond about
   {2 * control(figures).heard_entries * REPORT_LIFETIME_SECONDS:.0f} entries they are too old to
   route by.
2. Bytes of the digests, with every account in each of them.
3. Claims: two writes each, against a few hundred writes a second for all.
4. Reads of the lease by every controller.

The first token (0.35 s) and the gap between tokens (61 ms) depend on the engines, which are not
here; what an entry adds to the first token is in docs/PROOFS.md.

## Entry: the data path

{table(entry_rows(figures))}

## Node: control, an entry and a controller together

{table(control_rows(figures))}

Memory of the processes themselves is in docs/PROOFS.md.

## Controller

{table(controller_rows(figures))}

## The platform's services, as all nodes together use them

{table(platform_rows(figures))}

## When something large goes

Worked out from the slopes, not run at this size.

{events(figures)}

## Assumed, not measured

- That a line fitted at these sizes goes on to the target: the largest runs had 72 entries on a
  virtual clock, and configurations of 2,300 runners in one process.
- Links between regions, real engines, the platform's own times: there are none here.
- A few hundred writes a second: taken as {WRITES_LIMIT:.0f}.

## The slopes

{slopes_table(measured)}

![data path](capacity-data-path.png)

![control](capacity-control.png)
"""
