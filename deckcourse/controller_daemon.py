"""The program deckcourse-controller: one controller, from a settings file."""

import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

import cappa
import trio

from deckcourse.controller import Controller
from deckcourse.controller_server import run_controller
from deckcourse.daemon import SETTINGS_EXIT, build_node, load_settings, run_until_stopped
from deckcourse.host_clock import run_on_host_clock
from deckcourse.node import CONTROLLER_ROLE
from deckcourse.settings import LinkSettings, Settings

__all__ = ["link_rates", "main"]


@dataclass
class ControllerCommand:
    """Serve operators: intents, plans, confirmations; carry out what is confirmed."""

    settings: Annotated[str, cappa.Arg(short="-s", long="--settings", help="the INI file")]


def link_rates(settings: LinkSettings):
    """Return what links between failure domains carry, in tokens a second."""
    return lambda source, target: settings.within if source == target else settings.between


async def _run(settings: Settings, token: str) -> int:
    stop = trio.Event()
    node = build_node(settings, CONTROLLER_ROLE, settings.controller.peer_listen)
    controller = Controller(node, link_rates(settings.links))
    run = partial(run_controller, controller, token, settings.controller.listen, stop)
    return await run_until_stopped(run, stop.set, "deckcourse-controller")


def main() -> None:
    """Run the program."""
    command = cappa.parse(ControllerCommand, completion=False)
    settings = load_settings(command.settings)
    path = settings.controller.token_file
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        message = f"{command.settings}: [controller] token_file: {path}: {error.strerror}"
        print(f"{message}; want a file with the operators' token", file=sys.stderr)
        raise SystemExit(SETTINGS_EXIT) from error
    if not token:
        message = f"{command.settings}: [controller] token_file: {path} is empty"
        print(f"{message}; want a file with the operators' token", file=sys.stderr)
        raise SystemExit(SETTINGS_EXIT)
    raise SystemExit(run_on_host_clock(_run, settings, token))
