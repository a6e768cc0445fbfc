"""Stand-ins of what a healer works with: a table that answers late, upstreams that take orders."""

import trio
from returns.result import Failure

from deckcourse.layers.healer import OrderResult
from deckcourse.table import MemoryTable, TableFailure


class SlowTable(MemoryTable):
    """A table whose transactions are answered late, or done and not answered."""

    def __init__(self, seconds=0.0, lost=False):
        super().__init__()
        self.seconds = seconds
        self.lost = lost

    async def transact(self, writes):
        result = await super().transact(writes)
        await trio.sleep(self.seconds)
        return Failure(TableFailure.UNKNOWN) if self.lost else result


class ToldTable(MemoryTable):
    """A table whose rows are told to every healer a little later; counts claims."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.claims = 0
        self.listeners = []
        self.nursery = None

    async def transact(self, writes):
        self.claims += 1
        result = await super().transact(writes)
        self.nursery.start_soon(self.tell, writes[0].key)
        return result

    async def tell(self, key):
        await trio.sleep(self.seconds)
        for book, healer, model in self.listeners:
            record = book.note(self._rows[key])
            if record is not None:
                healer.hear(key.partition("/")[2], model, record)


class CountingOrderer:
    """Answers every order alike, and counts them."""

    def __init__(self, result):
        self.result = result
        self.orders = 0

    async def place(self, upstream, assignment, orders):
        self.orders += 1
        return self.result

    async def order_count(self, upstream):
        return 1


class DeafOrderer(CountingOrderer):
    """Answers none of the first orders to each upstream."""

    def __init__(self, deaf):
        super().__init__(OrderResult.TAKEN)
        self.deaf = deaf
        self.tries = {}
        self.taken = {}

    async def place(self, upstream, assignment, orders):
        self.tries[upstream.instance] = self.tries.get(upstream.instance, 0) + 1
        if self.tries[upstream.instance] <= self.deaf:
            return OrderResult.UNANSWERED
        self.taken.setdefault(upstream.instance, trio.current_time())
        return self.result
