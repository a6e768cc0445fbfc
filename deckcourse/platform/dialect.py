"""The platform's headers of callers' requests and runners' replies."""

from deckcourse.gateway.dialect import CallerRequest, Dispatch, ReplyFacts
from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import Headers, IncomingRequest, end_to_end, header_value
from deckcourse.layers.paths import LayerPath
from deckcourse.platform.names import (
    ACCOUNT,
    ANSWER_TOKENS,
    AT_FAULT,
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    EXPECTED_WEIGHTS,
    INSTANCE,
    KEY_SCHEME,
    LAST_EVENT_ID,
    MISDIRECTED,
    NOT_RUN,
    PATH,
    PRIORITY,
    PROMPT_PARTS,
    REQUEST_ID,
    SEAL,
    TOKENS,
)
from deckcourse.platform.notices import parse_notice
from deckcourse.platform.starts import runner_id

__all__ = ["PlatformDialect", "format_path"]

# Headers that only the gateway or a runner may set; they are dropped from callers' requests.
_RESERVED_HEADERS = frozenset(
    {
        ACCOUNT,
        AT_FAULT,
        DEADLINE_MS,
        EXPECTED_INSTANCE,
        EXPECTED_WEIGHTS,
        INSTANCE,
        NOT_RUN,
        PATH,
        PRIORITY,
        SEAL,
        b"content-length",
        b"expect",
    }
)
# Priorities range from 0, the highest, to this.
LOWEST_PRIORITY = 9
# Longer numbers in a header are ignored.
MAX_NUMBER_DIGITS = 15
# Statuses which by themselves guarantee that the request was not executed.
_NOT_EXECUTED_STATUSES = frozenset({MISDIRECTED})


class PlatformDialect:
    """Parses and builds the platform's headers."""

    def read(self, message: IncomingRequest) -> CallerRequest:
        """Return a caller's request with the parsed values of its headers."""
        headers = message.headers
        scheme, _, key = header_value(headers, AUTHORIZATION).partition(b" ")
        deadline = _number(header_value(headers, DEADLINE_MS))
        prompt, _, max_answer = header_value(headers, TOKENS).partition(b",")
        return CallerRequest(
            message,
            header_value(headers, REQUEST_ID).decode("latin-1"),
            header_value(headers, b"host").decode("latin-1").lower().partition(":")[0],
            message.target.decode("latin-1").partition("?")[0],
            key.strip().decode("latin-1") if scheme.lower() == KEY_SCHEME else "",
            None if deadline is None else deadline / 1000,
            _number(header_value(headers, LAST_EVENT_ID)),
            _number(prompt.strip()) or 0,
            _number(max_answer.strip()) or 0,
            _number(header_value(headers, ANSWER_TOKENS)) or 0,
            _shared_parts(headers),
        )

    def headers_for(self, request: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers of a request to a runner.

        Args:
          request: the request as the caller sent it; its reserved headers are dropped.
          dispatch: the instance that the request is sent to, and the values of further headers.
        """
        message = request.message
        sent_headers = [each for each in end_to_end(message.headers) if not self._is_dropped(each)]
        if dispatch.last_event is not None:
            sent_headers = [each for each in sent_headers if each[0] != LAST_EVENT_ID]
            sent_headers.append((LAST_EVENT_ID, str(dispatch.last_event).encode()))
        milliseconds = max(1, int(dispatch.remaining_seconds * 1000))
        sent_headers.append((DEADLINE_MS, str(milliseconds).encode()))
        sent_headers.append((EXPECTED_INSTANCE, runner_id(dispatch.instance).encode()))
        if dispatch.account:
            sent_headers.append((ACCOUNT, dispatch.account.encode()))
        if dispatch.priority is not None:
            level = max(0, min(LOWEST_PRIORITY, dispatch.priority))
            sent_headers.append((PRIORITY, str(level).encode()))
        if dispatch.path is not None:
            sent_headers.append((PATH, format_path(dispatch.path).encode()))
        if message.body or message.method not in (b"GET", b"HEAD"):
            sent_headers.append((b"content-length", str(len(message.body)).encode()))
        return tuple(sent_headers)

    def _is_dropped(self, header: tuple[bytes, bytes]) -> bool:
        name, value = header
        if name == AUTHORIZATION:
            return value.partition(b" ")[0].lower() == KEY_SCHEME
        return name in _RESERVED_HEADERS

    def facts(self, reply: UpstreamReply) -> ReplyFacts:
        """Return the parsed headers of a runner's reply."""
        headers = reply.headers
        return ReplyFacts(
            header_value(headers, REQUEST_ID).decode("latin-1"),
            reply.status in _NOT_EXECUTED_STATUSES or bool(header_value(headers, NOT_RUN)),
            header_value(headers, AT_FAULT).decode("latin-1"),
            parse_notice(reply),
        )


def format_path(path: LayerPath) -> str:
    """Return a path in the runners' format: IP:PORT=FIRST-END for each stage, joined by commas."""
    return ",".join(f"{each.address}={each.first}-{each.end}" for each in path.stages)


def _shared_parts(headers: Headers) -> tuple[bytes, ...]:
    """Return the names of all parts of a prompt but the last, in whatever headers they stand."""
    values = [value for name, value in headers if name == PROMPT_PARTS]
    if not values:
        return ()
    names = [each.partition(b":")[0].strip().lower() for each in b",".join(values).split(b",")]
    return tuple(each for each in names[:-1] if each)


def _number(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None
