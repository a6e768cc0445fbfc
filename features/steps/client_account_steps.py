"""Steps for what a desired state says of client accounts."""

import json

import trio
from behave import then, when
from gateway_world import KEY, default_config

OTHER_KEY = "a-key-that-nobody-held"
OWN_KEY = "acme-alone"
APPLY_SECONDS = 0.5


def plan_change(context, config):
    context.change = lambda site: site.store.put("op", "config", config)


@when("a newer desired state has the client accounts {accounts}")
def has_accounts(context, accounts):
    tenants = json.loads(accounts.replace("a-key", KEY))
    plan_change(context, default_config(2, tenants=tenants))


@when("a newer desired state gives two client accounts the key of the first and one of their own")
def shared_key(context):
    tenants = [
        {"name": "acme", "apiKeys": [KEY, OWN_KEY]},
        {"name": "other", "apiKeys": [KEY, "other-alone"]},
    ]
    plan_change(context, default_config(2, tenants=tenants))


@when("a newer desired state has null for whether its routes are public")
def null_public(context):
    config = default_config(2, tenants=[{"name": "acme", "apiKeys": [OWN_KEY]}])
    for route in config["routes"]:
        route["public"] = None
    plan_change(context, config)


@when("a newer desired state doesn't mention client accounts")
def no_accounts(context):
    config = default_config(2)
    del config["tenants"]
    plan_change(context, config)


@when("the desired state is deleted")
def deleted(context):
    context.change = lambda site: site.store.put("op", "config", None)


def play_statuses(context, keys):
    """Play the change; return what callers with each key get, and the runs of the runners."""
    statuses = []

    async def story(site):
        assert (await site.ask(name="before")).status == 200
        context.change(site)
        await trio.sleep(APPLY_SECONDS)
        for number, key in enumerate(keys):
            # An empty key stands in no header of its own scheme.
            headers = () if key else (("authorization", "Basic none"),)
            reply = await site.ask(name=f"r{number}", key=key, headers=headers)
            statuses.append(reply.status)

    context.site.play(story)
    return statuses, context.site.runs[1:]


@then("a caller with the key that it held before gets 401, and one with another key or none too")
def all_refused(context):
    statuses, runs = play_statuses(context, (KEY, OTHER_KEY, ""))
    assert statuses == [401, 401, 401], statuses
    assert not runs


@then(
    "a caller with the key that it held before gets 401, "
    "and one with its own key is served as its account"
)
def own_key_served(context):
    assert_served_as_account(context, KEY)


@then("a caller without a key gets 401, and one with its own key is served as its account")
def keyless_refused(context):
    assert_served_as_account(context, "")


def assert_served_as_account(context, refused_key):
    statuses, runs = play_statuses(context, (refused_key, OWN_KEY))
    assert statuses == [401, 200], statuses
    assert [each.headers["x-tenant"] for each in runs] == ["acme"]


@then("a caller without a key is served")
def keyless_served(context):
    statuses, _ = play_statuses(context, ("",))
    assert statuses == [200], statuses


@then("the log tells it, and a caller with the key that it held before is served")
def told(context):
    statuses, _ = play_statuses(context, (KEY,))
    assert statuses == [200], statuses
    assert any("was deleted" in str(line) for line in context.site.lines)
