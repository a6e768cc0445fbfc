"""Steps about connections whose requests a server doesn't read."""

import threading
import time
from contextlib import suppress
from dataclasses import replace
from functools import partial

import trio
from behave import given, then, when
from server_world import ANSWER_TIMEOUT_SECONDS, REQUEST, Caller, play, read_beside, run_late

# What a caller sends as it connects, just before the event loop goes on, and once its connection
# was accepted.
SENDS = {
    "sends a request": (REQUEST, b"", b""),
    "sends it late": (b"", REQUEST, b""),
    "sends it later": (b"", b"", REQUEST),
    "sends half a head": (REQUEST[:10], b"", b""),
    "sends nothing": (b"", b"", b""),
}
# The head of a response by what the scenario calls it.
STATUSES = {"a 200": b"HTTP/1.1 200", "a 503": b"HTTP/1.1 503"}
IDLE_SECONDS = 0.2
# The idle timeout of connections without a request.
FRESH_IDLE_SECONDS = 0.5
MOMENT_SECONDS = 0.02
# How long a server that was stopped takes requests.
STOP_WAIT_SECONDS = 0.6
# Longer than any stop here.
LONG_READ_SECONDS = 10.0


def check_answer(answer, gets):
    """Check what a caller read: one refusal with its Retry-After, or nothing."""
    if gets in ("reset", "close"):
        assert answer == (b"{reset}" if gets == "reset" else b""), answer
        return
    assert answer.startswith(STATUSES[gets]), answer
    assert not answer.endswith(b"{reset}"), answer
    if gets == "a 503":
        lower = answer.lower()
        assert b"retry-after: 0.1\r\n" in lower and b"connection: close\r\n" in lower, answer
        assert lower.count(b"http/1.1") == 1, answer


def request_with_body(size):
    """Return a request with a body of some bytes."""
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)


@given("a server that admits no connection")
def server_without_room(context):
    context.admits = False


@given("a server that admits {admits}, whose turns of the event loop last {turn:g} s")
def late_server(context, admits, turn):
    context.admits = admits == "all connections"
    context.turn = turn


@given("a server whose idle timeout is {seconds:g} s, and a caller with a served connection")
def server_with_idle_timeout(context, seconds):
    assert seconds == IDLE_SECONDS


async def make_queue_empty(address):
    """Connect and wait for the reset: the accept queue is found empty then."""
    await read_beside(Caller(address))


@when(
    "the event loop is late by {late:g} s, and a caller connects {before:g} s before it goes on"
    " and {sends}"
)
def late_turn(context, late, before, sends):
    first, last, later = SENDS[sends]

    async def part(server, node, address):
        await make_queue_empty(address)
        time.sleep(late - before)
        caller = Caller(address)
        caller.send(first)
        time.sleep(before)
        caller.send(last)
        if later:
            with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
                while not server._refusals.pending:
                    await trio.sleep(0)
            caller.send(later)
        return await read_beside(caller), node.asked

    context.answer, context.asked = play(part, context.admits, FRESH_IDLE_SECONDS)


@then("the caller reads {gets} while no request is handled")
def gets_and_none_handled(context, gets):
    check_answer(context.answer, gets)
    assert context.asked == 0, context.asked


@when(
    "{count:d} callers connect while the event loop is late by {late:g} s,"
    " every second one with a request"
)
def many_callers(context, count, late):
    async def part(server, node, address):
        await make_queue_empty(address)
        callers = [Caller(address) for _ in range(count)]
        for each in callers[::2]:
            each.send()
        time.sleep(late)
        began_at = time.monotonic()
        answers = await trio.to_thread.run_sync(lambda: [each.read() for each in callers])
        return answers, node.asked, time.monotonic() - began_at

    context.answers, context.asked, context.seconds = play(part, context.admits, FRESH_IDLE_SECONDS)


@then("each that sent a request gets a 503, and no request is handled")
def each_refused(context):
    for each in context.answers[::2]:
        check_answer(each, "a 503")
    assert context.asked == 0, context.asked


@then("all connections are closed within {seconds:g} s")
def closed_within(context, seconds):
    assert all(each in (b"", b"{reset}") for each in context.answers[1::2]), context.answers
    assert context.seconds <= seconds, context.seconds


@when("the caller sends a request in the turn of the event loop in which {what}")
def request_at_close(context, what):
    async def part(server, node, address):
        caller = Caller(address)
        caller.send()
        while not node.asked:
            await trio.sleep(0.01)
        # Until the connection waits for its next request.
        await trio.sleep(MOMENT_SECONDS)
        if what == "the idle timeout passes":
            time.sleep(IDLE_SECONDS + MOMENT_SECONDS)
        caller.send()
        if what == "idle connections are closed":
            server._idle_connections.close_served()
        elif what == "idle connections all end":
            server._idle_connections.close_all()
        return await read_beside(caller)

    context.answer = play(part, idle_seconds=IDLE_SECONDS)


@then("the second answer is {gets}")
def gets_second(context, gets):
    # The answer to the first request comes before that to the second one.
    answers = context.answer.split(b"HTTP/1.1")
    assert len(answers) == 3, context.answer
    check_answer(b"HTTP/1.1" + answers[2], gets)


@when(
    "it stops, and a caller sends a request of {size:d} KB after {seconds:g} s in a turn that lasts"
    " {longer:g} s more"
)
def stop_late(context, size, seconds, longer):
    async def part(server, node, address):
        async with trio.open_nursery() as nursery:
            node.stop()
            server.stop()
            stopped_at = trio.current_time()
            await trio.sleep_until(stopped_at + seconds)
            if context.turn:
                nursery.start_soon(run_late, context.turn)
            caller = Caller(address)
            caller.send(request_with_body(1024 * size))
            time.sleep(longer)
            answer = await read_beside(caller)
            nursery.cancel_scope.cancel()
        return answer

    context.answer = play(part, context.admits, balancer_grace=STOP_WAIT_SECONDS)


@when("it stops, and a caller's request of {size:d} KB is being sent after {seconds:g} s")
def stop_beside_long_request(context, size, seconds):
    async def part(server, node, address):
        async with trio.open_nursery() as nursery:
            node.stop()
            server.stop()
            await trio.sleep(seconds)
            nursery.start_soon(run_late, context.turn)
            caller = Caller(address, answer_timeout=LONG_READ_SECONDS)
            # The kernel doesn't take all of it at once.
            send = partial(send_if_open, caller, request_with_body(1024 * size))
            threading.Thread(target=send, daemon=True).start()
            answer = await read_beside(caller)
            nursery.cancel_scope.cancel()
        return answer

    context.answer = play(part, context.admits, balancer_grace=STOP_WAIT_SECONDS)


def send_if_open(caller, data):
    with suppress(OSError):
        caller.send(data)


@when("it stops, and a caller with half a head sends the rest {turn:d} turns after the last accept")
def stop_beside_half(context, turn):
    async def part(server, node, address):
        caller = Caller(address, answer_timeout=LONG_READ_SECONDS)
        caller.send(REQUEST[:10])
        node.bounds = replace(node.bounds, header_seconds=LONG_READ_SECONDS)
        node.held = TurnCounter(node.held, turn, lambda: send_if_open(caller, REQUEST[10:]))
        async with trio.open_nursery() as nursery:
            node.stop()
            server.stop()
            nursery.start_soon(run_late, context.turn)
            # The time is taken outside of the late event loop.
            answer, read_at = await trio.to_thread.run_sync(
                lambda: (caller.read(), time.monotonic())
            )
            nursery.cancel_scope.cancel()
        return answer, read_at - node.held.acted_at

    context.answer, context.waited = play(part, context.admits, balancer_grace=MOMENT_SECONDS)


class TurnCounter:
    """Held bytes that act when the end of a stop asks for the connections once more.

    Args:
      held: what is held.
      turn: how often it was asked before.
      act: called then.
    """

    def __init__(self, held, turn, act):
        self._held = held
        self._turns_left = turn
        self._act = act
        self.acted_at = float("inf")

    def connection(self):
        return self._held.connection()

    @property
    def connections(self):
        if self._turns_left == 0:
            self._act()
            self.acted_at = time.monotonic()
        self._turns_left -= 1
        return self._held.connections


@then("the caller gets a whole answer, or a close within {seconds:g} s")
def answered_or_closed_at_once(context, seconds):
    if context.answer in (b"", b"{reset}"):
        assert context.waited <= seconds, context.waited
    else:
        check_answer(context.answer, "a 503")


@then("a whole answer with a close reaches the caller")
def answered_with_close(context):
    # It may have been served before the server refuses requests.
    gets = "a 200" if context.answer.startswith(STATUSES["a 200"]) else "a 503"
    check_answer(context.answer, gets)
    assert b"connection: close\r\n" in context.answer.lower(), context.answer
