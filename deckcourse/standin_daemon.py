"""The program deckcourse-standin: one stand-in of an outside system, for trials and tests."""

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
    layer_room: Annotated[int, cappa.Arg(long=True, help="the most layers it holds")] = 8
    runs: Annotated[str, cappa.Arg(long=True, help="file for the record of runs")] = ""


@dataclass
@cappa.command(name="service")
class ServiceCommand:
    """A plain service."""

    name: Annotated[str, cappa.Arg(help="the instance's name")]
    listen: Annotated[str, cappa.Arg(help="IP:port")]
    seconds: Annotated[float, cappa.Arg(long=True, help="how long a call takes")] = 0.02
    runs: Annotated[str, cappa.Arg(long=True, help="file for the record of runs")] = ""


@dataclass
@cappa.command(name="platform")
class PlatformCommand:
    """The table service, the object store and the instance list."""

    listen: Annotated[str, cappa.Arg(help="IP:port")]
    instances: Annotated[str, cappa.Arg(long=True, help="JSON file with the list")] = ""
    lag: Annotated[float, cappa.Arg(long=True, help="seconds that the list lags")] = 0.0


@dataclass
class StandinCommand:
    """Run one stand-in of an outside system on loopback."""

    kind: cappa.Subcommands[EngineCommand | ServiceCommand | PlatformCommand]


def _recorder(path: str) -> Callable[[object], None] | None:
    """Return a function that appends each record to a file at once, None for no file."""
    if not path:
        return None
    file = open(path, "ab", buffering=0)  # noqa: SIM115 - open as long as the process runs

    def record(run: object) -> None:
        file.write(msgspec.json.encode(run) + b"\n")

    return record


def _app(command: StandinCommand) -> Callable[[Request], Awaitable[None]]:
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
            return EngineApp(StandinEngine(spec, dial, _recorder(kind.runs)))
        case ServiceCommand() as kind:
            return ServiceApp(StandinService(kind.name, kind.seconds, _recorder(kind.runs)))
        case PlatformCommand() as kind:
            return PlatformApp(_instances(kind.instances), kind.lag)
    raise SystemExit(f"no such kind: {command.kind}")


def _instances(path: str) -> tuple[ListedInstance, ...]:
    if not path:
        return ()
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=tuple[ListedInstance, ...])


async def _run(command: StandinCommand) -> int:
    stop = trio.Event()
    run = partial(serve, _app(command), command.kind.listen, stop, 0.2)
    return await run_until_stopped(run, stop.set, "deckcourse-standin")


def main() -> None:
    """Run the program."""
    command = cappa.parse(StandinCommand, completion=False)
    try:
        raise SystemExit(trio.run(_run, command))
    except OSError as error:
        print(f"deckcourse-standin: {error}", file=sys.stderr)
        raise SystemExit(1) from error
