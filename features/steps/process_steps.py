"""Steps that run real processes."""

import http.client
import json
import threading
import time

import openai
import trio
from behave import given, then, when
from processes import DEPTH, KEY, MODEL, Processes

from deckcourse.porcelain import status
from deckcourse.standin_model import expected_tokens, token_text

PROMPT = "hello there"
# Until when the result of a call is recorded, on a busy machine too, seconds.
LONGEST_RECORDING_SECONDS = 5.0


def expected_text(tokens: int, prompt: str = PROMPT) -> str:
    return "".join(token_text(token) for token in expected_tokens(DEPTH, prompt, tokens))


class Stream:
    """A caller that reads a stream in a thread of its own."""

    def __init__(self, site: Processes, entry: str, tokens: int) -> None:
        self.tokens = tokens
        self.texts: list[str] = []
        self.whole = False
        self.error = ""
        self.connection = site.connect(entry)
        self.thread = threading.Thread(target=self._read, daemon=True)
        self.thread.start()

    def _read(self) -> None:
        body = {"model": MODEL, "prompt": PROMPT, "max_tokens": self.tokens, "stream": True}
        headers = {"authorization": f"Bearer {KEY}"}
        try:
            self.connection.request("POST", "/v1/completions", json.dumps(body).encode(), headers)
            self._read_events(self.connection.getresponse())
        except OSError as error:
            self.error = str(error) or type(error).__name__
        except Exception as error:  # noqa: BLE001 - whatever breaks the stream is the result
            self.error = type(error).__name__

    def _read_events(self, response) -> None:
        for line in response:
            if line.startswith(b"data: [DONE]"):
                self.whole = True
            elif line.startswith(b"data: "):
                event = json.loads(line[6:])
                if "error" in event:
                    self.error = event["error"]["message"]
                    return
                if event["choices"][0]["text"]:
                    self.texts.append(event["choices"][0]["text"])

    def wait_for(self, count: int) -> None:
        deadline = time.monotonic() + 20
        while len(self.texts) < count:
            assert time.monotonic() < deadline, (len(self.texts), self.error)
            time.sleep(0.005)


@given("a site of real processes")
def site(context):
    context.site = Processes()
    context.add_cleanup(context.site.stop)
    context.site.start()
    context.replies = []


@then("the public client lists the model")
def lists(context):
    assert [each.id for each in client(context).models.list()] == [MODEL]


def client(context) -> openai.OpenAI:
    base = f"http://{context.site.addresses['entry-1']}/v1"
    return openai.OpenAI(base_url=base, api_key=KEY)


@then("the public client gets {tokens:d} tokens whole")
def completes(context, tokens):
    messages = [{"role": "user", "content": "hello"}]
    answer = client(context).chat.completions.create(
        model=MODEL, messages=messages, max_tokens=tokens
    )
    assert answer.choices[0].message.content == expected_text(tokens, "user: hello")
    assert answer.usage.completion_tokens == tokens


@then("the public client gets {tokens:d} streamed tokens whole")
def streams(context, tokens):
    messages = [{"role": "user", "content": "hello"}]
    events = client(context).chat.completions.create(
        model=MODEL, messages=messages, max_tokens=tokens, stream=True
    )
    text = "".join(event.choices[0].delta.content or "" for event in events)
    assert text == expected_text(tokens, "user: hello")


@when("a stream of {tokens:d} tokens runs at {entry}")
def stream(context, tokens, entry):
    context.stream = Stream(context.site, entry, tokens)


@when("the {stage} stage is sent {signal} after {count:d} tokens")
def signal_stage(context, stage, signal, count):
    context.stream.wait_for(count)
    first = {"head": 0, "middle": 4, "last": 8}[stage]
    newest = None
    for name in context.site.engines:
        runs = [run for run in context.site.runs(name) if run["first"] == first]
        if runs and (newest is None or runs[-1]["position"] > newest[0]):
            newest = (runs[-1]["position"], name)
    context.site.send(newest[1], signal)


@when("process {name} is sent {signal} after {count:d} tokens")
def signal_after(context, name, signal, count):
    context.stream.wait_for(count)
    context.site.send(name, signal)


@when("process {name} is sent {signal}")
def signal_now(context, name, signal):
    context.site.send(name, signal)


@then("the stream ends whole")
def ends_whole(context):
    context.stream.thread.join(40)
    assert context.stream.whole, (context.stream.error, len(context.stream.texts))
    assert "".join(context.stream.texts) == expected_text(context.stream.tokens)


@then("the stream breaks and does not end as if whole")
def breaks(context):
    context.stream.thread.join(40)
    assert not context.stream.whole
    text = "".join(context.stream.texts)
    assert expected_text(context.stream.tokens).startswith(text)


@then("no engine ran a position twice")
def no_position_twice(context):
    for name in context.site.engines:
        keys = [(run["request"], run["position"]) for run in context.site.runs(name)]
        assert len(keys) == len(set(keys)), name


@then("{entry} completes {tokens:d} tokens whole")
def entry_completes(context, entry, tokens):
    reply = context.site.complete(entry, tokens)
    assert reply.status == 200, (reply.status, reply.body)
    assert reply.json["choices"][0]["text"] == expected_text(tokens)


@when("a van is sent with key {key} at {entry}")
def send_van(context, key, entry):
    van(context, key, entry, b"van to site 4")


@when("another van is sent with key {key} at {entry}")
def send_other_van(context, key, entry):
    van(context, key, entry, b"van to site 5")


def van(context, key, entry, body):
    headers = {"idempotency-key": key, "content-type": "text/plain"}
    # The result is recorded behind the answer: a repeat that comes sooner is told to ask again.
    deadline = time.monotonic() + LONGEST_RECORDING_SECONDS
    while True:
        reply = context.site.request(entry, "POST", "/services/vans/go", body, headers)
        if reply.status != 409 or b'"in-progress"' not in reply.body or time.monotonic() > deadline:
            break
    context.replies.append(reply)


@when("{entry} gets {signal} while it sends a van with key {key}")
def send_van_and_kill(context, entry, signal, key):
    caller = threading.Thread(target=_send_and_ignore, args=(context, key, entry), daemon=True)
    caller.start()
    # The call takes 0.4 s at the service; the claim is made well before its end.
    context.site.wait_until(lambda: _claimed(context, key))
    context.site.send(entry, signal)
    caller.join(20)


def _send_and_ignore(context, key, entry):
    try:
        van(context, key, entry, b"van to site 4")
    except OSError:
        return


def _claimed(context, key) -> bool:
    host, _, port = context.site.addresses["platform"].rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    body = json.dumps({"keys": [f"claim/tenants/{key}"]}).encode()
    connection.request("POST", "/table/read", body)
    rows = json.loads(connection.getresponse().read())["rows"]
    connection.close()
    return rows[0] is not None


@then("both answers are the same")
def same(context):
    first, second = context.replies
    seen = [(each.status, each.body, each.headers) for each in (first, second)]
    assert (
        (first.status, first.body) == (second.status, second.body) == (200, b"van to site 4")
    ), seen


@then("the van went {count:d} time")
@then("the van went {count:d} times")
def van_went(context, count):
    assert len(context.site.runs("vans-1")) == count, context.site.runs("vans-1")


@then("the van went at most {count:d} time")
def van_went_at_most(context, count):
    assert len(context.site.runs("vans-1")) <= count, context.site.runs("vans-1")


@then("the last answer is {code:d} {outcome} {reason}")
def last_answer(context, code, outcome, reason):
    reply = context.replies[-1]
    headers = {name.lower(): value for name, value in reply.headers.items()}
    seen = (reply.status, headers["deckcourse-outcome"], headers["deckcourse-reason"])
    assert seen == (code, outcome, reason), (seen, reply.body)
    error = reply.json["error"]
    assert (error["outcome"], error["reason"]) == (outcome, reason)


@then("the last answer is unknown")
def last_unknown(context):
    reply = context.replies[-1]
    headers = {name.lower(): value for name, value in reply.headers.items()}
    assert headers["deckcourse-outcome"] == "unknown", (reply.status, headers)


@then("{entry} is not ready within {seconds:f} seconds")
def not_ready(context, entry, seconds):
    path = "/readyz"
    site = context.site
    site.wait_until(lambda: site.request(entry, "GET", path).status == 503, seconds)


@then("{entry} still completes a request before the balancer's lag is over")
def still_completes(context, entry):
    assert context.site.complete(entry, 1).status == 200


@then("{name} exits with {code:d}")
def exits(context, name, code):
    assert context.site.children[name].wait(30) == code, context.site.log(name)[-2000:]


@when("an operator retires {runner} at {controller}")
def retire(context, runner, controller):
    number = int(controller.rpartition("-")[2])
    context.site.intend({"kind": "retire", "instance": runner}, number)


@then("{runner} is unloaded by {controller}")
def unloaded(context, runner, controller):
    operator = context.site.operator(int(controller.rpartition("-")[2]))

    def done() -> bool:
        runners = trio.run(status, operator)["runners"]
        held = {each["instance"]: each["load"] for each in runners}
        return held[runner] is not None and held[runner]["model"] == ""

    context.site.wait_until(done, 40)


@then("{entry} answers malformed requests")
def answers_malformed(context, entry):
    for row in context.table:
        malformed(context, row["what"], entry)
        code, outcome, reason = row["answer"].split()
        last_answer(context, int(code), outcome, reason)
        message = context.replies[-1].json["error"]["message"]
        assert row["place"] in message, message


def malformed(context, what, entry):
    good = {"model": MODEL, "prompt": PROMPT, "max_tokens": 3}
    bodies = {
        "no model": {"prompt": PROMPT},
        "too many tokens": good | {"max_tokens": 10**9},
        "a strange model": good | {"model": "nobody"},
    }
    body = json.dumps(bodies.get(what, good)).encode()
    if what == "no JSON":
        body = b"{"
    if what == "a large body":
        body = b" " * (2 * 1024 * 1024)
    path = "/v1/nothing" if what == "a wrong place" else "/v1/completions"
    headers = {"x-deckcourse-timeout-ms": "soon"} if what == "a bad timeout" else {}
    if what == "large headers":
        headers = {"x-padding": "x" * 50_000}
    key = "nobody's" if what == "a wrong key" else KEY
    context.replies.append(context.site.request(entry, "POST", path, body, headers, key))
