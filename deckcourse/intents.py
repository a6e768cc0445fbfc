"""What operators state: intents, as typed messages."""

from dataclasses import dataclass
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

__all__ = [
    "HoldCapacity",
    "Intent",
    "Retire",
    "ServeModel",
    "SetAccount",
    "SetService",
    "StopModel",
    "describe_intent",
    "intent_from",
    "intent_message",
]


@dataclass(frozen=True)
class ServeModel:
    """Serve a model of `depth` layers at `capacity` tokens a second."""

    model: str
    depth: int
    capacity: float


@dataclass(frozen=True)
class HoldCapacity:
    """Hold another capacity for a model that is served."""

    model: str
    capacity: float


@dataclass(frozen=True)
class StopModel:
    """Stop serving a model."""

    model: str


@dataclass(frozen=True)
class Retire:
    """Give an instance no new work, move its part elsewhere and unload it."""

    instance: str


@dataclass(frozen=True)
class SetAccount:
    """Add or change a client account; `key_hash` is the SHA-256 of its API key in hex."""

    account: str
    key_hash: str
    tokens_per_second: float
    worth: float = 1.0


@dataclass(frozen=True)
class SetService:
    """Route to a plain service; calls that aren't `repeatable` run at most once."""

    service: str
    repeatable: bool


Intent = ServeModel | HoldCapacity | StopModel | Retire | SetAccount | SetService

KINDS: dict[str, type[Intent]] = {
    "serve": ServeModel,
    "hold": HoldCapacity,
    "stop": StopModel,
    "retire": Retire,
    "account": SetAccount,
    "service": SetService,
}
_NAMES = {kind: name for name, kind in KINDS.items()}


def intent_from(message: Any) -> Result[Intent, str]:
    """Return the intent of a message `{"kind": ..., fields}`, or what is wrong with it."""
    if not isinstance(message, dict) or message.get("kind") not in KINDS:
        return Failure(f"kind: want one of {', '.join(KINDS)}")
    kind = KINDS[message["kind"]]
    fields = {name: value for name, value in message.items() if name != "kind"}
    unknown = fields.keys() - kind.__dataclass_fields__.keys()
    if unknown:
        known = ", ".join(kind.__dataclass_fields__)
        return Failure(
            f"{', '.join(sorted(unknown))}: no such field; {message['kind']} has {known}"
        )
    try:
        intent = msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        return Failure(str(error))
    return _checked(intent)


def intent_message(intent: Intent) -> dict[str, Any]:
    """Return the message of an intent."""
    return {"kind": _NAMES[type(intent)], **msgspec.to_builtins(intent)}


def describe_intent(intent: Intent) -> str:
    """Return an intent in a line that an operator can read."""
    fields = msgspec.to_builtins(intent)
    fields.pop("key_hash", None)
    return " ".join([_NAMES[type(intent)], *(f"{name}={value}" for name, value in fields.items())])


def _checked(intent: Intent) -> Result[Intent, str]:
    match intent:
        case ServeModel(depth=depth) if depth < 1:
            return Failure(f"depth: {depth} is no number of layers; want 1 or more")
        case ServeModel(capacity=rate) | HoldCapacity(capacity=rate) if rate <= 0:
            return Failure(f"capacity: {rate} holds nothing; want tokens a second above 0")
        case SetAccount(tokens_per_second=rate) if rate <= 0:
            return Failure(f"tokens_per_second: {rate} admits nothing; want a number above 0")
        case SetAccount(key_hash=text) if len(text) != 64 or set(text) - set("0123456789abcdef"):
            return Failure("key_hash: want the SHA-256 of the key in hex, 64 digits, lower case")
    return Success(intent)
