"""Steps for connections to upstreams and other processes that go silent for good."""

import trio
from behave import given, then, when
from gateway_world import GatewayWorld
from partition_world import Cut, PartitionWorld

SETTLE_SECONDS = 1.0
# Time for a process to find that it is partitioned.
PARTITION_SECONDS = 4.0


class SilentTransport:
    """A connection that forwards nothing once it is silent, and notes what is sent on it."""

    def __init__(self, transport, silent):
        self._transport = transport
        self._silent = silent
        self.sent = b""
        self.readable = transport.readable
        self.is_open = transport.is_open
        self.close = transport.close

    async def send_all(self, data):
        self.sent += data
        if self not in self._silent:
            await self._transport.send_all(data)

    async def receive_some(self, max_bytes):
        if self in self._silent:
            await trio.sleep_forever()
        return await self._transport.receive_some(max_bytes)


@given("a plain upstream with {count:d} idle connections")
def idle_connections(context, count):
    world = context.world = GatewayWorld()
    context.runner = world.add("c1", "crm")
    context.opened, context.silent, context.count = [], set(), count

    async def dial(address):
        transport = SilentTransport(await world.network.dial(address), context.silent)
        context.opened.append(transport)
        return transport

    world.dial = dial


async def open_idle(context, world):
    """Leave the idle connections of as many calls at once."""
    await trio.sleep(SETTLE_SECONDS)
    async with trio.open_nursery() as nursery:
        for number in range(context.count):
            nursery.start_soon(world.ask, "again", f"w{number}")


@when("these go silent for good, and a caller calls it {calls:d} times, one after the other")
def calls_on_silent(context, calls):
    async def story(world):
        await open_idle(context, world)
        context.silent |= set(context.opened)
        context.statuses = [
            (await world.ask("again", f"r{number}")).status for number in range(calls)
        ]

    context.world.play(story)


@then("all calls but the first are served")
def all_but_first(context):
    assert context.statuses[0] != 200 and set(context.statuses[1:]) == {200}, context.statuses


@when("one call takes longer than its caller waits, while others are answered")
def long_call(context):
    async def story(world):
        await open_idle(context, world)
        context.runner.work = 5.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, "again", "long")
            await trio.sleep(0.1)
            # Mostly idle, so that it can be closed.
            context.runner.work = 0.01
            for number in range(20):
                await world.ask("again", f"o{number}")
                await trio.sleep(0.07)
        context.used = [each for each in context.opened if b"x-request-id: o" in each.sent]

    context.world.play(story)


@then("all of the others use the same connection")
def used_again(context):
    assert len(context.used) == 1, len(context.used)


class SilentPeersWorld(PartitionWorld):
    """Processes whose connections to each other can go silent."""

    def __init__(self, count):
        super().__init__(count)
        self.opened, self.silent = [], set()

    def dial_of(self, process):
        usual = super().dial_of(process)

        async def dial(address):
            transport = await usual(address)
            if address in self.upstream_addresses():
                return transport
            self.opened.append(SilentTransport(transport, self.silent))
            return self.opened[-1]

        return dial


@given("three processes, one of them partitioned from all upstreams")
def partitioned_process(context):
    context.world = SilentPeersWorld(3)


@when("it has handed a request over, and its connections to the others go silent for good")
def handed_over(context):
    async def story(world):
        world.cut(["g0"], Cut.RESET)
        await trio.sleep(PARTITION_SECONDS)
        process = world.processes[0]
        context.first = await world.ask_at(process, "again", "first")
        world.silent |= set(world.opened)
        await trio.sleep(1.5)
        context.second = await world.ask_at(process, "again", "second")

    context.world.play(story)


@then("1.5 seconds later it hands a request over, and that is served at once")
def served_at_once(context):
    assert context.first.status == context.second.status == 200, context.second
    assert context.second.seconds < 0.5, context.second.seconds
