"""A demonstration in one process: a stage is killed during a stream, and the answer is complete."""

from collections import defaultdict
from collections.abc import Callable, Sequence

import msgspec
import trio

from deckcourse.errors import InvariantError
from deckcourse.http_client import fresh_pool
from deckcourse.porcelain import Operator, confirm_plan, hash_key, state_intent
from deckcourse.site import Site, SitePlan
from deckcourse.standin_model import expected_tokens, token_text

__all__ = ["run_trial", "show_trial"]

MODEL = "demo-12"
DEPTH = 12
CAPACITY = 60.0
KEY = "trial-key"
PROMPT = "substation 4 reports low return temperature"
TOKENS = 40
KILL_AFTER = 15
READY_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.1

LineWriter = Callable[[str], None]


async def run_trial(write_line: LineWriter = print) -> None:
    """Run the trial and print each step.

    Raises:
      InvariantError: the answer was incomplete, or an engine ran layers twice for a position.
    """
    site = Site(SitePlan())
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await show_trial(site, write_line)
        nursery.cancel_scope.cancel()


async def show_trial(site: Site, write_line: LineWriter) -> None:
    """Run the trial on a running site; raises as `run_trial` does."""
    write_line(f"entry (callers)        http://{site.entry_address}")
    write_line(f"controller (operators) http://{site.controller_address}")
    write_line(
        f"{len(site.engines)} stand-in runners in 3 failure domains, a platform, a plain service\n"
    )
    operator = Operator(site.controller_address, site.plan.token)
    await _wait_until(lambda: site.entry.ready and len(_load_reports(site)) == len(site.engines))
    await _apply_intent(
        operator, write_line, {"kind": "account", "account": "trial"} | _account_fields()
    )
    await _apply_intent(
        operator,
        write_line,
        {"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": CAPACITY},
    )
    await _wait_until(lambda: _usable_count(site) >= 6)
    write_line("\nrequesting a streamed answer; one stage is killed after token 15\n")
    await _stream_and_kill_stage(site, write_line)


def _account_fields() -> dict[str, object]:
    return {"key_hash": hash_key(KEY), "tokens_per_second": 1000.0}


def _load_reports(site: Site) -> dict:
    return site.controller.node.membership.reports


def _usable_count(site: Site) -> int:
    node = site.entry.node
    return len(node.membership.usable(node.holder.configuration, MODEL, trio.current_time()))


async def _wait_until(done: Callable[[], bool]) -> None:
    with trio.fail_after(READY_TIMEOUT_SECONDS):
        while not done():
            await trio.sleep(POLL_INTERVAL_SECONDS)


async def _apply_intent(operator: Operator, write_line: LineWriter, intent: dict) -> None:
    plan = await state_intent(operator, intent)
    write_line(f"intent {intent['kind']} -> plan {plan['name']} on version {plan['base']}:")
    for step in plan["steps"]:
        write_line(f"  {step}")
    done = await confirm_plan(operator, plan["name"])
    write_line(f"  confirmed: version {done['version']} is accepted")


async def _stream_and_kill_stage(site: Site, write_line: LineWriter) -> None:
    token_times: list[float] = []
    texts: list[str] = []
    stage = ""
    async for text in _stream_texts(site.entry_address):
        token_times.append(trio.current_time())
        texts.append(text)
        if len(texts) == KILL_AFTER:
            stage = _kill_busy_stage(site)
    expected = [token_text(token) for token in expected_tokens(DEPTH, _rendered_prompt(), TOKENS)]
    if texts != expected:
        raise InvariantError(
            f"the answer is not as expected: {len(texts)} of {TOKENS} tokens arrived"
        )
    gaps = [later - earlier for earlier, later in zip(token_times, token_times[1:], strict=False)]
    write_line(f"answer: {''.join(texts)}")
    write_line(
        f"killed {stage} after token {KILL_AFTER}; {len(texts)} of {TOKENS} tokens came, in order"
    )
    write_line(
        f"pause of the stream: {max(gaps):.3f} s (usual gap {sorted(gaps)[len(gaps) // 2]:.3f} s)"
    )
    _write_executions(site, write_line)
    counts = site.entry.node.counters.counts
    write_line("counters: " + ", ".join(f"{name}={counts[name]}" for name in sorted(counts)))


def _rendered_prompt() -> str:
    return f"user: {PROMPT}"


def _kill_busy_stage(site: Site) -> str:
    """Kill the stage that starts at layer 4 of the running pipeline."""
    busy = [each for each in site.engines.values() if each.stream_count and each.held[1] == 4]
    busy[0].kill()
    return f"{busy[0].spec.name} (layers {busy[0].held[1]}-{busy[0].held[2]})"


def _write_executions(site: Site, write_line: LineWriter) -> None:
    """Write how many positions each engine ran, by layer range, from the engines' records."""
    executions: dict[tuple[int, int], dict[str, int]] = defaultdict(dict)
    for name, engine in sorted(site.engines.items()):
        for run in engine.runs:
            counts = executions[run.first, run.end]
            counts[name] = counts.get(name, 0) + 1
    write_line("positions run (prompt and answer), by layers:")
    for (first, end), counts in sorted(executions.items()):
        ran = ", ".join(f"{count} on {name}" for name, count in counts.items())
        write_line(f"  layers {first}-{end}: {ran}")
    repeated = [
        run for engine in site.engines.values() for run in _repeated_executions(engine.runs)
    ]
    if repeated:
        raise InvariantError(f"an engine ran layers twice for the same position: {repeated[0]}")
    write_line("no engine ran a layer twice for the same position")


def _repeated_executions(runs: Sequence) -> list:
    seen: set[tuple[str, int]] = set()
    repeated = []
    for run in runs:
        key = (run.request, run.position)
        if key in seen:
            repeated.append(run)
        seen.add(key)
    return repeated


async def _stream_texts(address: str):
    """Yield the texts of a streamed answer as they arrive."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    headers = [("authorization", f"Bearer {KEY}"), ("content-type", "application/json")]
    url = f"http://{address}/v1/chat/completions"
    async with fresh_pool() as pool:
        stream = pool.stream("POST", url, headers=headers, content=msgspec.json.encode(body))
        async with stream as response:
            unparsed = b""
            async for chunk in response.aiter_stream():
                *events, unparsed = (unparsed + chunk).split(b"\n\n")
                for event in events:
                    data = event.removeprefix(b"data: ")
                    if data == b"[DONE]":
                        continue
                    fields = msgspec.json.decode(data)
                    if "error" in fields:
                        raise InvariantError(fields["error"]["message"])
                    text = fields["choices"][0]["delta"].get("content")
                    if text:
                        yield text
