"""Events that follow an upstream's backoff request or shutdown announcement."""

import trio


def table(site):
    return site.node.gateway.context.upstreams


def row(site, instance):
    return table(site).get(instance)


async def row_comes_back(site, name):
    runner = site.runners[name]
    site.store.put("servers", name, None)
    await trio.sleep(0.1)
    site.store.put("servers", name, runner.row())


async def row_anew(site, name):
    site.runners[name].slots += 1
    site.store.put("servers", name, site.runners[name].row())


async def rows_anew(site, name):
    site.store.forget_history()
    await row_anew(site, name)


async def row_unreadable(site, name):
    site.store.put_bytes("servers", name, b"{")
    await trio.sleep(0.1)
    site.store.put("servers", name, site.runners[name].row())


async def moves(site, name):
    runner = site.runners[name]
    site.network.kill(runner.address)
    runner.address = f"{name}-elsewhere:1"
    runner.start()


async def suspected(site, name):
    table(site).suspect(name, 1.0, lost=True)
    await trio.sleep(0.1)
    table(site).clear_suspicion(name)


async def starts_again(site, name):
    runner = site.runners[name]
    asks, behaviour, held = runner.requested_backoffs, runner.behaviour, (runner.first, runner.end)
    after = runner.restart(int(trio.current_time() * 1000) + 1, tells=False)
    after.requested_backoffs, after.behaviour = asks, behaviour
    after.service, (after.first, after.end) = runner.service, held
    after.start()


async def store_away(site, name):
    site.store.away = True


async def asks_shorter(site, name):
    usual_asks = site.runners[name].requested_backoffs
    site.runners[name].requested_backoffs, site.runners[name].refuses_control = ("0.2",), True
    await site.control.query_load(row(site, name))
    site.runners[name].requested_backoffs, site.runners[name].refuses_control = usual_asks, False


HAPPENINGS = {
    "its row goes and comes back": row_comes_back,
    "its row is written anew": row_anew,
    "all rows are read anew": rows_anew,
    "its row can't be read for a moment": row_unreadable,
    "it moves to another address": moves,
    "it was suspected and answers again": suspected,
    "it starts again under its id": starts_again,
    "it starts again under its id and says nothing": starts_again,
    "the store is away": store_away,
    "a shorter time is asked for": asks_shorter,
}
