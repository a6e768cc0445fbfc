"""A small site whose entry can be stopped, and requests that do not end by themselves."""

import errno
import math
import os
import time

import h11
import msgspec
import trio
from loopback_entry import StubEntry, connect, events_of, listening, whole_answer
from server_world import Caller, run_late

from deckcourse import asgi
from deckcourse.admission import Admission
from deckcourse.entry import Entry
from deckcourse.entry_app import CallerLimits, EntryApp
from deckcourse.entry_server import EntryServer
from deckcourse.gossip import ENTRY_ROLE
from deckcourse.listener import Listener
from deckcourse.porcelain import Operator, confirm_plan, hash_key, state_intent
from deckcourse.site import SERVICE_NAME, Site

MODEL = "m"
DEPTH = 12
KEY = "k"
READY_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
# Requests for as many tokens wait for admission for good.
WAITING_TOKENS = 7
# Longer than any of the streams lasts.
TOKENS = 400
# How long a request takes to come to where it stays.
SETTLE_SECONDS = 0.4
LONGEST_READ_SECONDS = 6.0
SMALL_BUFFER_BYTES = 4096
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
IDLE_SECONDS = 0.3
LATE_TURN_SECONDS = 0.03


class PartAdmission(Admission):
    """Admission without an end for some requests."""

    async def enter(self, request):
        if request.tokens == WAITING_TOKENS:
            await trio.sleep_forever()
        return await super().enter(request)


class WatchedEntry(Entry):
    """An entry that calls `on_drained` in the turn in which its stop finds nothing unfinished."""

    on_drained = None

    @property
    def unfinished(self):
        count = super().unfinished
        if not count and self.on_drained is not None and self.node.stopping:
            step, self.on_drained = self.on_drained, None
            step()
        return count


class StoppableSite(Site):
    """A site whose entry ends when it is stopped; `ended_at` says when.

    Args:
      longest_stop: the time that unfinished requests have, seconds.
    """

    def __init__(self, longest_stop):
        super().__init__()
        self.longest_stop = longest_stop
        self.server = None
        self.ended_at = math.inf

    async def _start_entry(self, platform, peer, nursery):
        node = self._node(ENTRY_ROLE, platform, peer)
        self.entry = WatchedEntry(node, new_admission=PartAdmission)
        limits = CallerLimits()
        self.server = EntryServer(self.entry, limits, "127.0.0.1:0", 0.0, self.longest_stop)
        self.entry_address = await nursery.start(self._run_entry)

    async def _run_entry(self, task_status):
        await self.server.run(task_status=task_status)
        self.ended_at = trio.current_time()

    async def configure(self):
        """Load a model, and let an account use it and a service in two ways."""
        operator = Operator(self.controller_address, self.plan.token)
        reports = self.controller.node.membership
        await until(lambda: self.entry.ready and len(reports.reports) == len(self.engines))
        for intent in (
            {"kind": "account", "account": "a", "key_hash": hash_key(KEY)}
            | {"tokens_per_second": 1e9},
            {"kind": "service", "service": SERVICE_NAME, "repeatable": True},
            {"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": 60.0},
        ):
            plan = await state_intent(operator, intent)
            await confirm_plan(operator, plan["name"])
        await until(lambda: self._usable_count() >= 6)

    def _usable_count(self):
        node = self.entry.node
        return len(node.membership.usable(node.holder.configuration, MODEL, trio.current_time()))

    def freeze(self):
        """Let no upstream answer any more."""
        for each in (*self.engines.values(), *self.services.values()):
            each.freeze()


async def until(condition):
    with trio.fail_after(READY_TIMEOUT_SECONDS):
        while not condition():
            await trio.sleep(POLL_INTERVAL_SECONDS)


def request_bytes(target, body, *headers):
    lines = [f"POST {target} HTTP/1.1", "Host: h", f"Authorization: Bearer {KEY}", *headers]
    return "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode() + body


def completion(tokens, stream):
    body = {"model": MODEL, "prompt": "p", "max_tokens": tokens, "stream": stream}
    return request_bytes("/v1/completions", msgspec.json.encode(body))


def call(*headers):
    return request_bytes(f"/services/{SERVICE_NAME}/go", b"12345678", *headers)


# What is sent before upstreams freeze, and after it.
BEGUN = {"a stream that began": completion(TOKENS, stream=True)}
SENT = {
    "a stream without a token": completion(TOKENS, stream=True),
    "a whole completion that runs": completion(TOKENS, stream=False),
    "a completion that waits for admission": completion(WAITING_TOKENS, stream=False),
    "a call that may not be repeated": call("X-Deckcourse-Repeat: no"),
    "a call that may be repeated": call(),
    "a call with a key that waits for its claim": call(
        "X-Deckcourse-Repeat: no", "Idempotency-Key: key"
    ),
    "half of a body": call()[:-4],
}


async def read(stream):
    """Return in words what a caller reads until the answer or the connection has ended."""
    reader = h11.Connection(h11.CLIENT)
    reader.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    reader.send(h11.EndOfMessage())
    head, body = None, b""
    try:
        while True:
            event = reader.next_event()
            if event is h11.NEED_DATA:
                reader.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return _in_words(head, body)
            else:
                return "closed"
    except trio.BrokenResourceError:
        return "reset"
    except h11.RemoteProtocolError:
        return "cut" if head is not None else "closed"


def _in_words(head, body):
    if head.status_code == 200 and body.startswith(b"data: "):
        events = events_of(body)
        return f"200 with tokens, then {events[-1]}"
    headers = dict(head.headers)
    outcome, reason = (
        headers.get(name, b"").decode() for name in (b"deckcourse-outcome", b"deckcourse-reason")
    )
    return f"{head.status_code} {outcome} {reason}".strip()


async def stop_to_end(site):
    """Stop the entry; return how long that took, seconds."""
    stopped_at = trio.current_time()
    site.server.stop()
    with trio.move_on_after(LONGEST_READ_SECONDS):
        await until(lambda: site.ended_at < math.inf)
    return site.ended_at - stopped_at


def fail_to_accept(listener):
    """Accept no connection, as a process does that has as many files open as it may."""
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


async def read_at_end(site, size, can_accept=True):
    """Stop the entry with an answer that its caller doesn't read until the end.

    Args:
      site: the site.
      size: the size of the answer, bytes.
      can_accept: whether the entry can accept connections as it ends.

    Returns:
      What the caller then reads, and how long the stop took, seconds.
    """
    caller = Caller(site.entry_address, SMALL_BUFFER_BYTES)
    caller.send(request_bytes(f"/services/{SERVICE_NAME}/go", bytes(size)))
    await trio.sleep(SETTLE_SECONDS)
    accept = Listener.accept_waiting
    Listener.accept_waiting = accept if can_accept else fail_to_accept
    try:
        seconds = await stop_to_end(site)
    finally:
        Listener.accept_waiting = accept
    return await trio.to_thread.run_sync(caller.read), seconds


async def arrive_at_end(site, connection, after, late):
    """Stop the entry; a caller sends a call some time after its last request.

    Args:
      site: the site.
      connection: what the caller has before.
      after: when it sends, seconds after the turn in which nothing is unfinished.
      late: whether each turn of the entry's event loop then lasts for long.

    Returns:
      What the caller reads, and how long the stop took, seconds.
    """
    callers = []
    if connection.endswith("connection") and connection != "no connection":
        callers.append(Caller(site.entry_address))
    if connection == "a served connection":
        callers[0].send(call())
        await trio.sleep(SETTLE_SECONDS)
        callers[0].discard()
    await trio.sleep(SETTLE_SECONDS)

    def send():
        count = int(connection.split()[0]) + 1 if connection.endswith("others") else 1
        while len(callers) < count:
            callers.append(Caller(site.entry_address))
        for each in callers:
            each.send(call())

    async def send_later():
        await trio.sleep(after)
        send()

    async with trio.open_nursery() as nursery:

        def on_drained():
            if after:
                nursery.start_soon(send_later)
            else:
                send()
            if late:
                nursery.start_soon(run_late, LATE_TURN_SECONDS)

        site.entry.on_drained = on_drained
        seconds = await stop_to_end(site)
        nursery.cancel_scope.cancel()
    answers = {await trio.to_thread.run_sync(each.read) for each in callers}
    return answers, seconds


async def play_stop(site, requests):
    """Stop the entry beside requests.

    Returns:
      What each of their callers reads, in words, and how long the stop took, seconds.
    """
    got = {}

    async def ask(name, data):
        async with await connect(site.entry_address) as stream:
            await stream.send_all(data)
            got[name] = await read(stream)

    async with trio.open_nursery() as nursery:
        for name in requests:
            if name in BEGUN:
                nursery.start_soon(ask, name, BEGUN[name])
        await trio.sleep(SETTLE_SECONDS)
        site.freeze()
        site.platform.table.delay = math.inf
        for name in requests:
            if name in SENT:
                nursery.start_soon(ask, name, SENT[name])
        await trio.sleep(SETTLE_SECONDS)
        nursery.cancel_scope.deadline = trio.current_time() + LONGEST_READ_SECONDS
        seconds = await stop_to_end(site)
    return got, seconds


def on_a_site(longest_stop, play, *arguments):
    """Return what an async function returns that plays on a configured site of its own."""

    async def work():
        site = StoppableSite(longest_stop)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await site.configure()
            result = await play(site, *arguments)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(work)


async def send_at_idle_timeout(count):
    """Return what callers with idle connections to an entry read who send as these time out."""
    async with listening(EntryApp(StubEntry(whole_answer))) as bound:
        callers = [Caller(bound) for _ in range(count)]
        for each in callers:
            each.send(HEALTH_REQUEST)
        await trio.sleep(asgi.KEEPALIVE_SECONDS / 2)
        for each in callers:
            each.discard()
        # The timeouts pass and the requests come in the same turn.
        time.sleep(asgi.KEEPALIVE_SECONDS)
        for each in callers:
            each.send(HEALTH_REQUEST)
        await trio.sleep(2 * asgi.KEEPALIVE_SECONDS)
        return [await trio.to_thread.run_sync(each.read) for each in callers]
