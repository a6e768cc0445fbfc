"""The program deckcourse-entry: one entry, from a settings file."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from deckcourse.daemon import build_node, load_settings, run_until_stopped
from deckcourse.entry import Entry
from deckcourse.entry_app import CallerLimits
from deckcourse.entry_server import EntryServer
from deckcourse.gossip import ENTRY_ROLE
from deckcourse.host_clock import run_on_host_clock
from deckcourse.settings import CallerSettings, Settings

__all__ = ["caller_limits", "main"]


@dataclass
class EntryCommand:
    """Serve callers: admission, routing, relay and retries."""

    settings: Annotated[str, cappa.Arg(short="-s", long="--settings", help="the INI file")]


def caller_limits(settings: CallerSettings) -> CallerLimits:
    """Return the limits that the settings describe."""
    return CallerLimits(
        request_seconds=settings.request_time,
        longest_request_seconds=settings.longest_request_time,
        body_bytes=settings.body,
        default_tokens=settings.default_tokens,
        most_tokens=settings.most_tokens,
        requests=settings.requests,
    )


async def _run(settings: Settings) -> int:
    server = EntryServer(
        Entry(build_node(settings, ENTRY_ROLE, settings.entry.peer_listen)),
        caller_limits(settings.callers),
        settings.entry.listen,
        settings.entry.balancer_lag,
        settings.entry.longest_stop,
    )
    return await run_until_stopped(server.run, server.stop, "deckcourse-entry")


def main() -> None:
    """Run the program."""
    command = cappa.parse(EntryCommand, completion=False)
    raise SystemExit(run_on_host_clock(_run, load_settings(command.settings)))
