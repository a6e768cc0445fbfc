"""A stand-in of a plain service's runner: it runs a request in some milliseconds and answers it."""

import asyncio
import time

from standins2.wire import HOST, Message, answer, free_port, read_message


class Runner:
    """One runner; `runs` holds the id, path and tenant of each request that it ran, and when."""

    def __init__(self, name: str, service: str, zone: str, work_seconds: float = 0.02) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = free_port()
        self.runs: list[tuple[float, str, str, str]] = []
        self._work_seconds = work_seconds
        self._server: asyncio.Server | None = None

    def row(self, state: str = "ready") -> dict[str, object]:
        """Return the runner's entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
        }

    async def start(self) -> None:
        """Listen for requests."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The connection is reset, or the case is over.
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if request.target == "/health":
            return answer(200, b"", {"X-Instance-Id": self.name, **echo})
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return answer(421, b"", {"X-Instance-Id": self.name, **echo})
        if not request_id:
            return answer(400, b"", {"X-Not-Executed": "1"})
        tenant = request.headers.get("x-tenant", "")
        self.runs.append((time.monotonic(), request_id, request.target, tenant))
        await asyncio.sleep(self._work_seconds)
        body = f"{self.service} {self.name} {request_id}".encode()
        return answer(200, body, {"X-Response-Seal": f"{self.name}.{request_id}", **echo})
