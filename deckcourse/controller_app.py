"""The operators' HTTP application over a controller."""

from hmac import compare_digest
from typing import Any

import msgspec

from deckcourse.asgi import BodyTooLarge, Request, read_body, send_json
from deckcourse.controller import Controller
from deckcourse.instance_list import InstanceKind
from deckcourse.planner import PlanRefused
from deckcourse.plans import (
    Confirmed,
    ConfirmUnknown,
    NoSuchPlan,
    Plan,
    PlanConflict,
    PlatformOut,
)

__all__ = ["ControllerApp"]

LARGEST_BODY = 64 * 1024
INTENTS_PATH = "/v1/intents"
PLANS_PREFIX = "/v1/plans/"
CONFIRM_SUFFIX = "/confirm"
STATUS_PATH = "/v1/status"
PLATFORM_OUT = "the platform's table service is out; nothing was changed, try again later"
UNKNOWN = "the reply was lost; confirm the same plan again to learn whether it is accepted"


class ControllerApp:
    """Answers operators' requests."""

    def __init__(self, controller: Controller, token: str) -> None:
        self._controller = controller
        self._token = token.encode()

    async def __call__(self, request: Request) -> None:
        """Answer one request."""
        if request.path in ("/healthz", "/readyz"):
            await send_json(request, 200, {"status": "alive"})
            return
        given = request.header("authorization").removeprefix("Bearer ").encode()
        if not compare_digest(given, self._token):
            await _error(request, 401, "want the header Authorization: Bearer TOKEN")
            return
        await self._answer(request)

    async def _answer(self, request: Request) -> None:
        path = request.path
        if request.method == "POST" and path == INTENTS_PATH:
            await self._propose(request)
        elif request.method == "GET" and path == STATUS_PATH:
            await send_json(request, 200, self._status())
        elif request.method == "GET" and path.startswith(PLANS_PREFIX):
            plan = await self._controller.plan(path.removeprefix(PLANS_PREFIX))
            await self._send_plan(request, 200, plan)
        elif request.method == "POST" and path.startswith(PLANS_PREFIX):
            await self._confirm(request, path.removeprefix(PLANS_PREFIX))
        else:
            await _error(request, 404, f"{request.method} {path}: no such place")

    async def _propose(self, request: Request) -> None:
        body = await read_body(request, LARGEST_BODY)
        if isinstance(body, BodyTooLarge):
            await _error(request, 413, f"body: larger than {LARGEST_BODY} bytes")
            return
        try:
            message = msgspec.json.decode(body)
        except msgspec.MsgspecError as error:
            await _error(request, 400, f"body: not JSON: {error}")
            return
        await self._send_plan(request, 201, await self._controller.propose(message))

    async def _send_plan(
        self, request: Request, status: int, plan: Plan | PlanRefused | NoSuchPlan | PlatformOut
    ) -> None:
        match plan:
            case Plan():
                await send_json(request, status, plan)
            case PlanRefused(message):
                await _error(request, 422, message)
            case NoSuchPlan():
                await _error(request, 404, "no plan has this name")
            case PlatformOut():
                await _error(request, 503, PLATFORM_OUT)

    async def _confirm(self, request: Request, rest: str) -> None:
        name = rest.removesuffix(CONFIRM_SUFFIX)
        if name == rest:
            await _error(request, 404, f"POST {PLANS_PREFIX}NAME{CONFIRM_SUFFIX} confirms a plan")
            return
        match await self._controller.confirm(name):
            case Confirmed(version):
                await send_json(request, 200, {"plan": name, "version": version})
            case PlanConflict(message, fresh):
                error = {"error": {"message": message}, "fresh": fresh}
                await send_json(request, 409, error)
            case NoSuchPlan():
                await _error(request, 404, f"no plan is called {name}")
            case PlatformOut():
                await _error(request, 503, PLATFORM_OUT)
            case ConfirmUnknown():
                await _error(request, 502, UNKNOWN)

    def _status(self) -> dict[str, Any]:
        node = self._controller.node
        configuration = node.holder.configuration
        seen = self._controller.lease.seen
        runners = [
            {
                "instance": each.name,
                "domain": each.domain,
                "leaving": node.membership.is_leaving(each.name, each.incarnation),
                "placed": configuration.placements.get(each.name),
                "load": None if report is None else report.load,
            }
            for each in node.membership.listed(InstanceKind.RUNNER)
            for report in [node.membership.report_of(each.name)]
        ]
        return {
            "version": configuration.version,
            "models": list(configuration.models.values()),
            "services": list(configuration.services.values()),
            "accounts": sorted(configuration.accounts),
            "runners": runners,
            "peers": sorted(node.gossip.live),
            "lease": None if seen is None else {"holder": seen.holder, "epoch": seen.epoch},
        }


async def _error(request: Request, status: int, message: str) -> None:
    await send_json(request, status, {"error": {"message": message}})
