"""The program deckcourse-standin: simulates one external system, for trials and tests."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import cappa
import msgspec
import trio

from deckcourse.asgi import Request, serve
from deckcourse.daemon import run_until_stopped
from deckcourse.http_client import kept_pool
from deckcourse.instance_list import ListedInstance
from deckcourse.standin_engine import StandinEngine
from deckcourse.standin_engine_http import EngineApp, HttpStage, ServiceApp
from deckcourse.standin_platform import PlatformApp
from deckcourse.standin_service import StandinService
from deckcourse.standin_stage import EngineSpec

__all__ = ["main"]


@dataclass
@cappa.command(name="engine")
class EngineCommand:
    """A model engine that holds a range of layers."""

    name: Annotated[str, cappa.Arg(help="the instance's name")]
    listen: Annotated[str, cappa.Arg(help="IP:port")]
    domain: Annotated[str, cappa.Arg(long=True, help="the failure domain")] = "a"
    incarnation: Annotated[int, cappa.Arg(long=True)] = 1
    layer_rate: Annotated[float, cappa.Arg(long=True, help="layers times tokens/s")] = 2000.0
    layer_room: Annotated[int, cappa.Arg(long=True, help="maximum number of layers")] = 8
    runs: Annotated[str, cappa.Arg(long=True, help="file to which each execution is appended")] = ""


@dataclass
@cappa.command(name="service")
class ServiceCommand:
    """A plain service."""

    name: Annotated[str, cappa.Arg(help="the instance's name")]
    listen: Annotated[str, cappa.Arg(help="IP:port")]
    seconds: Annotated[float, cappa.Arg(long=True, help="duration of a call in seconds")] = 0.02
    runs: Annotated[str, cappa.Arg(long=True, help="file to which each execution is appended")] = ""


@dataclass
@cappa.command(name="platform")
class PlatformCommand:
    """The table service, the object store and the instance list."""

    listen: Annotated[str, cappa.Arg(help="IP:port")]
    instances: Annotated[str, cappa.Arg(long=True, help="JSON file with the instance list")] = ""
    lag: Annotated[float, cappa.Arg(long=True, help="staleness of the list in seconds")] = 0.0


@dataclass
class StandinCommand:
    """Run one simulated external system on loopback."""

    kind: cappa.Subcommands[EngineCommand | ServiceCommand | PlatformCommand]


def _file_recorder(path: str) -> Callable[[object], None] | None:
    """Return a function that appends each record to a file unbuffered, None without a path."""
    if not path:
        return None
    file = open(path, "ab", buffering=0)  # noqa: SIM115 - open as long as the process runs

    def record(run: object) -> None:
        file.write(msgspec.json.encode(run) + b"\n")

    return record


def _make_app(command: StandinCommand) -> Callable[[Request], Awaitable[None]]:
    match command.kind:
        case EngineCommand() as kind:
            pool = kept_pool()
            spec = EngineSpec(
                kind.name,
                kind.listen,
                kind.domain,
                kind.incarnation,
                kind.layer_rate,
                kind.layer_room,
            )
            dial = partial(HttpStage, pool)
            return EngineApp(StandinEngine(spec, dial, _file_recorder(kind.runs)))
        case ServiceCommand() as kind:
            return ServiceApp(StandinService(kind.name, kind.seconds, _file_recorder(kind.runs)))
        case PlatformCommand() as kind:
            return PlatformApp(_read_instances(kind.instances), kind.lag)
    raise SystemExit(f"unknown kind of stand-in: {command.kind}")


def _read_instances(path: str) -> tuple[ListedInstance, ...]:
    if not path:
        return ()
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=tuple[ListedInstance, ...])


async def _run(command: StandinCommand) -> int:
    stop = trio.Event()
    run = partial(serve, _make_app(command), command.kind.listen, stop, 0.2)
    return await run_until_stopped(run, stop.set, "deckcourse-standin")


def main() -> None:
    """Run the program."""
    command = cappa.parse(StandinCommand, completion=False)
    try:
        raise SystemExit(trio.run(_run, command))
    except OSError as error:
        print(f"deckcourse-standin: {error}", file=sys.stderr)
        raise SystemExit(1) from error
