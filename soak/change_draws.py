"""The kinds of changes of the desired state that operators make, drawn at random.

Each draw changes one thing of a configuration: routes that callers use come, go, move to another
service, are split or get another timeout; keys come, go and pass to another account; limits and the
number of routes and accounts that nobody uses vary.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random

from soak.configuration import SECOND_SERVICE, AddedAccount, AddedRoute, Configuration

__all__ = ["ChangeDraws"]

# Changes begin with so many routes and accounts, and leave at least one of each.
FIRST_ROUTES = 3
FIRST_ACCOUNTS = 2
MAX_ROUTES = 8
MAX_ACCOUNTS = 6
MAX_KEYS = 4
ROUTE_KINDS = ("once", "again", "again", "stream")
# Timeouts below the usual one of 5 s, so that requests in flight reach them.
MIN_TIMEOUT_SECONDS = 1.5
MAX_TIMEOUT_SECONDS = 4.5
# Beside the shortest idle time, callers that rest for up to a second keep their connections.
MIN_IDLE_SECONDS = 3.0
MAX_IDLE_SECONDS = 15.0
# Above the largest head of a caller, in bytes.
HEADER_BYTES = (4 * 1024, 8 * 1024, 16 * 1024)
MAX_EXTRA_ACCOUNTS = 20
MAX_EXTRA_ROUTES = 400
MAX_PRIORITY = 3


@dataclass
class ChangeDraws:
    """Draws changes of a configuration.

    Args:
      random: chooses the changes.
    """

    random: Random
    _route_count: int = 0
    _account_count: int = 0
    _key_count: int = 0

    def first(self) -> dict[str, object]:
        """Return the routes and accounts to begin with."""
        return {
            "added_routes": tuple(self._new_route() for _ in range(FIRST_ROUTES)),
            "added_accounts": tuple(self._new_account() for _ in range(FIRST_ACCOUNTS)),
        }

    def draw(self, now: Configuration) -> tuple[str, Mapping[str, object]]:
        """Return the kind of a change and the fields that it changes; some draws change nothing."""
        kinds: tuple[Callable[[Configuration], dict[str, object]], ...] = (
            self._add_route, self._add_route, self._drop_route,
            self._move_route, self._split_route, self._set_timeout, self._set_timeout,
            self._add_account, self._drop_account,
            self._add_key, self._drop_key, self._pass_key, self._pass_key,
            self._set_priority, self._set_limits, self._set_idle_time, self._set_unused,
        )  # fmt: skip
        kind = self.random.choice(kinds)
        return kind.__name__.strip("_").replace("_", " "), kind(now)

    def _new_route(self) -> AddedRoute:
        self._route_count += 1
        like = self.random.choice(ROUTE_KINDS)
        name = f"{like}-{self._route_count}"
        return AddedRoute(name, like, self._draw_shares(like), self._draw_timeout())

    def _draw_shares(self, like: str) -> tuple[tuple[str, float], ...]:
        """Return one service or a split between two of them."""
        if like == "stream":
            return (("llm", 1.0),)
        if self.random.random() < 0.5:
            return ((self.random.choice(("crm", SECOND_SERVICE)), 1.0),)
        share = round(self.random.uniform(0.1, 0.9), 2)
        return (("crm", round(1.0 - share, 2)), (SECOND_SERVICE, share))

    def _draw_timeout(self) -> float:
        return round(self.random.uniform(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS), 3)

    def _add_route(self, now: Configuration) -> dict[str, object]:
        if len(now.added_routes) >= MAX_ROUTES:
            return self._drop_route(now)
        return {"added_routes": (*now.added_routes, self._new_route())}

    def _drop_route(self, now: Configuration) -> dict[str, object]:
        if len(now.added_routes) < 2:
            return {}
        dropped = self.random.choice(now.added_routes)
        return {"added_routes": tuple(each for each in now.added_routes if each != dropped)}

    def _change_route(self, now: Configuration, **fields: object) -> dict[str, object]:
        """Change a route whose requests may go to either plain service, if the shares change."""
        routes = [
            each for each in now.added_routes if "shares" not in fields or each.like != "stream"
        ]
        if not routes:
            return {}
        changed = self.random.choice(routes)
        return {
            "added_routes": tuple(
                replace(each, **fields) if each == changed else each for each in now.added_routes
            )
        }

    def _move_route(self, now: Configuration) -> dict[str, object]:
        service = self.random.choice(("crm", SECOND_SERVICE))
        return self._change_route(now, shares=((service, 1.0),))

    def _split_route(self, now: Configuration) -> dict[str, object]:
        share = round(self.random.uniform(0.1, 0.9), 2)
        return self._change_route(
            now, shares=(("crm", round(1.0 - share, 2)), (SECOND_SERVICE, share))
        )

    def _set_timeout(self, now: Configuration) -> dict[str, object]:
        return self._change_route(now, timeout_seconds=self._draw_timeout())

    def _new_key(self) -> str:
        self._key_count += 1
        return f"added-{self._key_count}"

    def _new_account(self) -> AddedAccount:
        self._account_count += 1
        return AddedAccount(f"tenant-{self._account_count}", (self._new_key(), self._new_key()))

    def _add_account(self, now: Configuration) -> dict[str, object]:
        if len(now.added_accounts) >= MAX_ACCOUNTS:
            return self._drop_account(now)
        return {"added_accounts": (*now.added_accounts, self._new_account())}

    def _drop_account(self, now: Configuration) -> dict[str, object]:
        with_key = [each for each in now.added_accounts if each.keys]
        if len(with_key) < 2:
            return {}
        dropped = self.random.choice(with_key)
        return {"added_accounts": tuple(each for each in now.added_accounts if each != dropped)}

    def _change_accounts(
        self, now: Configuration, keys: Mapping[str, tuple[str, ...]]
    ) -> dict[str, object]:
        """Give some accounts other keys; `keys` holds them by the accounts' names."""
        return {
            "added_accounts": tuple(
                replace(each, keys=keys.get(each.name, each.keys)) for each in now.added_accounts
            )
        }

    def _add_key(self, now: Configuration) -> dict[str, object]:
        account = self.random.choice(now.added_accounts)
        if len(account.keys) >= MAX_KEYS:
            return self._drop_key(now)
        return self._change_accounts(now, {account.name: (*account.keys, self._new_key())})

    def _drop_key(self, now: Configuration) -> dict[str, object]:
        accounts = [each for each in now.added_accounts if len(each.keys) > 1]
        if not accounts:
            return {}
        account = self.random.choice(accounts)
        dropped = self.random.choice(account.keys)
        kept = tuple(each for each in account.keys if each != dropped)
        return self._change_accounts(now, {account.name: kept})

    def _pass_key(self, now: Configuration) -> dict[str, object]:
        """Pass a key from one account to another."""
        if len(now.added_accounts) < 2:
            return {}
        giver, taker = self.random.sample(now.added_accounts, 2)
        if not giver.keys:
            return {}
        key = self.random.choice(giver.keys)
        kept = tuple(each for each in giver.keys if each != key)
        return self._change_accounts(now, {giver.name: kept, taker.name: (*taker.keys, key)})

    def _set_priority(self, now: Configuration) -> dict[str, object]:
        account = self.random.choice(now.added_accounts)
        priority = self.random.choice((None, *range(MAX_PRIORITY + 1)))
        return {
            "added_accounts": tuple(
                replace(each, priority=priority) if each == account else each
                for each in now.added_accounts
            )
        }

    def _set_limits(self, _: Configuration) -> dict[str, object]:
        return {"max_header_bytes": self.random.choice(HEADER_BYTES)}

    def _set_idle_time(self, _: Configuration) -> dict[str, object]:
        return {"idle_timeout_seconds": self.random.uniform(MIN_IDLE_SECONDS, MAX_IDLE_SECONDS)}

    def _set_unused(self, _: Configuration) -> dict[str, object]:
        return {
            "extra_routes": self.random.randint(0, MAX_EXTRA_ROUTES),
            "extra_accounts": self.random.randint(0, MAX_EXTRA_ACCOUNTS),
        }
