"""Stand-ins for the collaborators of a healer: tables, and upstreams that accept orders."""

from collections import Counter

import trio
from returns.result import Failure

from deckcourse.layers.orders import LayerReport, OrderResult
from deckcourse.table import MemoryTable, TableFailure


class SlowTable(MemoryTable):
    """A table whose transactions are answered late, or executed without an answer."""

    def __init__(self, seconds=0.0, lost=False):
        super().__init__()
        self.seconds = seconds
        self.lost = lost

    async def transact(self, writes):
        result = await super().transact(writes)
        await trio.sleep(self.seconds)
        return Failure(TableFailure.UNKNOWN) if self.lost else result


class NotifyingTable(MemoryTable):
    """A table that notifies every healer of rows after a delay, and counts claims."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.claims = 0
        self.listeners = []
        self.nursery = None

    async def transact(self, writes):
        self.claims += 1
        result = await super().transact(writes)
        self.nursery.start_soon(self.notify, writes[0].key)
        return result

    async def notify(self, key):
        await trio.sleep(self.seconds)
        for book, healer, model in self.listeners:
            record = book.merge(self._rows[key])
            if record is not None:
                healer.on_plan(key.partition("/")[2], model, record)


class CountingOrderer:
    """Answers every order with the same result, and counts them."""

    def __init__(self, result):
        self.result = result
        self.orders = 0

    async def place(self, upstream, assignment, orders):
        self.orders += 1
        return self.result

    async def order_count(self, upstream):
        return 1

    async def layer_report(self, upstream):
        return LayerReport(1)


class SilentOrderer(CountingOrderer):
    """Leaves the first orders to each upstream unanswered."""

    def __init__(self, unanswered):
        super().__init__(OrderResult.ACCEPTED)
        self.unanswered = unanswered
        self.attempts = {}
        self.accepted_at = {}

    async def place(self, upstream, assignment, orders):
        self.attempts[upstream.instance] = self.attempts.get(upstream.instance, 0) + 1
        if self.attempts[upstream.instance] <= self.unanswered:
            return OrderResult.UNANSWERED
        self.accepted_at.setdefault(upstream.instance, trio.current_time())
        return self.result


class SimulatedUpstreams:
    """In-memory upstreams that count orders and hold layers.

    An order conflicts if it doesn't name the current order count or if another one is in progress.
    `on_range_changed` is called with an upstream's range after an order; `over_capacity` lists the
    orders that exceed an upstream's memory, each with the range held before.
    """

    LOAD_SECONDS = 0.3
    REPORT_LAG_SECONDS = 0.2

    def __init__(self, model):
        self.model = model
        self.kind = "mid"
        self.taken = []
        self.over_capacity = []
        self.on_range_changed = lambda name, first, end: None
        # Names of the upstreams that accept orders without carrying them out.
        self.dropping_upstreams = set()
        self._orders = {}
        self._ranges = {}
        self._loading = {}

    def set_state(self, name, first, end, orders):
        self._ranges[name] = first, end
        self._orders[name] = orders

    def set_loading(self, name, seconds):
        """Mark an upstream as loading its range until `seconds` after `start`."""
        self._loading[name] = seconds

    def start(self):
        now = trio.current_time()
        self._loading = {name: now + seconds for name, seconds in self._loading.items()}

    def range_of(self, name):
        return self._ranges[name]

    def held_layers(self):
        return {layer for first, end in self._ranges.values() for layer in range(first, end)}

    def _is_loading(self, name, at):
        return at < self._loading.get(name, 0.0)

    async def place(self, upstream, assignment, orders):
        await trio.sleep(0.002)
        name, now = upstream.instance, trio.current_time()
        if self._is_loading(name, now) or orders != self._orders[name]:
            return OrderResult.CONFLICT
        first, end = assignment.first, assignment.end
        held = set(range(*self._ranges[name])) if not assignment.at_once else set()
        order = (name, first, end)
        self.taken.append(order)
        if len(held | set(range(first, end))) > self.model.max_layers(self.kind):
            self.over_capacity.append((order, self._ranges[name]))
        self._orders[name] += 1
        self._loading[name] = now + self.LOAD_SECONDS
        if name in self.dropping_upstreams:
            return OrderResult.ACCEPTED
        self._ranges[name] = first, end
        self.on_range_changed(name, first, end)
        return OrderResult.ACCEPTED

    async def order_count(self, upstream):
        await trio.sleep(0.002)
        return self._orders[upstream.instance]

    async def layer_report(self, upstream):
        """Return a report whose busy state lags by REPORT_LAG_SECONDS; no layers while busy."""
        await trio.sleep(0.002)
        name = upstream.instance
        busy = self._is_loading(name, trio.current_time() - self.REPORT_LAG_SECONDS)
        held = (0, 0) if busy else self._ranges[name]
        return LayerReport(self._orders[name], held, busy)


class SharedStoreUpstreams:
    """In-memory upstreams that load their layers from one store.

    Beyond `model.parallel_loads` loads at a time each takes longer in proportion. An order
    conflicts while another is in progress; `conflicts` counts these.
    """

    TICK_SECONDS = 0.02

    def __init__(self, model, on_range_changed):
        self.model = model
        self.conflicts = 0
        self._on_range_changed = on_range_changed
        self._ranges = {}
        self._orders = Counter()
        # The range and the remaining seconds, if it ran alone, of each load in progress.
        self._loads = {}

    async def run(self):
        while True:
            await trio.sleep(self.TICK_SECONDS)
            rate = min(1.0, self.model.parallel_loads / max(1, len(self._loads)))
            for name, (held, seconds) in list(self._loads.items()):
                self._loads[name] = held, seconds - rate * self.TICK_SECONDS
                if self._loads[name][1] <= 0.0:
                    del self._loads[name]
                    self._ranges[name] = held
                    self._on_range_changed(name, *held)

    async def place(self, upstream, assignment, orders):
        name = upstream.instance
        if name in self._loads or orders != self._orders[name]:
            self.conflicts += 1
            return OrderResult.CONFLICT
        wanted = range(assignment.first, assignment.end)
        missing = len(set(wanted) - set(range(*self._ranges.get(name, (0, 0)))))
        seconds = self.model.load_seconds * missing / self.model.layers
        self._loads[name] = (wanted.start, wanted.stop), seconds
        self._orders[name] += 1
        return OrderResult.ACCEPTED

    async def layer_report(self, upstream):
        name = upstream.instance
        held = self._ranges.get(name, (0, 0))
        return LayerReport(self._orders[name], held, name in self._loads)
