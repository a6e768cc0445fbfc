"""A controller as a server: its operators' listener and its peers."""

import trio

from deckcourse.asgi import serve
from deckcourse.controller import Controller
from deckcourse.controller_app import ControllerApp
from deckcourse.peer_link import PynngListener

__all__ = ["run_controller"]

CLOSE_SECONDS = 2.0


async def run_controller(
    controller: Controller,
    token: str,
    listen: str,
    stop: trio.Event,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve operators until `stop` is set; started with the bound IP:port."""
    listener = PynngListener(controller.node.identity.peer_address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, controller.node.gossip.answer)
        nursery.start_soon(controller.run)
        app = ControllerApp(controller, token)
        bound = await nursery.start(serve, app, listen, stop, CLOSE_SECONDS)
        task_status.started(bound)
        await stop.wait()
        await trio.sleep(CLOSE_SECONDS / 2)
        nursery.cancel_scope.cancel()
