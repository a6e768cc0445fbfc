"""Callers whose routes and keys come and go, and some whose keys no desired state ever held."""

from dataclasses import dataclass
from random import Random

import trio

from soak.callers import Callers
from soak.calls import Call
from soak.configuration import Configuration
from soak.desired_history import DesiredHistory
from soak.site import Site

__all__ = ["UNKNOWN_KEY_PREFIX", "ChangeCallers"]

# Keys with this prefix were never valid.
UNKNOWN_KEY_PREFIX = "never-"
UNKNOWN_KEY_SHARE = 0.06
# The share of requests with a route and a key as an older state had them.
OLD_STATE_SHARE = 0.15
# The share of requests on the first routes, and of those with a key of the first account.
FIRST_ROUTE_SHARE = 0.25
FIRST_KEY_SHARE = 0.2
# The share of requests that a runner works on for a while, and for how long.
WORK_SHARE = 0.3
MAX_WORK_SECONDS = 3.0
# Some callers rest between two requests, on an open connection.
REST_SHARE = 0.05
MAX_REST_SECONDS = 2.0


@dataclass
class ChangeCallers(Callers):
    """Callers of the routes that changes add; `site` tells the desired states."""

    site: Site | None = None

    def _new_call(self, number: int, request_count: int) -> Call:
        random = self.random
        state = self._draw_state(self.site.desired_history, random)
        added = random.choice(state.added_routes)
        is_first = random.random() < FIRST_ROUTE_SHARE
        route = random.choice(self.routes) if is_first else added.like
        works = random.random() < WORK_SHARE
        return Call(
            f"{self.name_prefix}{number}r{request_count}",
            route,
            self._draw_key(state, request_count, number),
            trio.current_time(),
            work_seconds=round(random.uniform(0.0, MAX_WORK_SECONDS), 3) if works else 0.0,
            route_name="" if is_first else added.name,
        )

    @staticmethod
    def _draw_state(history: DesiredHistory, random: Random) -> Configuration:
        """Return the newest state, or one of those before it, that has added routes."""
        states = [state for _, state in history.versions if state.added_routes]
        is_old = random.random() < OLD_STATE_SHARE
        return random.choice(states) if is_old else states[-1]

    def _draw_key(self, state: Configuration, request_count: int, number: int) -> str:
        if self.random.random() < UNKNOWN_KEY_SHARE:
            return f"{UNKNOWN_KEY_PREFIX}{number}-{request_count}"
        keys = [key for each in state.added_accounts for key in each.keys]
        if not keys or self.random.random() < FIRST_KEY_SHARE:
            return self.random.choice(state.keys)
        return self.random.choice(keys)

    async def _pause(self) -> None:
        if self.random.random() < REST_SHARE:
            await trio.sleep(self.random.uniform(0.0, MAX_REST_SECONDS))
        await super()._pause()
