"""Settings: INI files, checked into frozen data classes."""

import re
from configparser import ConfigParser
from configparser import Error as IniError
from dataclasses import MISSING, dataclass, field, fields
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

__all__ = [
    "CallerSettings",
    "ControllerSettings",
    "EntrySettings",
    "GatewaySettings",
    "LinkSettings",
    "LoadSettings",
    "LogSettings",
    "NodeSettings",
    "Problem",
    "Settings",
    "StatsdSettings",
    "read_settings",
]

SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
_QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*")


class Duration(float):
    """A length of time in seconds, written with its unit."""


class Size(int):
    """A size in bytes, written with its unit."""


class Address(str):
    """IP:port; IPv6 addresses stand in brackets."""


class Addresses(tuple):
    """Addresses with commas between them."""


@dataclass(frozen=True)
class NodeSettings:
    """Who the process is; it learns its addresses and failure domain from here only."""

    name: str
    domain: str
    platform: Address
    peers: Addresses = Addresses()


@dataclass(frozen=True)
class EntrySettings:
    """The callers' and the peers' listeners, and how an entry stops."""

    listen: Address = Address("127.0.0.1:8080")
    peer_listen: Address = Address("127.0.0.1:7801")
    balancer_lag: Duration = Duration(5)
    longest_stop: Duration = Duration(120)


@dataclass(frozen=True)
class GatewaySettings:
    """The gateway's listeners, how it stops, and how long it may serve without the store.

    Other processes reach it at `peer_listen`, by TCP and UDP alike; its failure domain's processes
    with the largest `peer_weight` are the likeliest to follow the store for the others.
    `stop_grace` is the time from SIGTERM to the end; `revocation` the longest time after which a
    key that was taken away may still open something, anywhere; `contact` the time after which a
    process that reaches the store must know what the store has acknowledged; `apply` and `drain`
    the same for the desired state and for upstreams that leave; `lost_machines` how many machines
    may be frozen, cut off or gone at once; `read_slack` the time after which a request that was
    sent whole counts as read by its process. In any `retry_window` all processes together retry no
    more than `retry_ratio` of a service's requests and `retry_slack` more.
    """

    listen: Address = Address("127.0.0.1:8080")
    ready_listen: Address = Address("127.0.0.1:8081")
    metrics_listen: Address = Address("127.0.0.1:9464")
    peer_listen: Address = Address("127.0.0.1:7801")
    peer_weight: float = 1.0
    stop_grace: Duration = Duration(8)
    revocation: Duration = Duration(5)
    contact: Duration = Duration(3)
    apply: Duration = Duration(2)
    drain: Duration = Duration(2)
    lost_machines: int = 2
    read_slack: Duration = Duration(0.2)
    retry_ratio: float = 0.2
    retry_slack: float = 200.0
    retry_window: Duration = Duration(10)


@dataclass(frozen=True)
class LoadSettings:
    """How the gateway decides when load exceeds capacity; everything is off by default.

    `admission` queues requests by rank instead of refusing them at a fixed utilization; at most
    `max_waiting` wait in a process. With `start_wait`, requests that come before a process knows
    its configuration wait for it, in the same number. `shared_losses` tells peers of upstreams that
    are gone; `watch_connections` holds a connection to each upstream, whose reset shows its end at
    once. `shared_room` estimates the free capacity of upstreams from the share of the traffic.
    `domain_forecast` chooses between failure domains by predicted times. `onward_spread` spreads
    running streams over several paths after a loss.

    `interruption_weight` is the weight of streams that a lost host interrupts in the choice of a
    layout, 0 for none; `expected_streams` is the number of concurrent streams of a failure domain
    for which it is made until some are observed, 0 if it isn't known. A stream whose caller doesn't
    read for `reader_timeout` ends, none does if it is 0; `held_bytes` bounds what a process holds
    of large messages, and for callers that read slowly, 0 for no bound.
    """

    admission: bool = False
    max_waiting: int = 64
    start_wait: bool = False
    shared_losses: bool = False
    watch_connections: bool = False
    shared_room: bool = False
    domain_forecast: bool = False
    onward_spread: bool = False
    interruption_weight: float = 0.0
    expected_streams: float = 0.0
    reader_timeout: Duration = Duration(0)
    held_bytes: Size = Size(0)


@dataclass(frozen=True)
class CallerSettings:
    """Bounds on what a caller may send and ask."""

    request_time: Duration = Duration(60)
    longest_request_time: Duration = Duration(600)
    body: Size = Size(1024**2)
    default_tokens: int = 64
    most_tokens: int = 4096
    requests: int = 2000


@dataclass(frozen=True)
class ControllerSettings:
    """The operators' and the peers' listeners; the token is in a file, not in the settings."""

    listen: Address = Address("127.0.0.1:8090")
    peer_listen: Address = Address("127.0.0.1:7802")
    token_file: str = "operator.token"


@dataclass(frozen=True)
class StatsdSettings:
    """Where counters go by UDP; nowhere without a host."""

    host: str = ""
    port: int = 8125


@dataclass(frozen=True)
class LogSettings:
    """What is logged to standard error, one JSON object a line."""

    enabled: bool = True


@dataclass(frozen=True)
class LinkSettings:
    """Tokens a second that a link between failure domains carries."""

    within: float = 1e6
    between: float = 1e5


@dataclass(frozen=True)
class Settings:
    """A whole settings file, a section for each field."""

    node: NodeSettings
    entry: EntrySettings = field(default_factory=EntrySettings)
    gateway: GatewaySettings = field(default_factory=GatewaySettings)
    load: LoadSettings = field(default_factory=LoadSettings)
    callers: CallerSettings = field(default_factory=CallerSettings)
    controller: ControllerSettings = field(default_factory=ControllerSettings)
    statsd: StatsdSettings = field(default_factory=StatsdSettings)
    log: LogSettings = field(default_factory=LogSettings)
    links: LinkSettings = field(default_factory=LinkSettings)


@dataclass(frozen=True)
class Problem:
    """What is wrong in a settings file, where, and what would be right."""

    file: str
    section: str
    key: str
    wrong: str
    right: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}]" if self.section else self.file
        name = f" {self.key}" if self.key else ""
        return f"{place}{name}: {self.wrong}; {self.right}"


def read_settings(path: str) -> Result[Settings, tuple[Problem, ...]]:
    """Read a settings file.

    Returns:
      The settings, or every problem that there is.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except OSError as error:
        wrong = error.strerror or str(error)
        return Failure((Problem(path, "", "", wrong, "want a readable settings file"),))
    except (IniError, UnicodeDecodeError) as error:
        right = "want [section] lines and key = value lines"
        return Failure((Problem(path, "", "", str(error).replace("\n", " "), right),))
    return _Reader(path, parser).read()


class _Reader:
    """Turns a parsed file into settings, and gathers the problems."""

    def __init__(self, path: str, parser: ConfigParser) -> None:
        self._path = path
        self._parser = parser
        self._problems: list[Problem] = []

    def read(self) -> Result[Settings, tuple[Problem, ...]]:
        known = {each.name: each for each in fields(Settings)}
        for section in self._parser.sections():
            if section not in known:
                right = f"the sections are {', '.join(known)}"
                self._add(section, "", "no such section", right)
        sections = {name: self._section(name, each.type) for name, each in known.items()}
        if self._problems:
            return Failure(tuple(self._problems))
        return Success(Settings(**sections))

    def _section(self, name: str, kind: type) -> Any:
        given = dict(self._parser[name]) if self._parser.has_section(name) else {}
        known = {each.name: each for each in fields(kind)}
        for key in given.keys() - known.keys():
            self._add(name, key, "no such key", f"the keys are {', '.join(known)}")
        values: dict[str, Any] = {}
        for key, each in known.items():
            if key in given:
                self._value(name, key, given[key], each.type, values)
            elif each.default is MISSING:
                self._add(name, key, "missing", f"add a line: {key} = {_want(each.type)}")
        complete = all(key in values or each.default is not MISSING for key, each in known.items())
        return kind(**values) if complete else None

    def _value(self, section: str, key: str, text: str, kind: type, values: dict[str, Any]) -> None:
        try:
            values[key] = _convert(text, kind)
        except ValueError:
            self._add(section, key, f"{text!r} is no value for it", f"want {_want(kind)}")

    def _add(self, section: str, key: str, wrong: str, right: str) -> None:
        self._problems.append(Problem(self._path, section, key, wrong, right))


def _convert(text: str, kind: type) -> Any:
    if kind is Duration:
        return Duration(_quantity(text, SECONDS))
    if kind is Size:
        return Size(int(_quantity(text, BYTES)))
    if kind is Address:
        return _address(text)
    if kind is Addresses:
        return Addresses(_address(part) for part in text.split(",") if part.strip())
    if kind is str and not text:
        raise ValueError("empty")
    return msgspec.convert(text, kind, strict=False)


def _quantity(text: str, units: dict[str, float]) -> float:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        raise ValueError(text)
    return float(match[1]) * units[match[2]]


def _address(text: str) -> Address:
    host, _, port = text.strip().rpartition(":")
    ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(text)
    return Address(text.strip())


def _want(kind: type) -> str:
    wants = {
        Duration: f"a number and a unit ({', '.join(SECONDS)}), such as 5s",
        Size: f"a number and a unit ({', '.join(BYTES)}), such as 1MiB",
        Address: "IP:port, such as 127.0.0.1:8080",
        Addresses: "IP:port with commas between, such as 127.0.0.1:7001, 127.0.0.1:7002",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        str: "a text",
    }
    return wants[kind]
