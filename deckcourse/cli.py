"""The program deckcourse: a table of commands over `deckcourse.porcelain`."""

import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec
import trio

from deckcourse import __version__
from deckcourse.errors import CommandError, InvariantError
from deckcourse.explain import explain
from deckcourse.intents import KINDS
from deckcourse.porcelain import (
    Operator,
    check_settings,
    confirm_plan,
    hash_key,
    peers_of,
    quarantine_at,
    read_plan,
    release_request,
    state_intent,
    status,
)
from deckcourse.trial import run_trial

__all__ = ["main"]

REFUSED_EXIT = 1
USAGE_EXIT = 2
SETTINGS_EXIT = 78

Controller = Annotated[
    str,
    cappa.Arg(
        long=True,
        help="the controller's IP:port",
        default=cappa.Env("DECKCOURSE_CONTROLLER", default="127.0.0.1:8090"),
    ),
]
TokenFile = Annotated[
    str,
    cappa.Arg(
        long=True,
        help="file with the operators' token",
        default=cappa.Env("DECKCOURSE_TOKEN_FILE", default="operator.token"),
    ),
]
Json = Annotated[bool, cappa.Arg(long="--json", help="print JSON", default=False)]


@dataclass
@cappa.command(name="intent")
class IntentCommand:
    """State an intent and read its plan; nothing changes until the plan is confirmed.

    The fields are name=value, such as: serve model=m depth=12 capacity=60
    """

    kind: Annotated[str, cappa.Arg(help=f"one of {', '.join(KINDS)}")]
    fields: Annotated[list[str], cappa.Arg(help="name=value", default=[])]
    controller: Controller
    token_file: TokenFile
    json: Json


@dataclass
@cappa.command(name="plan")
class PlanCommand:
    """Read a plan."""

    plan: Annotated[str, cappa.Arg(help="the plan's name")]
    controller: Controller
    token_file: TokenFile
    json: Json


@dataclass
@cappa.command(name="confirm")
class ConfirmCommand:
    """Confirm a plan; a repeat is answered like the first."""

    plan: Annotated[str, cappa.Arg(help="the plan's name")]
    controller: Controller
    token_file: TokenFile
    json: Json


@dataclass
@cappa.command(name="status")
class StatusCommand:
    """Show version, models, runners, peers and the lease."""

    controller: Controller
    token_file: TokenFile
    json: Json


@dataclass
@cappa.command(name="check")
class SettingsCheckCommand:
    """Check a settings file and tell every problem."""

    file: Annotated[str, cappa.Arg(help="the INI file")]


@dataclass
@cappa.command(name="settings")
class SettingsCommand:
    """Work with settings files."""

    action: cappa.Subcommands[SettingsCheckCommand]


@dataclass
@cappa.command(name="hash-key")
class HashKeyCommand:
    """Read an API key from standard input and print the hash that an account intent takes."""


@dataclass
@cappa.command(name="try")
class TryCommand:
    """Show the main job on loopback: a pipeline, a stage killed halfway, the answer whole."""


@dataclass
@cappa.command(name="peers")
class PeersCommand:
    """Show whom gateway processes know, and whom they hear the store's changes from."""

    addresses: Annotated[list[str], cappa.Arg(help="their peer_listen, IP:port", num_args=-1)]


@dataclass
@cappa.command(name="quarantine")
class QuarantineCommand:
    """List requests under which upstreams ended, or release one of them."""

    address: Annotated[str, cappa.Arg(help="a process's peer_listen, IP:port")]
    release: Annotated[str, cappa.Arg(long=True, help="the identity of one to release")] = ""


@dataclass
@cappa.command(name="explain")
class ExplainCommand:
    """Print a request's decisions from log files, in order, and say what the logs lack."""

    request: Annotated[str, cappa.Arg(help="the request's id")]
    files: Annotated[list[str], cappa.Arg(help="logs; standard input without any", default=[])]


@dataclass
@cappa.command(name="deckcourse")
class DeckcourseCommand:
    """Route requests over pipelines of borrowed accelerators."""

    command: cappa.Subcommands[
        IntentCommand
        | PlanCommand
        | ConfirmCommand
        | StatusCommand
        | SettingsCommand
        | HashKeyCommand
        | TryCommand
        | ExplainCommand
        | PeersCommand
        | QuarantineCommand
    ]


def _operator(command: Any) -> Operator:
    try:
        token = Path(command.token_file).read_text(encoding="utf-8").strip()
    except OSError as error:
        message = f"--token-file {command.token_file}: {error.strerror}"
        raise CommandError(f"{message}; want the file with the operators' token") from error
    return Operator(command.controller, token)


def _fields(kind: str, pairs: list[str]) -> dict[str, Any]:
    fields: dict[str, Any] = {"kind": kind}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise CommandError(f"{pair}: want name=value, such as capacity=60")
        fields[name] = _value(value)
    return fields


def _value(text: str) -> Any:
    """Return a number or truth value where the text is one, else the text."""
    try:
        value = msgspec.json.decode(text)
    except msgspec.MsgspecError:
        return text
    return value if isinstance(value, bool | int | float) else text


def _intent(command: IntentCommand) -> int:
    fields = _fields(command.kind, command.fields)
    _print_plan(trio.run(state_intent, _operator(command), fields), command.json)
    return 0


def _plan(command: PlanCommand) -> int:
    _print_plan(trio.run(read_plan, _operator(command), command.plan), command.json)
    return 0


def _confirm(command: ConfirmCommand) -> int:
    done = trio.run(confirm_plan, _operator(command), command.plan)
    if command.json:
        _print_json(done)
    else:
        print(f"plan {done['plan']} is accepted as version {done['version']}")
    return 0


def _status(command: StatusCommand) -> int:
    seen = trio.run(status, _operator(command))
    if command.json:
        _print_json(seen)
    else:
        _print_status(seen)
    return 0


def _settings(command: SettingsCommand) -> int:
    problems = check_settings(command.action.file)
    for problem in problems:
        print(problem, file=sys.stderr)
    if problems:
        return SETTINGS_EXIT
    print(f"{command.action.file}: right")
    return 0


def _hash_key(command: HashKeyCommand) -> int:
    key = sys.stdin.readline().strip()
    if not key:
        raise CommandError("standard input: empty; want the API key on one line")
    print(hash_key(key))
    return 0


def _try(command: TryCommand) -> int:
    trio.run(run_trial)
    return 0


def _explain(command: ExplainCommand) -> int:
    explanation = explain(command.request, _lines(command.files))
    for decision in explanation.decisions:
        print(decision)
    if explanation.surroundings:
        print("around it, on the same machines:")
    for decision in explanation.surroundings:
        print(f"  {decision}")
    for missing in explanation.missing:
        print(f"missing: {missing}")
    return 0 if explanation.decisions else REFUSED_EXIT


def _peers(command: PeersCommand) -> int:
    views = [trio.run(peers_of, address) for address in command.addresses]
    for view in views:
        way = "follows the store" if view.follows else f"hears from {view.source or 'nobody'}"
        print(
            f"{view.name} ({view.domain}): {way}, {view.seconds_behind:g} s behind, "
            f"serves {view.serving}, knows {len(view.members)}"
        )
    known = [{each.name for each in view.members} for view in views]
    for view, names in zip(views, known, strict=True):
        for name in sorted(set().union(*known) - names):
            print(f"{view.name} does not know {name}")
    return 0


def _quarantine(command: QuarantineCommand) -> int:
    if command.release:
        trio.run(release_request, command.address, command.release)
        print(f"{command.release} may run again")
        return 0
    for each in trio.run(quarantine_at, command.address):
        refused = f"refused for {each.refused_seconds:g} s" if each.refused_seconds else "may run"
        ended = f"{each.ends} ended ({', '.join(each.instances)})"
        print(f"{each.kind} {each.identity}: {ended}, {refused}")
    return 0


def _lines(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            message = f"{name}: {error.strerror}; want a log file"
            raise CommandError(message) from error


def _print_json(value: Any) -> None:
    print(msgspec.json.encode(value).decode())


def _print_plan(plan: dict[str, Any], as_json: bool) -> None:
    if as_json:
        _print_json(plan)
        return
    print(f"plan {plan['name']} ({plan['state']}), made on version {plan['base']}")
    for step in plan["steps"]:
        print(f"  {step}")
    print(
        f"  capacity in tokens/s: {plan['capacity_before']:g} now, "
        f"{plan['capacity_lowest']:g} at the lowest, {plan['capacity_after']:g} after"
    )
    print(f"  requests cut: {plan['cuts']}")
    for warning in plan["warnings"]:
        print(f"  warning: {warning}")
    print(f"confirm it with: deckcourse confirm {plan['name']}")


def _print_status(seen: dict[str, Any]) -> None:
    print(f"version {seen['version']}, lease {seen['lease']}, peers {', '.join(seen['peers'])}")
    for model in seen["models"]:
        print(f"model {model['name']}: {model['depth']} layers, {model['capacity']:g} tokens/s")
    for runner in seen["runners"]:
        load = runner["load"] or {"model": "", "first": 0, "end": 0, "streams": 0}
        held = f"{load['model']} {load['first']}-{load['end']}" if load["model"] else "nothing"
        sign = " leaving" if runner["leaving"] else ""
        print(
            f"{runner['instance']} ({runner['domain']}): holds {held}, "
            f"{load['streams']} streams{sign}"
        )


HANDLERS: dict[type, Callable[[Any], int]] = {
    IntentCommand: _intent,
    PlanCommand: _plan,
    ConfirmCommand: _confirm,
    StatusCommand: _status,
    SettingsCommand: _settings,
    HashKeyCommand: _hash_key,
    TryCommand: _try,
    ExplainCommand: _explain,
    PeersCommand: _peers,
    QuarantineCommand: _quarantine,
}


def main() -> None:
    """Run the program; exit codes: 0 done, 1 refused, 2 wrong usage, 78 wrong settings."""
    command = cappa.parse(DeckcourseCommand, version=__version__).command
    try:
        code = HANDLERS[type(command)](command)
    except (CommandError, InvariantError) as error:
        print(f"deckcourse: {error}", file=sys.stderr)
        code = REFUSED_EXIT
    raise SystemExit(code)
