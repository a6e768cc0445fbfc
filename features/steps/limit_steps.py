"""Steps about admission and the limits of client accounts."""

from collections.abc import Awaitable, Callable

import trio
from behave import given, then, when
from trio.testing import MockClock

from deckcourse.admission import LONGEST_QUEUE, Admission, AdmissionRequest, Capacity
from deckcourse.bench import bench_quota
from deckcourse.outcomes import NotRun

FAR = 10_000.0


class Queue:
    """An admission under test, its actions, and when each request started or was refused."""

    def __init__(self, capacity: Capacity) -> None:
        self.admission = Admission(capacity)
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.started: list[str] = []
        self.refused: dict[str, tuple[NotRun, float]] = {}
        self.nursery: trio.Nursery | None = None
        self._ran = False

    async def enter(self, name: str, account: str, tokens: int, worth: float, seconds: float):
        began = trio.current_time()
        request = AdmissionRequest(account, "m", tokens, worth, began + seconds)
        refusal = await self.admission.enter(request)
        if refusal is None:
            self.started.append(name)
        else:
            self.refused[name] = (refusal, trio.current_time() - began)

    def add(self, name, account="a", tokens=10, worth=1.0, seconds=FAR) -> None:
        async def start() -> None:
            self.nursery.start_soon(self.enter, name, account, tokens, worth, seconds)
            await trio.testing.wait_all_tasks_blocked()

        self.actions.append(start)

    def finish(self) -> "Queue":
        if not self._ran:
            self._ran = True
            trio.run(self._run, clock=MockClock(autojump_threshold=0))
        return self

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for action in self.actions:
                await action()
            await trio.sleep(20)
            nursery.cancel_scope.cancel()


@given("an entry's part of a model is {rate:d} tokens a second, {gap:f} seconds between tokens")
def part(context, rate, gap):
    context.queue = Queue(Capacity(float(rate), gap))


@when("{count:d} requests of {tokens:d} tokens run")
def run(context, count, tokens):
    for number in range(count):
        context.queue.add(f"running-{number}", tokens=tokens)


@when("{count:d} requests of {tokens:d} tokens wait")
def wait(context, count, tokens):
    for number in range(count):
        context.queue.add(f"waiting-{number}", tokens=tokens)


@when("{count:d} requests of the account {account} wait")
def account_waits(context, count, account):
    for number in range(count):
        context.queue.add(f"{account}-{number}", account)


@when("a request of {tokens:d} tokens with {seconds:d} seconds to go arrives")
def arrives(context, tokens, seconds):
    context.queue.add("it", "a", tokens, 1.0, float(seconds))


@when("the queue is full of requests worth {worth:d}")
def full(context, worth):
    for number in range(LONGEST_QUEUE):
        context.queue.add(f"cheap-{number}", worth=float(worth))


@when("a request worth {worth:d} arrives")
def worthy(context, worth):
    context.queue.add("it", "other", worth=float(worth))


@when("requests worth {worths} wait")
def worths_wait(context, worths):
    for worth in worths.split(", "):
        context.queue.add(worth, f"account-{worth}", worth=float(worth))


@when("places come free one by one")
def come_free(context):
    async def leave() -> None:
        for _ in range(40):
            if context.queue.admission.running:
                context.queue.admission.leave()
            await trio.testing.wait_all_tasks_blocked()

    context.queue.actions.append(leave)


@then("it is refused as {reason} at once, to come back in {back:d} seconds")
def refused_at_once(context, reason, back):
    refused_after(context, reason, 0.0, back)


@then("it is refused as {reason} after {seconds:f} seconds, to come back in {back:d} seconds")
def refused_after(context, reason, seconds, back):
    refusal, waited = context.queue.finish().refused["it"]
    assert (refusal.reason, refusal.retry_after) == (reason, back), refusal
    assert abs(waited - seconds) < 1e-6, waited


@then("it waits, and one worth 1 was refused as overloaded at once")
def least_told(context):
    queue = context.queue.finish()
    assert "it" not in queue.refused
    ((name, (refusal, _)),) = queue.refused.items()
    assert name.startswith("cheap") and refusal.reason == "overloaded", (name, refusal)


@then("they start in the order {order}")
def start_order(context, order):
    assert context.queue.finish().started[2:] == order.split(", ")


@then("all of {account} start among the first {count:d}")
def among_first(context, account, count):
    first = context.queue.finish().started[2 : 2 + count]
    assert sum(name.startswith(account) for name in first) == 3, first


@when("callers ask for {demand:d} tokens a second {pattern}")
def ask_quota(context, demand, pattern):
    context.quota = bench_quota(pattern, float(demand), seed=7)


@then("from the 5th second after each change on, {least:f} to {most:f} of the limit is admitted")
def admitted(context, least, most):
    part = context.quota["admitted_part"]
    assert least <= part <= most, context.quota
