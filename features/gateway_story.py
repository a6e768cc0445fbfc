"""Shared by gateway steps: the usual site, checks of complete responses, outages of the store."""

import trio
from gateway_runner import EVENT_SECONDS
from gateway_world import LAYERS, GatewayWorld


def two_chains(context):
    """Set up two failure domains, each with a model over two runners."""
    context.site = GatewayWorld()
    for domain in "xy":
        context.site.add(f"{domain}1", "llm", domain, 0, 4)
        context.site.add(f"{domain}2", "llm", domain, 4, LAYERS)


def expected_events(site, name, upto):
    """Return the bytes of a stream's events up to a number."""
    return "".join(f"id: {n}\ndata: {name} {n}\n\n" for n in range(1, upto + 1)).encode()


def assert_whole(context):
    """Check that the caller got each event of a stream once, and the end of the response."""
    got = context.got
    assert got.status == 200 and got.whole, (got, context.site.lines)
    assert got.body == expected_events(context.site, "r1", context.site.events), got.body


async def nothing(site):
    """Do nothing."""


def ask_while(context, count, change, rest=0.0, after=nothing):
    """Play one stream and a change of the site after `count` events, then wait `rest` seconds.

    `change` and `after` are async functions of the site; `after` is called at the end. The caller's
    response is stored in `context.got`.
    """

    async def story(site):
        async def change_later():
            await trio.sleep((count + 0.5) * EVENT_SECONDS)
            await change(site)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_later)
            context.got = await site.ask()
        await trio.sleep(rest)
        await after(site)

    context.site.play(story)


def refuse_orders(context):
    for runner in context.site.runners.values():
        runner.accepts_orders = False


async def play_outage(site, names, lost=lambda: None):
    """Make the store unavailable for a second, and recover it without the rows of some runners.

    `lost` is called during the outage.
    """
    site.store.away = True
    await trio.sleep(1.0)
    for name in names:
        site.store.put("servers", name, None)
    lost()
    site.store.away = False
