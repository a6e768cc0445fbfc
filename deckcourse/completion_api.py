"""The callers' interface for completions: its messages, and their forms on the wire."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from deckcourse.engine import TokenFrame
from deckcourse.outcomes import NotRun, Unknown

__all__ = [
    "CHAT_PATH",
    "TEXT_PATH",
    "CompletionForm",
    "CompletionQuery",
    "completion_query",
    "error_body",
    "error_event",
    "model_list",
]

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
DONE_EVENT = b"data: [DONE]\n\n"
# Stands for a token's text in the event that all events of an answer are cut from.
_TEXT_MARK = "\x00"

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True)
class CompletionQuery:
    """What a caller asked for."""

    chat: bool
    model: str
    prompt: str
    max_tokens: int
    stream: bool


def completion_query(
    path: str, body: bytes, default_tokens: int, most_tokens: int
) -> Result[CompletionQuery, str]:
    """Return what a body asks for, or what is wrong with it and where."""
    try:
        fields = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        return Failure(f"body: not JSON: {error}")
    if not isinstance(fields, dict):
        return Failure("body: want a JSON object")
    chat = path == CHAT_PATH
    prompt = _chat_prompt(fields.get("messages")) if chat else _text_prompt(fields.get("prompt"))
    if not isinstance(prompt, Success):
        return prompt
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        return Failure("model: want the name of a model; GET /v1/models lists them")
    tokens = fields.get("max_completion_tokens") or fields.get("max_tokens") or default_tokens
    if not isinstance(tokens, int) or not 1 <= tokens <= most_tokens:
        return Failure(f"max_tokens: want a whole number from 1 to {most_tokens}")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        return Failure("stream: want true or false")
    return Success(CompletionQuery(chat, model, prompt.unwrap(), tokens, stream))


def _chat_prompt(messages: Any) -> Result[str, str]:
    if not isinstance(messages, list) or not messages:
        return Failure("messages: want a list of at least one message")
    parts: list[str] = []
    for place, message in enumerate(messages):
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str) or not isinstance(message.get("role"), str):
            return Failure(f"messages[{place}]: want a role and a content, both text")
        parts.append(f"{message['role']}: {content}")
    return Success("\n".join(parts))


def _text_prompt(prompt: Any) -> Result[str, str]:
    if not isinstance(prompt, str):
        return Failure("prompt: want a text")
    return Success(prompt)


class CompletionForm:
    """Writes one answer, as events or whole; `created` is in seconds since 1970."""

    def __init__(self, query: CompletionQuery, request: str, created: int) -> None:
        self._query = query
        self._base = {"id": f"cmpl-{request}", "created": created, "model": query.model}
        event = self._event(self._delta(_TEXT_MARK), None)
        self._before, self._after = event.split(_encode(_TEXT_MARK))

    def events(self, tokens: Sequence[TokenFrame]) -> bytes:
        """Return the events of tokens that follow each other, an event for each."""
        before, after = self._before, self._after
        return b"".join([before + _encode(token.text) + after for token in tokens])

    def last_events(self) -> bytes:
        """Return the events that end a whole answer."""
        return (
            self._event({"delta": {}} if self._query.chat else {"text": ""}, "length") + DONE_EVENT
        )

    def whole(self, tokens: Sequence[TokenFrame]) -> dict[str, Any]:
        """Return a whole answer."""
        text = "".join(token.text for token in tokens)
        if self._query.chat:
            choice: dict[str, Any] = {"message": {"role": "assistant", "content": text}}
        else:
            choice = {"text": text}
        prompt_tokens = len(self._query.prompt.split())
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": prompt_tokens + len(tokens),
        }
        kind = "chat.completion" if self._query.chat else "text_completion"
        choice |= {"index": 0, "finish_reason": "length", "logprobs": None}
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}

    def _delta(self, text: str) -> dict[str, Any]:
        if self._query.chat:
            return {"delta": {"role": "assistant", "content": text}}
        return {"text": text}

    def _event(self, choice: dict[str, Any], finish: str | None) -> bytes:
        kind = "chat.completion.chunk" if self._query.chat else "text_completion"
        choice = {"index": 0, **choice, "finish_reason": finish, "logprobs": None}
        return b"data: " + _encode({**self._base, "object": kind, "choices": [choice]}) + b"\n\n"


def error_body(outcome: NotRun | Unknown) -> dict[str, Any]:
    """Return an outcome that is no answer in the interface's shape of an error."""
    kind = "not-run" if isinstance(outcome, NotRun) else "unknown"
    error = {
        "message": outcome.message,
        "type": kind,
        "param": None,
        "code": outcome.reason,
        "outcome": kind,
        "reason": outcome.reason,
    }
    return {"error": error}


def error_event(outcome: NotRun | Unknown) -> bytes:
    """Return the event that ends an answer which isn't whole."""
    return b"data: " + _encode(error_body(outcome)) + b"\n\n"


def model_list(models: Sequence[str]) -> dict[str, Any]:
    """Return the list of models."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "deckcourse"} for name in models
    ]
    return {"object": "list", "data": data}
