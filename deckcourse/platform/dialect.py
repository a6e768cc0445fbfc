"""The platform's headers on callers' requests and runners' answers."""

from deckcourse.gateway.dialect import CallerRequest, Dispatch, ReplyFacts
from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import Headers, end_to_end, header_value
from deckcourse.http1.server import IncomingRequest
from deckcourse.layers.paths import LayerPath
from deckcourse.platform.names import (
    ACCOUNT,
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
    REQUEST_ID,
    SEAL,
)
from deckcourse.platform.notices import notice_of
from deckcourse.platform.starts import runner_id

__all__ = ["PlatformDialect", "path_text"]

# Headers that only the system or a runner may set: callers' own are dropped.
_RESERVED = frozenset(
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
# Priorities go from 0, which goes first, to this one.
LOWEST_PRIORITY = 9
# Digits of a number in a header; a longer one says nothing of use.
LONGEST_NUMBER = 15
# Statuses that promise by themselves that nobody ran the request.
_PROMISES = frozenset({MISDIRECTED})


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read(self, message: IncomingRequest) -> CallerRequest:
        """Return what a caller's headers say."""
        headers = message.headers
        scheme, _, key = header_value(headers, AUTHORIZATION).partition(b" ")
        deadline = _number(header_value(headers, DEADLINE_MS))
        return CallerRequest(
            message,
            header_value(headers, REQUEST_ID).decode("latin-1"),
            header_value(headers, b"host").decode("latin-1").lower().partition(":")[0],
            message.target.decode("latin-1").partition("?")[0],
            key.strip().decode("latin-1") if scheme.lower() == KEY_SCHEME else "",
            None if deadline is None else deadline / 1000,
            _number(header_value(headers, LAST_EVENT_ID)),
        )

    def headers_for(self, request: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers with which a request goes to a runner.

        Args:
          request: as the caller sent it; its headers that belong to the system are dropped.
          dispatch: where it goes, and what the runner is told of it.
        """
        message = request.message
        kept = [each for each in end_to_end(message.headers) if not self._is_dropped(each)]
        if dispatch.last_event is not None:
            kept = [each for each in kept if each[0] != LAST_EVENT_ID]
            kept.append((LAST_EVENT_ID, str(dispatch.last_event).encode()))
        milliseconds = max(1, int(dispatch.seconds * 1000))
        kept.append((DEADLINE_MS, str(milliseconds).encode()))
        kept.append((EXPECTED_INSTANCE, runner_id(dispatch.instance).encode()))
        if dispatch.account:
            kept.append((ACCOUNT, dispatch.account.encode()))
        if dispatch.priority is not None:
            level = max(0, min(LOWEST_PRIORITY, dispatch.priority))
            kept.append((PRIORITY, str(level).encode()))
        if dispatch.path is not None:
            kept.append((PATH, path_text(dispatch.path).encode()))
        if message.body or message.method not in (b"GET", b"HEAD"):
            kept.append((b"content-length", str(len(message.body)).encode()))
        return tuple(kept)

    def _is_dropped(self, header: tuple[bytes, bytes]) -> bool:
        name, value = header
        if name == AUTHORIZATION:
            return value.partition(b" ")[0].lower() == KEY_SCHEME
        return name in _RESERVED

    def facts(self, reply: UpstreamReply) -> ReplyFacts:
        """Return what the head of a runner's answer says."""
        headers = reply.headers
        return ReplyFacts(
            header_value(headers, REQUEST_ID).decode("latin-1"),
            reply.status in _PROMISES or bool(header_value(headers, NOT_RUN)),
            header_value(headers, AT_FAULT).decode("latin-1"),
            notice_of(reply),
        )


def path_text(path: LayerPath) -> str:
    """Return a path as runners read it: IP:PORT=FROM-TO, joined by commas."""
    return ",".join(f"{each.address}={each.first}-{each.end}" for each in path.parts)


def _number(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) <= LONGEST_NUMBER else None
