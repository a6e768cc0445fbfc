"""Valid and invalid rows and pages: by name for scenario tables, generated for property tests."""

import json

import trio
from connection_world import virtually
from hypothesis import strategies

from deckcourse.counters import MemoryCounters
from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.row_intake import RowIntake
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.plan_book import PlanBook
from deckcourse.platform.rows import PlatformRows
from deckcourse.platform.store import Store
from deckcourse.table import MemoryTable, Row

# Nesting deeper than any decoder supports.
NESTING_DEPTH = 100_000
# Stands for a value that is put into a row.
PLACE = "the value"
NESTED = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
# A service of the first desired state, and one that is added later.
NAMED, UNNAMED = "crm", "later"
CONFIG = {"version": 1, "services": [{"name": NAMED}]}
LATER_CONFIG = {"version": 2, "services": [{"name": NAMED}, {"name": UNNAMED}]}


def good_row(address, service=NAMED, **fields):
    """Return a valid row of a runner of a service without layers."""
    return {
        "service": service, "address": address, "zone": "x", "version": "v1", "slots": 6,
        "state": "ready", "coldLeftMs": 0, "sequence": 3, **fields,
    }  # fmt: skip


def bad_row(row, what):
    """Return the bytes of a row that is changed as a cell of a scenario table describes."""
    encoded = json.dumps(row).encode()
    cases = {
        "of no bytes": b"",
        "of half its bytes": encoded[: len(encoded) // 2],
        "of bytes that are no text": b"\x80\xff\x00",
        "with a field that is no text": encoded[:-1] + b', "note": "\xff"}',
        "of nested lists": NESTED,
        "with nested lists beside": encoded[:-1] + b', "note": ' + NESTED + b"}",
        "of a list": b"[" + encoded + b"]",
        "of null": b"null",
    }
    if what in cases:
        return cases[what]
    field, is_set, value = what.removeprefix("with ").partition(" = ")
    if is_set:
        # As it stands in the table: Python's json module changes numbers that are out of range.
        value = value.replace("{5000 digits}", "9" * 5000)
        return json.dumps({**row, field: PLACE}).replace(json.dumps(PLACE), value).encode()
    field = what.removeprefix("without ")
    assert field in row, what
    return json.dumps({name: each for name, each in row.items() if name != field}).encode()


def reading(answer, follow=True):
    """Return a table's snapshot, its changes after version 5 and the number of requests sent."""
    targets = []

    async def handle(request, exchange):
        targets.append(request.target)
        assert len(targets) < 20, targets[:4]
        await exchange.respond(200, (), answer(request.target))

    async def work():
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery, CallerBounds)
            network.listen("s:1", handle)
            store = Store(ConnectionPool(lambda what: None, network.dial), "s:1")
            snapshot = await store.snapshot("t")
            changes = await store.changes("t", 5, 1.0) if follow else None
            nursery.cancel_scope.cancel()
        return snapshot, changes, len(targets)

    return virtually(work)


_JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)
# Invalid values of each field.
_BAD_VALUES = {
    "service": strategies.sampled_from(["", 3, None, ["crm"]]),
    "address": strategies.sampled_from(["", "1.2.3.4", "1.2.3.4:0", "x:1", "1.2.3.4:99999", 4]),
    "zone": strategies.sampled_from(["", 3, None]),
    "slots": strategies.sampled_from([0, -1, True, 1.5, "6", None, 10**30, float("nan")]),
    "state": strategies.sampled_from(["", "gone", 1, None, "READY"]),
    "born": strategies.sampled_from([None, True, 1.0, 1.5, "1", -1, 10**30]),
    "layers": strategies.sampled_from(
        [3, {}, {"rangeStart": 2, "targetVersion": 1}, {"rangeStart": 0, "targetVersion": 10**9}]
    ),
}
_KEYS = strategies.sampled_from([f"i-{number}" for number in range(5)])
_ADDRESSES = strategies.sampled_from([f"10.0.0.{number}:80" for number in range(1, 4)])
_SERVICES = strategies.sampled_from([NAMED, NAMED, UNNAMED])
_EXTRA = strategies.dictionaries(strategies.sampled_from(["note", "weight"]), _JSON, max_size=2)


def _encoded(row):
    return json.dumps(row).encode()


def _good_values():
    return strategies.builds(
        lambda address, service, extra: ((address, service), _encoded(
            good_row(address, service, **extra)
        )),
        _ADDRESSES, _SERVICES, _EXTRA,
    )  # fmt: skip


@strategies.composite
def _bad_values(draw):
    row = good_row(draw(_ADDRESSES))
    kind = draw(strategies.sampled_from(["field", "missing", "bytes", "cut", "other"]))
    if kind == "field":
        field = draw(strategies.sampled_from(sorted(_BAD_VALUES)))
        return None, _encoded({**row, field: draw(_BAD_VALUES[field])})
    if kind == "missing":
        missing = draw(strategies.sampled_from(["service", "address", "zone", "slots", "state"]))
        return None, _encoded({name: each for name, each in row.items() if name != missing})
    if kind == "bytes":
        return None, draw(strategies.binary(max_size=30))
    if kind == "other":
        return None, _encoded(draw(_JSON))
    whole = _encoded(row)
    return None, whole[: draw(strategies.integers(0, len(whole) - 1))]


def generated_rows():
    """Return a strategy of steps: a row changes or goes, all are read, or a service is added."""
    row = _good_values() | _bad_values()
    change = strategies.tuples(strategies.just("row"), _KEYS, row)
    gone = strategies.tuples(strategies.just("gone"), _KEYS, strategies.none())
    read = strategies.tuples(strategies.just("read"), strategies.none(), strategies.none())
    named = strategies.tuples(strategies.just("named"), strategies.none(), strategies.none())
    return strategies.lists(change | change | gone | read | named, min_size=1, max_size=25)


class _Rows:
    """The rows of the store, and the upstreams that the intake should use because of them."""

    def __init__(self):
        self.counters = MemoryCounters()
        self.table = UpstreamTable(lambda: 1000.0)
        self.intake = RowIntake(
            PlatformRows(),
            self.table,
            PlanBook(MemoryTable(), "n/1"),
            ConnectionPool(lambda what: None),
            lambda desired: None,
            lambda group, record: None,
            self.counters.count,
            lambda kind, /, **fields: json.dumps(fields),
        )
        self.stored = {}
        self.version = 0
        self.services = {NAMED}

    def name(self, config):
        self.services = {each["name"] for each in config["services"]}
        self.intake.operator_row("config", _encoded(config), config["version"])

    def step(self, kind, key, row):
        self.version += 1
        if kind == "row":
            facts, value = row
            self.stored[key] = self.version, facts, value
            self.intake.upstream_row(key, value, self.version)
        elif kind == "gone":
            self.stored.pop(key, None)
            self.intake.upstream_row(key, None, self.version)
        elif kind == "named":
            self.name(LATER_CONFIG)
        else:
            rows = [Row(f"servers/{name}", at, value) for name, (at, _, value)
                    in self.stored.items()]  # fmt: skip
            self.intake.upstream_rows(rows)

    def expected(self, service):
        """Return the expected upstreams: at each address the newest of a configured service."""
        newest = {}
        oldest_first = sorted(self.stored.items(), key=lambda each: each[1][0])
        for key, (_, facts, _) in oldest_first:
            if facts is not None and facts[1] in self.services:
                newest[facts[0]] = key, facts[1]
        return {key for key, served in newest.values() if served == service}


def check_rows(steps):
    """Apply the steps; after each one, the upstreams in use must be those that the store has."""
    rows = _Rows()
    rows.name(CONFIG)
    for each in steps:
        rows.step(*each)
        for service in (NAMED, UNNAMED):
            used = {found.instance for found in rows.table.usable(service)}
            assert used == rows.expected(service), (each, used, rows.stored)


def generated_pages():
    """Return a strategy of a page's rows, valid and invalid, with the keys of the valid ones."""
    good = strategies.builds(
        lambda number: (f"t/g{number}", {"tlsKey": f"g{number}", "ver": number, "value": "eA=="}),
        strategies.integers(6, 9),
    )
    invalid = strategies.fixed_dictionaries(
        {},
        optional={
            "tlsKey": strategies.just("odd") | _JSON,
            "ver": strategies.integers(-2, 9) | _JSON,
            "value": strategies.text(max_size=6) | _JSON,
            "gone": _JSON,
        },
    )
    foreign = (invalid | _JSON).map(_unlike_good)
    rows = strategies.lists(good | foreign.map(lambda row: (None, row)), max_size=8)
    return rows.map(lambda found: ({name for name, _ in found if name}, [row for _, row in found]))


def _unlike_good(row):
    """Return an invalid row with a key that no valid row has."""
    if isinstance(row, dict) and str(row.get("tlsKey", "")).startswith("g"):
        return {**row, "tlsKey": "odd"}
    return row
