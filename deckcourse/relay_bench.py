"""Benchmark of an entry's relay against a minimal relay that only copies bytes.

Both run over HTTP on loopback, in one process with the token source and the clients. Their cost is
measured without a relay and subtracted.
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

__all__ = ["RelayCost", "bench_relay", "measure_relay_cost"]

STREAMS = 8
TOKENS = 400
ROUNDS = 5
RELAY_KINDS = ("source", "bare", "entry")
API_KEY = "k"
MODEL = "m"
TRACE = "runner-1:0-4"
MAX_BODY_BYTES = 1024 * 1024
UNUSED_ADDRESS = "127.0.0.1:9"


async def _stream_frames(request: Request) -> None:
    """Send the frames of an answer one by one, as fast as the reader accepts them."""
    token_count = msgspec.json.decode(await read_body(request, MAX_BODY_BYTES))["max_tokens"]
    headers = [(b"content-type", b"application/x-ndjson")]
    await request.send({"type": "http.response.start", "status": 200, "headers": headers})
    for index in range(token_count):
        line = encode_frame(TokenFrame(1, index, index, "word ", TRACE))
        await request.send({"type": "http.response.body", "body": line, "more_body": True})
        await trio.lowlevel.checkpoint()
    last = encode_frame(FinishFrame(1, token_count, "length"))
    await request.send({"type": "http.response.body", "body": last})


def _bare_relay(source: str) -> Callable[[Request], Awaitable[None]]:
    pool = kept_pool()

    async def relay(request: Request) -> None:
        body = await read_body(request, MAX_BODY_BYTES)
        url = f"http://{source}{STREAMS_PATH}"
        async with pool.stream("POST", url, content=body) as response:
            headers = [(b"content-type", b"text/event-stream")]
            await request.send({"type": "http.response.start", "status": 200, "headers": headers})
            async for chunk in response.aiter_stream():
                await request.send({"type": "http.response.body", "body": chunk, "more_body": True})
            await request.send({"type": "http.response.body", "body": b""})

    return relay


def _entry_app(source: str) -> EntryApp:
    """Return an entry app with one model, whose only upstream is the source."""
    identity = NodeIdentity.start("bench", ENTRY_ROLE, "a", "")
    node = Node(identity, http_ports(UNUSED_ADDRESS), MemoryCounters(), Random(1))
    placement = Placement("runner-1", 1, source, "a", MODEL, 0, 4)
    account = Account("a", hash_key(API_KEY), 1e12)
    node.holder.apply(
        Change(
            1, "", models=(ModelSpec(MODEL, 4, 1.0),), placements=(placement,), accounts=(account,)
        )
    )
    node.holder.confirm()
    load = EngineLoad("runner-1", 1, MODEL, 0, 4, 0, 1000, 1e6, 4, False, 0, 0, True, 0.03, 1)
    node.membership.see_load(load, trio.current_time() + 3600)
    return EntryApp(Entry(node))


async def _run_client(
    pool: httpcore.AsyncConnectionPool, url: str, tokens: int, first_token_seconds: list[float]
) -> None:
    body = {"model": MODEL, "prompt": "p", "max_tokens": tokens, "stream": True}
    headers = [("authorization", f"Bearer {API_KEY}"), ("content-type", "application/json")]
    started_at = trio.current_time()
    stream = pool.stream("POST", url, headers=headers, content=msgspec.json.encode(body))
    async with stream as response:
        has_first_token = False
        async for _ in response.aiter_stream():
            if not has_first_token:
                first_token_seconds.append(trio.current_time() - started_at)
                has_first_token = True


@asynccontextmanager
async def _serve_app(nursery: trio.Nursery, app):
    stop = trio.Event()
    address = await nursery.start(serve, app, "127.0.0.1:0", stop)
    yield address
    stop.set()


@dataclass(frozen=True)
class _Round:
    """One round of streams: wall time, CPU time and the median time to the first token."""

    elapsed_seconds: float
    cpu_seconds: float
    first_token_seconds: float


async def _run_round(url: str, streams: int, tokens: int) -> _Round:
    first_token_seconds: list[float] = []
    async with kept_pool() as pool:
        started_at, cpu_seconds = trio.current_time(), process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(_run_client, pool, url, tokens, first_token_seconds)
        elapsed_seconds, cpu_seconds = (
            trio.current_time() - started_at,
            process_time() - cpu_seconds,
        )
    return _Round(
        elapsed_seconds, cpu_seconds, sorted(first_token_seconds)[len(first_token_seconds) // 2]
    )


@dataclass(frozen=True)
class RelayCost:
    """CPU seconds for all streams of a round; the minimum of `ROUNDS` rounds of each kind."""

    source: float
    bare: float
    entry: float


async def measure_relay_cost(streams: int, tokens: int) -> RelayCost:
    """Measure the same streams from the source directly, through a bare relay and an entry."""
    rounds = await _run_rounds(streams, tokens)
    return RelayCost(*(min(each.cpu_seconds for each in rounds[kind]) for kind in RELAY_KINDS))


async def _run_rounds(streams: int, tokens: int) -> dict[str, list[_Round]]:
    async with trio.open_nursery() as nursery:
        async with (
            _serve_app(nursery, _stream_frames) as source,
            _serve_app(nursery, _bare_relay(source)) as bare,
            _serve_app(nursery, _entry_app(source)) as entry,
        ):
            addresses = dict(zip(RELAY_KINDS, (source, bare, entry), strict=True))
            results: dict[str, list[_Round]] = {kind: [] for kind in RELAY_KINDS}
            for _ in range(ROUNDS):
                for kind, address in addresses.items():
                    url = f"http://{address}/v1/completions"
                    results[kind].append(await _run_round(url, streams, tokens))
        nursery.cancel_scope.cancel()
    return results


def _summarize(rounds: dict[str, list[_Round]]) -> dict[str, Any]:
    tokens = STREAMS * TOKENS
    cost = {
        kind: _median([each.cpu_seconds for each in rounds[kind]]) / tokens for kind in RELAY_KINDS
    }
    bare, entry = cost["bare"] - cost["source"], cost["entry"] - cost["source"]
    elapsed_seconds = {
        kind: _median([each.elapsed_seconds for each in rounds[kind]]) for kind in RELAY_KINDS
    }
    first_token_seconds = {
        kind: _median([each.first_token_seconds for each in rounds[kind]]) for kind in RELAY_KINDS
    }
    return {
        "streams": STREAMS,
        "tokens": TOKENS,
        "rounds": ROUNDS,
        "bare_us_per_token": round(bare * 1e6, 1),
        "entry_us_per_token": round(entry * 1e6, 1),
        "ratio": round(entry / bare, 2),
        "bare_tokens_per_second": round(tokens / elapsed_seconds["bare"]),
        "entry_tokens_per_second": round(tokens / elapsed_seconds["entry"]),
        "first_token_added_ms": round(
            (first_token_seconds["entry"] - first_token_seconds["bare"]) * 1000, 2
        ),
        "peak_memory_mib": round(getrusage(RUSAGE_SELF).ru_maxrss / 1024),
    }


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def bench_relay() -> dict[str, Any]:
    """Compare an entry's relay with a bare relay in one run."""
    return _summarize(trio.run(_run_rounds, STREAMS, TOKENS))
