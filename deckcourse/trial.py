"""The trial site: a pipeline, a stage killed halfway, the answer whole; in one process."""

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
READY_SECONDS = 20.0
LOOK_SECONDS = 0.1

Say = Callable[[str], None]


async def run_trial(say: Say = print) -> None:
    """Run the trial and tell each step.

    Raises:
      InvariantError: the answer was not whole, or a layer did not run exactly once.
    """
    site = Site(SitePlan())
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await show_trial(site, say)
        nursery.cancel_scope.cancel()


async def show_trial(site: Site, say: Say) -> None:
    """Show the main job on a running site; raises as `run_trial` does."""
    say(f"entry (callers)        http://{site.entry_address}")
    say(f"controller (operators) http://{site.controller_address}")
    say(f"{len(site.engines)} stand-in runners in 3 failure domains, a platform, a plain service\n")
    operator = Operator(site.controller_address, site.plan.token)
    await _wait_until(lambda: site.entry.ready and len(_reports(site)) == len(site.engines))
    await _confirm(operator, say, {"kind": "account", "account": "trial"} | _account())
    await _confirm(
        operator, say, {"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": CAPACITY}
    )
    await _wait_until(lambda: _usable(site) >= 6)
    say("\nasking for a streamed answer; one stage is killed after token 15\n")
    await _ask_and_kill(site, say)


def _account() -> dict[str, object]:
    return {"key_hash": hash_key(KEY), "tokens_per_second": 1000.0}


def _reports(site: Site) -> dict:
    return site.controller.node.membership.reports


def _usable(site: Site) -> int:
    node = site.entry.node
    return len(node.membership.usable(node.holder.configuration, MODEL, trio.current_time()))


async def _wait_until(done: Callable[[], bool]) -> None:
    with trio.fail_after(READY_SECONDS):
        while not done():
            await trio.sleep(LOOK_SECONDS)


async def _confirm(operator: Operator, say: Say, intent: dict) -> None:
    plan = await state_intent(operator, intent)
    say(f"intent {intent['kind']} -> plan {plan['name']} on version {plan['base']}:")
    for step in plan["steps"]:
        say(f"  {step}")
    done = await confirm_plan(operator, plan["name"])
    say(f"  confirmed: version {done['version']} is accepted")


async def _ask_and_kill(site: Site, say: Say) -> None:
    times: list[float] = []
    texts: list[str] = []
    killed = ""
    async for text in _stream_texts(site.entry_address):
        times.append(trio.current_time())
        texts.append(text)
        if len(texts) == KILL_AFTER:
            killed = _kill_busy_stage(site)
    expected = [token_text(token) for token in expected_tokens(DEPTH, _full_prompt(), TOKENS)]
    if texts != expected:
        raise InvariantError(f"the answer is not whole: {len(texts)} of {TOKENS} tokens are right")
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    say(f"answer: {''.join(texts)}")
    say(f"killed {killed} after token {KILL_AFTER}; {len(texts)} of {TOKENS} tokens came, in order")
    say(f"pause of the stream: {max(gaps):.3f} s (usual gap {sorted(gaps)[len(gaps) // 2]:.3f} s)")
    _tell_runs(site, say)
    counts = site.entry.node.counters.counts
    say("counters: " + ", ".join(f"{name}={counts[name]}" for name in sorted(counts)))


def _full_prompt() -> str:
    return f"user: {PROMPT}"


def _kill_busy_stage(site: Site) -> str:
    """Kill the stage in the middle of the running pipeline."""
    busy = [each for each in site.engines.values() if each.stream_count and each.held[1] == 4]
    busy[0].kill()
    return f"{busy[0].spec.name} (layers {busy[0].held[1]}-{busy[0].held[2]})"


def _tell_runs(site: Site, say: Say) -> None:
    """Tell what each layer range ran, from the engines' own records."""
    positions: dict[tuple[int, int], dict[str, int]] = defaultdict(dict)
    for name, engine in sorted(site.engines.items()):
        for run in engine.runs:
            counts = positions[run.first, run.end]
            counts[name] = counts.get(name, 0) + 1
    say("positions run (prompt and answer), by layers:")
    for (first, end), counts in sorted(positions.items()):
        ran = ", ".join(f"{count} on {name}" for name, count in counts.items())
        say(f"  layers {first}-{end}: {ran}")
    doubled = [run for engine in site.engines.values() for run in _doubled(engine.runs)]
    if doubled:
        raise InvariantError(f"a layer ran twice on one engine: {doubled[0]}")
    say("no engine ran a layer twice for the same position")


def _doubled(runs: Sequence) -> list:
    seen: set[tuple[str, int]] = set()
    twice = []
    for run in runs:
        key = (run.request, run.position)
        if key in seen:
            twice.append(run)
        seen.add(key)
    return twice


async def _stream_texts(address: str):
    """Yield the texts of a streamed answer as they come."""
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
            rest = b""
            async for chunk in response.aiter_stream():
                *events, rest = (rest + chunk).split(b"\n\n")
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
