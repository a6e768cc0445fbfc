"""The callers' HTTP application over an entry."""

from collections.abc import Sequence
from dataclasses import dataclass
from time import time
from uuid import uuid4

import trio
from eliot import start_action
from returns.result import Failure, Success

from deckcourse.asgi import (
    BodyTooLarge,
    Request,
    cancel_when_gone,
    read_body,
    send_json,
    send_whole,
)
from deckcourse.completion_api import (
    CHAT_PATH,
    TEXT_PATH,
    CompletionForm,
    CompletionQuery,
    completion_query,
    error_body,
    error_event,
    model_list,
)
from deckcourse.configuration import Account
from deckcourse.engine import TokenFrame
from deckcourse.entry import Entry, ServiceRequest, stopped
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown, response_head
from deckcourse.pipeline import Completion
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["CallerLimits", "EntryApp"]

SERVICES_PREFIX = "/services/"
TIMEOUT_HEADER = "x-deckcourse-timeout-ms"
REPEAT_HEADER = "x-deckcourse-repeat"
KEY_HEADER = "idempotency-key"
OUTCOME_ANSWERED = ((b"deckcourse-outcome", b"answered"),)
EVENT_STREAM = b"text/event-stream"
LONGEST_KEY = 255
# The HTTP library bounds what it buffers, not quite what it lets through.
LARGEST_HEADERS = 32 * 1024


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send and ask; seconds, bytes and tokens."""

    request_seconds: float = 60.0
    longest_request_seconds: float = 600.0
    body_bytes: int = 1024 * 1024
    default_tokens: int = 64
    most_tokens: int = 4096
    requests: int = 2000


class _Stream:
    """Sends an answer's events; the response begins with the first of them."""

    def __init__(self, request: Request, form: CompletionForm) -> None:
        self._request = request
        self._form = form
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether anything was sent."""
        return self._begun

    async def send_tokens(self, tokens: Sequence[TokenFrame]) -> None:
        if not self._begun:
            headers = [(b"content-type", EVENT_STREAM), (b"cache-control", b"no-cache")]
            await self._request.send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            self._begun = True
        body = self._form.events(tokens)
        await self._request.send({"type": "http.response.body", "body": body, "more_body": True})

    async def end(self, last: bytes) -> None:
        await self._request.send({"type": "http.response.body", "body": last})


class EntryApp:
    """Answers callers' requests."""

    def __init__(self, entry: Entry, limits: CallerLimits = CallerLimits()) -> None:
        self._entry = entry
        self._limits = limits

    async def __call__(self, request: Request) -> None:
        """Answer one request."""
        if request.path == "/healthz":
            await send_json(request, 200, {"status": "alive"})
        elif request.path == "/readyz":
            ready = self._entry.ready
            await send_json(request, 200 if ready else 503, {"ready": ready})
        else:
            await self._answer_known_caller(request)

    async def _answer_known_caller(self, request: Request) -> None:
        if request.header_bytes > LARGEST_HEADERS:
            message = f"headers: larger than {LARGEST_HEADERS} bytes together"
            await self._send_error(request, NotRun(NotRunReason.TOO_LARGE, message))
            return
        scheme, _, key = request.header("authorization").partition(" ")
        account = self._entry.account_of(key.strip()) if scheme.lower() == "bearer" else None
        if account is None:
            message = "want the header Authorization: Bearer KEY with the client account's API key"
            await self._send_error(request, NotRun(NotRunReason.UNAUTHORIZED, message))
        elif self._entry.requests >= self._limits.requests:
            message = f"this entry has {self._limits.requests} requests in flight"
            await self._send_error(request, NotRun(NotRunReason.OVERLOADED, message))
        else:
            await self._answer(request, account)

    async def _answer(self, request: Request, account: Account) -> None:
        match request.method, request.path:
            case "GET", "/v1/models":
                models = sorted(self._entry.node.holder.configuration.models)
                await send_json(request, 200, model_list(models))
            case "POST", "/v1/chat/completions" | "/v1/completions":
                await self._complete(request, account)
            case _, path if path.startswith(SERVICES_PREFIX):
                await self._call_service(request, account)
            case method, path:
                message = f"{method} {path}: no such place; see {CHAT_PATH}, {TEXT_PATH}, /services"
                await self._send_error(request, NotRun(NotRunReason.NOT_FOUND, message))

    async def _body(self, request: Request) -> bytes | NotRun:
        body: bytes | BodyTooLarge | None = None
        with self._entry.stop_bounds.until(float("inf")):
            body = await read_body(request, self._limits.body_bytes)
        if body is None:
            return stopped()
        if isinstance(body, BodyTooLarge):
            return NotRun(NotRunReason.TOO_LARGE, f"body: larger than {body.limit} bytes")
        return body

    def _deadline(self, request: Request) -> float | NotRun:
        text = request.header(TIMEOUT_HEADER)
        if not text:
            return trio.current_time() + self._limits.request_seconds
        most = int(self._limits.longest_request_seconds * 1000)
        if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= most:
            message = f"{TIMEOUT_HEADER}: want whole milliseconds from 1 to {most}"
            return NotRun(NotRunReason.BAD_REQUEST, message)
        return trio.current_time() + int(text) / 1000

    async def _complete(self, request: Request, account: Account) -> None:
        deadline = self._deadline(request)
        body = await self._body(request)
        for refusal in (deadline, body):
            if isinstance(refusal, NotRun):
                await self._send_error(request, refusal)
                return
        limits = self._limits
        match completion_query(request.path, body, limits.default_tokens, limits.most_tokens):
            case Failure(message):
                await self._send_error(request, NotRun(NotRunReason.BAD_REQUEST, message))
            case Success(query):
                name = uuid4().hex
                with start_action(
                    action_type="deckcourse:completion",
                    request=name,
                    account=account.name,
                    model=query.model,
                ) as action:
                    completion = Completion(
                        name,
                        account.name,
                        query.model,
                        query.prompt,
                        query.max_tokens,
                        deadline,
                        action=action.serialize_task_id().decode(),
                    )
                    outcome = await self._run(request, query, completion)
                    action.add_success_fields(**_log_fields(outcome))

    async def _run(
        self, request: Request, query: CompletionQuery, completion: Completion
    ) -> Outcome:
        form = CompletionForm(query, completion.request, int(time()))
        known: list[Outcome] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_when_gone, request, nursery.cancel_scope)
            send = self._stream if query.stream else self._whole
            await send(request, form, completion, known)
            nursery.cancel_scope.cancel()
        if known:
            return known[0]
        self._entry.node.counters.count(f"unknown.{UnknownReason.CALLER_GONE}")
        return Unknown(UnknownReason.CALLER_GONE, "the caller is gone")

    async def _stream(
        self, request: Request, form: CompletionForm, completion: Completion, known: list[Outcome]
    ) -> None:
        stream = _Stream(request, form)
        outcome = await self._entry.complete(completion, stream.send_tokens)
        known.append(outcome)
        if isinstance(outcome, Answered):
            await stream.end(form.last_events())
        elif stream.begun:
            await stream.end(error_event(outcome))
        else:
            await self._send_error(request, outcome, counted=True)

    async def _whole(
        self, request: Request, form: CompletionForm, completion: Completion, known: list[Outcome]
    ) -> None:
        tokens: list[TokenFrame] = []

        async def keep(ready: Sequence[TokenFrame]) -> None:
            tokens.extend(ready)

        outcome = await self._entry.complete(completion, keep)
        known.append(outcome)
        if isinstance(outcome, Answered):
            await send_json(request, 200, form.whole(tokens), OUTCOME_ANSWERED)
        else:
            await self._send_error(request, outcome, counted=True)

    async def _call_service(self, request: Request, account: Account) -> None:
        deadline = self._deadline(request)
        body = await self._body(request)
        key = request.header(KEY_HEADER)
        wrong: NotRun | None = None
        if len(key) > LONGEST_KEY:
            message = f"{KEY_HEADER}: longer than {LONGEST_KEY} characters"
            wrong = NotRun(NotRunReason.BAD_REQUEST, message)
        for refusal in (wrong, deadline, body):
            if isinstance(refusal, NotRun):
                await self._send_error(request, refusal)
                return
        name, _, rest = request.target.removeprefix(SERVICES_PREFIX).partition("/")
        with start_action(
            action_type="deckcourse:service", service=name, account=account.name
        ) as action:
            call = ServiceRequest(
                service=name,
                account=account.name,
                method=request.method,
                path="/" + rest,
                body=body,
                content_type=request.header("content-type"),
                deadline=deadline,
                key=key,
                repeatable=False if request.header(REPEAT_HEADER) == "no" else None,
                action=action.serialize_task_id().decode(),
            )
            outcome = await self._entry.call(call)
            action.add_success_fields(**_log_fields(outcome))
            await self._send_service(request, outcome)

    async def _send_service(self, request: Request, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            kind = outcome.content_type.encode("latin-1")
            await send_whole(request, outcome.status, outcome.body, kind, OUTCOME_ANSWERED)
        else:
            await self._send_error(request, outcome, counted=True)

    async def _send_error(
        self, request: Request, outcome: NotRun | Unknown, counted: bool = False
    ) -> None:
        if not counted and isinstance(outcome, NotRun):
            self._entry.node.counters.count(f"refused.{outcome.reason}")
        head = response_head(outcome)
        await send_json(request, head.status, error_body(outcome), head.headers)


def _log_fields(outcome: Outcome) -> dict[str, str]:
    if isinstance(outcome, Answered):
        return {"outcome": "answered"}
    kind = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return {"outcome": kind, "reason": str(outcome.reason)}
