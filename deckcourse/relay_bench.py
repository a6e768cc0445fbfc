"""The relay's cost: tokens through an entry beside the same tokens through a bare relay.

Both run over real HTTP on loopback in one process with the source of the tokens, so that the
source's own cost is measured by itself and taken off.
"""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from resource import RUSAGE_SELF, getrusage
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

__all__ = ["RelayCost", "bench_relay", "relay_cost"]

STREAMS = 8
TOKENS = 400
ROUNDS = 5
KINDS = ("source", "bare", "entry")
KEY = "k"
MODEL = "m"
TRACE = "runner-1:0-4"
BODY_LIMIT = 1024 * 1024
NOWHERE = "127.0.0.1:9"


async def _source(request: Request) -> None:
    """Send the frames of an answer, each by itself, as fast as they are taken."""
    wanted = msgspec.json.decode(await read_body(request, BODY_LIMIT))["max_tokens"]
    headers = [(b"content-type", b"application/x-ndjson")]
    await request.send({"type": "http.response.start", "status": 200, "headers": headers})
    for index in range(wanted):
        line = encode_frame(TokenFrame(1, index, index, "word ", TRACE))
        await request.send({"type": "http.response.body", "body": line, "more_body": True})
        await trio.lowlevel.checkpoint()
    last = encode_frame(FinishFrame(1, wanted, "length"))
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


async def _client(
    pool: httpcore.AsyncConnectionPool, url: str, tokens: int, first: list[float]
) -> None:
    body = {"model": MODEL, "prompt": "p", "max_tokens": tokens, "stream": True}
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


@dataclass(frozen=True)
class _Round:
    """One round of streams: seconds, processor seconds, and the median first token."""

    took: float
    used: float
    first: float


async def _round(url: str, streams: int, tokens: int) -> _Round:
    first: list[float] = []
    async with kept_pool() as pool:
        began, used = trio.current_time(), process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(_client, pool, url, tokens, first)
        took, used = trio.current_time() - began, process_time() - used
    return _Round(took, used, sorted(first)[len(first) // 2])


@dataclass(frozen=True)
class RelayCost:
    """Processor seconds for all streams of a round: the least of some rounds of each kind."""

    source: float
    bare: float
    entry: float


async def relay_cost(streams: int, tokens: int) -> RelayCost:
    """Measure the source alone, a bare relay and an entry with the same streams."""
    rounds = await _rounds(streams, tokens)
    return RelayCost(*(min(each.used for each in rounds[kind]) for kind in KINDS))


async def _rounds(streams: int, tokens: int) -> dict[str, list[_Round]]:
    async with trio.open_nursery() as nursery:
        async with (
            _served(nursery, _source) as source,
            _served(nursery, _bare_relay(source)) as bare,
            _served(nursery, _entry_app(source)) as entry,
        ):
            addresses = dict(zip(KINDS, (source, bare, entry), strict=True))
            results: dict[str, list[_Round]] = {kind: [] for kind in KINDS}
            for _ in range(ROUNDS):
                for kind, address in addresses.items():
                    url = f"http://{address}/v1/completions"
                    results[kind].append(await _round(url, streams, tokens))
        nursery.cancel_scope.cancel()
    return results


def _summary(rounds: dict[str, list[_Round]]) -> dict[str, Any]:
    tokens = STREAMS * TOKENS
    cost = {kind: _median([each.used for each in rounds[kind]]) / tokens for kind in KINDS}
    bare, entry = cost["bare"] - cost["source"], cost["entry"] - cost["source"]
    took = {kind: _median([each.took for each in rounds[kind]]) for kind in KINDS}
    first = {kind: _median([each.first for each in rounds[kind]]) for kind in KINDS}
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
        "peak_memory_mib": round(getrusage(RUSAGE_SELF).ru_maxrss / 1024),
    }


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def bench_relay() -> dict[str, Any]:
    """Measure the entry's relay against a bare one in one run."""
    return _summary(trio.run(_rounds, STREAMS, TOKENS))
