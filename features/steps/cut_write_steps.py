"""Steps about writes and reads that are cut short outside of the gateway.

The gateway once passed on a chunk without a head: an interruption that was meant for an upstream
had cut the writing to the caller, whose state already counted the head as sent. The same class was
then looked for everywhere else; what was found is told at each step.
"""

import os
import resource
import socket
import struct
import tempfile
import time
from contextlib import suppress
from types import SimpleNamespace

import msgspec
import trio
from behave import then, when
from given_up_calls import answer_bytes, give_up_once
from loopback_entry import (
    TIMEOUT_SECONDS,
    StubEntry,
    completion_bytes,
    connect,
    events_of,
    late_at,
    listening,
    read_answer,
    request_bytes,
    whole_answer,
)

import deckcourse.asgi as asgi_module
from deckcourse.controller_app import ControllerApp
from deckcourse.decision_log import DecisionLog
from deckcourse.entry_app import EntryApp
from deckcourse.http_client import HttpReply, fresh_pool, http_call, kept_pool
from deckcourse.loop_monitor import LoopMonitor
from deckcourse.plain_service import ServiceCall, ServiceReply
from deckcourse.plain_service_http import HttpPlainService

# Far more than any of these exchanges takes, seconds.
LONGEST_SECONDS = 5.0
IDLE_SECONDS = 0.2
# Longer than any turn of the event loop without a pause.
PAUSE_SECONDS = 0.3
# Closing then resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
TOKENS = {"the 1st token": 1, "the 2nd token": 2}


async def ask_past_deadline(what):
    """Return what a caller reads, and what another one does after it."""
    entry = StubEntry(late_at(TOKENS[what]))
    read = {}
    with trio.fail_after(LONGEST_SECONDS):
        async with listening(EntryApp(entry)) as bound:
            async with await connect(bound) as stream:
                milliseconds = round(TIMEOUT_SECONDS * 1000)
                await stream.send_all(completion_bytes(f"X-Deckcourse-Timeout-Ms: {milliseconds}"))
                read["answer"] = await read_answer(stream)
            await trio.sleep(IDLE_SECONDS)
            async with await connect(bound) as stream:
                await stream.send_all(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                read["other"] = await read_answer(stream)
    return read


@when("the deadline of a completion passes in the tick in which its upstream brings")
def deadline_with_a_token(context):
    """Play it on loopback.

    The deadline also cancelled the writing to the caller: the server library had counted the head
    as sent and gave up before its bytes left. The error event behind it was turned down,

        UnexpectedMessageError: Unexpected message type, http.response.body given the state REQUEST

    and so was the library's own 500, which took down the process with all that it served:

        LocalProtocolError: can't handle event type Response when role=SERVER and state=SEND_BODY
    """
    context.reads = {}
    for row in context.table:
        try:
            context.reads[row["what"]] = trio.run(ask_past_deadline, row["what"])
        except BaseExceptionGroup as fault:
            context.reads[row["what"]] = {"fault": fault}


@then("each time the caller reads the tokens before it, then that the deadline passed")
def tokens_then_deadline(context):
    wrong = {}
    for what, read in context.reads.items():
        tokens = [f"t{index} " for index in range(TOKENS[what] - 1)]
        expected = 200 if tokens else 504, [*tokens, "deadline-passed"]
        status, body = read.get("answer", (0, b""))
        if (status, events_of(body)) != expected:
            wrong[what] = read
    assert not wrong, wrong


@then("each time the entry still answers others")
def answers_others(context):
    wrong = {what: read for what, read in context.reads.items() if read["other"][0] != 200}
    assert not wrong, wrong


PLACES = {
    "a plain service": ("/services/vans/book", b"12345678"),
    "a completion": ("/v1/completions", b'{"model":"m","prompt":"p"}        '),
    "the controller": ("/v1/intents", b"{}        "),
}


async def send_half(place, framing, end):
    """Return what was served after half of a body came, and then the connection's end."""
    target, body = PLACES[place]
    half = body[:-4]
    entry = StubEntry(whole_answer)
    proposed = []

    async def propose(message):
        proposed.append(message)
        await trio.sleep_forever()

    app = EntryApp(entry)
    if place == "the controller":
        app = ControllerApp(SimpleNamespace(propose=propose), "k")
    header = f"Content-Length: {len(body)}"
    if framing == "chunks":
        header, half = "Transfer-Encoding: chunked", b"%x\r\n%s\r\n" % (len(half), half)
    async with listening(app) as bound:
        stream = await connect(bound)
        await stream.send_all(request_bytes(target, half, header))
        await trio.sleep(IDLE_SECONDS)
        if end == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        await trio.aclose_forcefully(stream)
        await trio.sleep(IDLE_SECONDS)
    return entry.served + proposed


@when("a caller sends half of the body of a request to")
def half_of_a_body(context):
    """Play it on loopback.

    A body that broke off was taken for whole: a plain service was called with 4 of 8 bytes, once
    and for all where the call may not be repeated, and the caller's key stood for those.
    """
    context.reads = {}
    for row in context.table:
        key = row["place"], row["framing"], row["end"]
        context.reads[key] = trio.run(send_half, *key)


@then("none of these requests was served")
def none_served(context):
    wrong = {key: served for key, served in context.reads.items() if served}
    assert not wrong, wrong


async def read_to_close(then):
    """Return a whole answer, and whether the server then closes the connection."""
    headers = ["Connection: close"] if then == "asked to close" else []
    async with listening(EntryApp(StubEntry(whole_answer))) as bound:
        stream = await connect(bound)
        await stream.send_all(completion_bytes(*headers))
        answer = await read_answer(stream)
        with trio.move_on_after(5 * IDLE_SECONDS):
            return answer, await stream.receive_some() == b""
    return answer, False


@when("a caller reads a whole streamed answer")
def read_whole(context):
    """Play it on loopback.

    The library tells the application that the exchange is over while it still sees to its end. That
    was taken for the caller's leaving, and cancelled the rest: the connection was neither closed
    where the caller had asked for it, nor when it had been idle for long.
    """
    keepalive = asgi_module.KEEPALIVE_SECONDS
    asgi_module.KEEPALIVE_SECONDS = IDLE_SECONDS
    try:
        context.reads = {
            row["and then"]: trio.run(read_to_close, row["and then"]) for row in context.table
        }
    finally:
        asgi_module.KEEPALIVE_SECONDS = keepalive


@then("each time the entry closes the connection")
def closes(context):
    for what, ((status, body), _closed) in context.reads.items():
        assert (status, events_of(body)[:2]) == (200, ["t0 ", "t1 "]), (what, status, body)
    wrong = [what for what, (_, closed) in context.reads.items() if not closed]
    assert not wrong, wrong


async def answer_twice(stream):
    """Answer each call with its number; the first one twice, in one write."""
    served = 0
    async with stream:
        while data := await stream.receive_some():
            calls = data.count(b"GET ")
            for _ in range(calls):
                served += 1
                answer = answer_bytes(b"%d" % served)
                await stream.send_all(answer + answer_bytes(b"surplus") if served == 1 else answer)


async def call_twice(pool):
    """Return what two calls to one upstream got."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer_twice, 0)
        port = listeners[0].socket.getsockname()[1]
        got = []
        for _ in range(2):
            reply = await http_call(pool, "GET", f"http://127.0.0.1:{port}/")
            got.append(reply.body if isinstance(reply, HttpReply) else reply)
        nursery.cancel_scope.cancel()
    return got


async def call_before_close(what, framing):
    """Return the reply of an upstream that closes the connection and then is as `what` says."""
    length = "Content-Length: 4\r\n" if framing == "length" else ""
    answered = False

    async def answer_once(stream):
        nonlocal answered
        if answered and what == "has exited behind a proxy":
            await trio.aclose_forcefully(stream)
            return
        # A close before the whole request is read would be a reset.
        request = b""
        while not request.endswith(b"{}"):
            data = await stream.receive_some()
            if not data:
                return
            request += data
        answered = True
        if what == "has exited":
            listener.socket.close()
        await stream.send_all(f"HTTP/1.1 200 OK\r\n{length}\r\nhalf".encode())
        await stream.aclose()
        if what == "has restarted during a pause":
            # The next process listens at the same port; this one reads nothing meanwhile.
            time.sleep(PAUSE_SECONDS)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        nursery.start_soon(accept_until_closed, listener, answer_once)
        monitor = LoopMonitor(trio.current_time)
        trio.lowlevel.add_instrument(monitor)
        service = HttpPlainService(fresh_pool(), "p", f"127.0.0.1:{port}", monitor.was_paused)
        with trio.fail_after(LONGEST_SECONDS):
            reply = await service.call(ServiceCall("r1", "POST", "/", b"{}", ""))
        nursery.cancel_scope.cancel()
    return "whole" if isinstance(reply, ServiceReply) else "lost"


async def accept_until_closed(listener, handler):
    with suppress(trio.ClosedResourceError):
        while True:
            await handler(await listener.accept())


@when("a plain service's upstream answers, closes the connection, and")
def answers_and_closes(context):
    """Play it on loopback.

    The connections of a process that exits are closed in good order: half of an answer without a
    length was passed on as the whole one.
    """
    context.reads = {
        (row["what"], row["framing"], row["reply"]): trio.run(
            call_before_close, row["what"], row["framing"]
        )
        for row in context.table
    }


@then("each reply is what the table says")
def reply_as_listed(context):
    wrong = {key: got for key, got in context.reads.items() if got != key[2]}
    assert not wrong, wrong


@when("an upstream of a plain service answers the first of two calls twice at once")
def answers_twice(context):
    context.reads = {kind: trio.run(call_twice, kind()) for kind in (kept_pool, fresh_pool)}


@then("each call got the answer to itself")
def answer_to_itself(context):
    wrong = {kind.__name__: got for kind, got in context.reads.items() if b"surplus" in got}
    assert not wrong, wrong


@when("there is room for half of a decision, then for all that follow")
def room_for_half(context):
    """Play it on a file with a limit to its size, as a full disk has one.

    After a write that failed the rest of its line was dropped, and the next line went on behind the
    half that had left: neither could be read.
    """
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    with tempfile.TemporaryFile() as file:
        log = DecisionLog("n", file.fileno())
        log.start()
        try:
            log.log("first")
            room = file.seek(0, os.SEEK_END) + 40
            resource.setrlimit(resource.RLIMIT_FSIZE, (room, limits[1]))
            log.log("cut", text="x" * 100)
            log.log("without-room")
            assert file.seek(0, os.SEEK_END) == room
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)
            log.log("later")
        finally:
            log.stop()
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        file.seek(0)
        context.lines = file.read().splitlines()


@then("each line of the log can be read, and they say what was left out")
def lines_are_whole(context):
    lines = [msgspec.json.decode(line) for line in context.lines]
    # What earlier scenarios logged while nobody took it may stand before.
    lines = [line for line in lines if line.get("node") == "n"]
    kinds = [line["message_type"] for line in lines]
    assert kinds == ["first", "cut", "log-bound", "later"], kinds
    assert lines[2]["left_out"] == {"without-room": 1}, lines[2]


@when("the first of two calls is answered after it was given up, by")
def given_up(context):
    """Play it on loopback, with a longer wait than any of the deadlines."""
    context.reads = {row["client"]: trio.run(give_up_once, row["client"]) for row in context.table}


@then("each time the second call got its own answer")
def own_answer(context):
    # The first request of each client has no response in time.
    expected = {2: [None, 2], 3: [2, 3]}
    wrong = {
        client: (got, asked)
        for client, (got, asked) in context.reads.items()
        if got != expected.get(asked)
    }
    assert not wrong, wrong
