"""The relay's cost: tokens through an entry beside the same tokens through a bare relay.

Both run over real HTTP on loopback in one process with the source of the tokens, so that the
source's own cost is measured by itself and taken off.
"""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from time import process_time
from typing import Any

import httpcore
import msgspec
import trio

from deckcourse.asgi import Request, read_body, serve
from deckcourse.configuration import Account, Change, ModelSpec, Placement
from deckcourse.counters import MemoryCounters
from deckcourse.engine import EngineLoad, FinishFrame, TokenFrame
from deckcourse.engine_http import STREAMS_PATH, encode_frame
from deckcourse.entry import Entry
from deckcourse.entry_app import EntryApp
from deckcourse.gossip import ENTRY_ROLE
from deckcourse.http_client import kept_pool
from deckcourse.http_ports import http_ports
from deckcourse.node import Node, NodeIdentity
from deckcourse.porcelain import hash_key

__all__ = ["bench_relay"]

STREAMS = 8
TOKENS = 400
ROUNDS = 5
KEY = "k"
MODEL = "m"
TRACE = "runner-1:0-4"
BODY_LIMIT = 1024 * 1024
NOWHERE = "127.0.0.1:9"


async def _source(request: Request) -> None:
    """Send the frames of an answer, each by itself, as fast as they are taken."""
    await read_body(request, BODY_LIMIT)
    headers = [(b"content-type", b"application/x-ndjson")]
    await request.send({"type": "http.response.start", "status": 200, "headers": headers})
    for index in range(TOKENS):
        line = encode_frame(TokenFrame(1, index, index, "word ", TRACE))
        await request.send({"type": "http.response.body", "body": line, "more_body": True})
        await trio.lowlevel.checkpoint()
    last = encode_frame(FinishFrame(1, TOKENS, "length"))
    await request.send({"type": "http.response.body", "body": last})


def _bare_relay(source: str) -> Callable[[Request], Awaitable[None]]:
    pool = kept_pool()

    async def relay(request: Request) -> None:
        body = await read_body(request, BODY_LIMIT)
        url = f"http://{source}{STREAMS_PATH}"
        async with pool.stream("POST", url, content=body) as response:
            headers = [(b"content-type", b"text/event-stream")]
            await request.send({"type": "http.response.start", "status": 200, "headers": headers})
            async for chunk in response.aiter_stream():
                await request.send({"type": "http.response.body", "body": chunk, "more_body": True})
            await request.send({"type": "http.response.body", "body": b""})

    return relay


def _entry_app(source: str) -> EntryApp:
    """An entry with one model on one upstream, which is the source."""
    identity = NodeIdentity.start("bench", ENTRY_ROLE, "a", "")
    node = Node(identity, http_ports(NOWHERE), MemoryCounters(), Random(1))
    place = Placement("runner-1", 1, source, "a", MODEL, 0, 4)
    account = Account("a", hash_key(KEY), 1e12)
    node.holder.apply(
        Change(1, "", models=(ModelSpec(MODEL, 4, 1.0),), placements=(place,), accounts=(account,))
    )
    node.holder.confirm()
    load = EngineLoad("runner-1", 1, MODEL, 0, 4, 0, 1000, 1e6, 4, False, 0, 0, True, 0.03, 1)
    node.membership.see_load(load, trio.current_time() + 3600)
    return EntryApp(Entry(node))


async def _client(pool: httpcore.AsyncConnectionPool, url: str, first: list[float]) -> None:
    body = {"model": MODEL, "prompt": "p", "max_tokens": TOKENS, "stream": True}
    headers = [("authorization", f"Bearer {KEY}"), ("content-type", "application/json")]
    began = trio.current_time()
    stream = pool.stream("POST", url, headers=headers, content=msgspec.json.encode(body))
    async with stream as response:
        seen = False
        async for _ in response.aiter_stream():
            if not seen:
                first.append(trio.current_time() - began)
                seen = True


@asynccontextmanager
async def _served(nursery: trio.Nursery, app):
    stop = trio.Event()
    address = await nursery.start(serve, app, "127.0.0.1:0", stop)
    yield address
    stop.set()


async def _round(url: str) -> tuple[float, float, float]:
    """Run the streams once; return seconds, processor seconds, and the median first token."""
    first: list[float] = []
    async with kept_pool() as pool:
        began, used = trio.current_time(), process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(_client, pool, url, first)
        took, used = trio.current_time() - began, process_time() - used
    return took, used, sorted(first)[len(first) // 2]


async def _bench() -> dict[str, Any]:
    async with trio.open_nursery() as nursery:
        async with (
            _served(nursery, _source) as source,
            _served(nursery, _bare_relay(source)) as bare,
            _served(nursery, _entry_app(source)) as entry,
        ):
            urls = {
                "source": f"http://{source}/v1/completions",
                "bare": f"http://{bare}/v1/completions",
                "entry": f"http://{entry}/v1/completions",
            }
            results = {name: [] for name in urls}
            for _ in range(ROUNDS):
                for name, url in urls.items():
                    results[name].append(await _round(url))
        nursery.cancel_scope.cancel()
    return _summary(results)


def _summary(results: dict[str, list[tuple[float, float, float]]]) -> dict[str, Any]:
    tokens = STREAMS * TOKENS
    cost = {name: _median([used for _, used, _ in runs]) / tokens for name, runs in results.items()}
    bare, entry = cost["bare"] - cost["source"], cost["entry"] - cost["source"]
    took = {name: _median([took for took, _, _ in runs]) for name, runs in results.items()}
    first = {name: _median([first for _, _, first in runs]) for name, runs in results.items()}
    return {
        "streams": STREAMS,
        "tokens": TOKENS,
        "rounds": ROUNDS,
        "bare_us_per_token": round(bare * 1e6, 1),
        "entry_us_per_token": round(entry * 1e6, 1),
        "ratio": round(entry / bare, 2),
        "bare_tokens_per_second": round(tokens / took["bare"]),
        "entry_tokens_per_second": round(tokens / took["entry"]),
        "first_token_added_ms": round((first["entry"] - first["bare"]) * 1000, 2),
    }


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def bench_relay() -> dict[str, Any]:
    """Measure the entry's relay against a bare one in one run."""
    return trio.run(_bench)
