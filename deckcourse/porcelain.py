"""What operators do, as plain functions over the controller's HTTP interface.

Each opens its own connection, so that any program can call them; the command line is a table of
commands over them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import msgspec
import trio

from deckcourse.errors import CommandError
from deckcourse.gateway.quarantine_view import (
    QUARANTINE_PATH,
    QuarantineView,
    decode_quarantine,
)
from deckcourse.http_client import HttpReply, NotSent, fresh_pool, http_call
from deckcourse.peers.view import MEMBERS_PATH, PeersView, decode_view
from deckcourse.settings import Problem, read_settings

__all__ = [
    "Operator",
    "check_settings",
    "confirm_plan",
    "hash_key",
    "peers_of",
    "quarantine_at",
    "read_plan",
    "release_request",
    "state_intent",
    "status",
]

CALL_SECONDS = 15.0
OK_STATUSES = (200, 201)


@dataclass(frozen=True)
class Operator:
    """Where the controller listens (IP:port), and the operators' token."""

    controller: str
    token: str


def hash_key(key: str) -> str:
    """Return the form in which a client account's API key is kept."""
    return sha256(key.encode()).hexdigest()


async def state_intent(operator: Operator, intent: Mapping[str, Any]) -> dict[str, Any]:
    """State an intent.

    Args:
      operator: who asks, and whom.
      intent: its message, such as `{"kind": "serve", "model": "m", "depth": 12, "capacity": 50}`.

    Returns:
      The plan, which changes nothing until it's confirmed.

    Raises:
      CommandError: it can't be planned, or the controller can't be reached.
    """
    return await _call(operator, "POST", "/v1/intents", msgspec.json.encode(intent))


async def read_plan(operator: Operator, plan: str) -> dict[str, Any]:
    """Return a plan by name.

    Raises:
      CommandError: there is no such plan, or the controller can't be reached.
    """
    return await _call(operator, "GET", f"/v1/plans/{plan}", b"")


async def confirm_plan(operator: Operator, plan: str) -> dict[str, Any]:
    """Confirm a plan; a repeat is answered like the first.

    Returns:
      The plan's name and the configuration version that it made.

    Raises:
      CommandError: another plan was accepted first, or the reply was lost.
    """
    return await _call(operator, "POST", f"/v1/plans/{plan}/confirm", b"")


async def status(operator: Operator) -> dict[str, Any]:
    """Return what the controller sees: version, models, runners, peers, lease.

    Raises:
      CommandError: the controller can't be reached.
    """
    return await _call(operator, "GET", "/v1/status", b"")


async def peers_of(address: str) -> PeersView:
    """Return what a gateway process knows of the others.

    Args:
      address: its `peer_listen`, IP:port.

    Raises:
      CommandError: it can't be reached, or what answers there is no gateway process.
    """
    reply = await _ask_process(address, "GET", MEMBERS_PATH.decode())
    try:
        return decode_view(reply.body)
    except msgspec.MsgspecError as error:
        raise CommandError(f"{address}: no gateway process answers there: {error}") from error


async def quarantine_at(address: str) -> tuple[QuarantineView, ...]:
    """Return the requests under which upstreams ended, as a gateway process knows them.

    Args:
      address: its `peer_listen`, IP:port.

    Raises:
      CommandError: it can't be reached, or what answers there is no gateway process.
    """
    reply = await _ask_process(address, "GET", QUARANTINE_PATH.decode())
    try:
        return decode_quarantine(reply.body)
    except msgspec.MsgspecError as error:
        raise CommandError(f"{address}: no gateway process answers there: {error}") from error


async def release_request(address: str, identity: str) -> None:
    """Let a request run again at all processes that the store's rows reach.

    Args:
      address: the `peer_listen` of any of them, IP:port.
      identity: as listed.

    Raises:
      CommandError: it can't be reached, or knows nothing of that request.
    """
    reply = await _ask_process(address, "DELETE", f"{QUARANTINE_PATH.decode()}?{identity}")
    if reply.status not in OK_STATUSES:
        raise CommandError(f"{identity}: {address} knows no such request; list them first")


async def _ask_process(address: str, method: str, path: str) -> HttpReply:
    """Return the answer of a gateway process at its `peer_listen`."""
    deadline = trio.current_time() + CALL_SECONDS
    async with fresh_pool() as pool:
        reply = await http_call(pool, method, f"http://{address}{path}", b"", (), deadline)
    if not isinstance(reply, HttpReply):
        raise CommandError(f"{address} can't be reached: {reply.message}; want a peer_listen")
    return reply


def check_settings(path: str) -> tuple[Problem, ...]:
    """Return every problem of a settings file."""
    result = read_settings(path)
    return result.swap().value_or(())


async def _call(operator: Operator, method: str, path: str, body: bytes) -> dict[str, Any]:
    headers = (("authorization", f"Bearer {operator.token}"),)
    url = f"http://{operator.controller}{path}"
    deadline = trio.current_time() + CALL_SECONDS
    async with fresh_pool() as pool:
        reply = await http_call(pool, method, url, body, headers, deadline)
    if isinstance(reply, NotSent):
        raise CommandError(f"controller {operator.controller} can't be reached: {reply.message}")
    if not isinstance(reply, HttpReply):
        raise CommandError(f"{reply.message}; ask again, the same command does no harm")
    try:
        answer = msgspec.json.decode(reply.body)
    except msgspec.MsgspecError as error:
        raise CommandError(f"{url}: the answer is not JSON: {error}") from error
    if reply.status not in OK_STATUSES:
        raise CommandError(_refusal(reply.status, answer))
    return answer


def _refusal(status: int, answer: dict[str, Any]) -> str:
    message = answer.get("error", {}).get("message", f"status {status}")
    fresh = answer.get("fresh")
    if fresh is None:
        return message
    return f"{message}; plan {fresh['name']} is the same intent on the newest version"
