"""Steps about the check of answers whose end only the end of their connection marks."""

from types import SimpleNamespace

import trio
from behave import then
from connection_world import virtually

from deckcourse.gateway.dialect import ProbeReply, ProbeResult
from deckcourse.gateway.end_check import AnswerSource, EndCheck
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.http1.pool import ConnectionPool
from deckcourse.platform.runners import RunnerControl

ADDRESSED = Upstream("a@1", "llm", "a:1", "x", row_name="a", start=1)
HEALTH_PATH = "/health"
# How long a query at a health path may take.
QUERY_SECONDS = 1.0
QUERY_REPLIES = {
    "alive": ProbeReply(ProbeResult.ALIVE, is_identified=True),
    "alive, not identified": ProbeReply(ProbeResult.ALIVE),
    "dead": ProbeReply(ProbeResult.DEAD),
    "silent": ProbeReply(ProbeResult.SILENT),
    "not sent": ProbeReply(ProbeResult.NOT_SENT),
}


class RecordedControl:
    """Answers a query and a connection probe as given; others fail the test."""

    def __init__(self, upstreams, query, connection, is_superseded, health="none"):
        self._upstreams = upstreams
        self._query = query
        self._connection = connection
        self._is_superseded = is_superseded
        self._health = health

    async def probe(self, upstream, seconds):
        assert self._query in QUERY_REPLIES, "a query was sent to an upstream that takes none"
        self._note_newer_start()
        return QUERY_REPLIES[self._query]

    async def probe_connection(self, upstream, seconds, quiet_seconds=0.01):
        assert self._connection != "unused", "a connection was opened"
        self._note_newer_start()
        return ProbeResult(self._connection)

    async def probe_health(self, upstream, health_path, seconds):
        assert health_path == HEALTH_PATH
        return ProbeResult(self._health)

    def _note_newer_start(self):
        if self._is_superseded:
            self._upstreams.observe_start(ADDRESSED, ADDRESSED.start + 1)


class Siblings:
    """Other connections to the upstream, which stay open or not."""

    def __init__(self, stay_open):
        self._stay_open = stay_open

    async def outlive(self, connection, max_silence_seconds=2.0):
        return self._stay_open


def counts(
    query, connection, is_superseded, health="none", is_paused=False, siblings_stay_open=False
):
    """Return whether the end of an answer without a length counts as the end of its body."""
    upstreams = UpstreamTable(lambda: 0.0)
    upstreams.put(ADDRESSED)
    control = RecordedControl(upstreams, query, connection, is_superseded, health)
    check = EndCheck(
        upstreams,
        control,
        Siblings(siblings_stay_open),
        lambda: is_paused,
        lambda what: None,
        lambda decision, **fields: None,
    )
    reply = UpstreamReply(200, (), SimpleNamespace(has_ended=True))

    async def work():
        source = AnswerSource(
            "r1",
            ADDRESSED.instance,
            query != "not accepted",
            "" if health == "none" else HEALTH_PATH,
            trio.current_time() + QUERY_SECONDS,
        )
        try:
            await check.check(reply, source)
        except ConnectionLostError:
            return False
        return True

    return virtually(work)


@then("the end of its answer counts as the end of the body after these replies")
def counted_ends(context):
    for row in context.table:
        counted = counts(row["query"], row["connection"], row["newer start known"] == "yes")
        assert counted == (row["counts"] == "yes"), row


@then("beside a connection that stays open, the end of its answer counts after these replies")
def counted_beside_sibling(context):
    for row in context.table:
        counted = counts(row["query"], row["connection"], False, siblings_stay_open=True)
        assert counted == (row["counts"] == "yes"), row


@then("the end of a plain upstream's answer counts as the end of the body after these replies")
def counted_plain_ends(context):
    for row in context.table:
        is_paused = row["paused"] == "yes"
        counted = counts("not accepted", row["connection"], False, row["health path"], is_paused)
        assert counted == (row["counts"] == "yes"), row


class ScriptedReply:
    """A connection to an upstream that replies with given bytes, then stays silent or closes."""

    def __init__(self, text):
        data, self._closes, _ = text.replace("\\r\\n", "\r\n").partition("{end}")
        self._data = b"" if data == "{none}" else data.encode()

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes):
        data, self._data = self._data, b""
        if not data and not self._closes:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        return data

    def readable(self):
        return False

    def is_open(self):
        return True

    def close(self):
        pass


@then('the reply {text} at the health path of upstream "{name}" shows that it is {result}')
def health_reply(context, text, name, result):
    async def dial(address):
        if text == "{refused}":
            raise ConnectionLostError(FailureKind.UNSENT, "refused")
        return ScriptedReply(text)

    async def work():
        control = RunnerControl(ConnectionPool(lambda what: None, dial))
        upstream = Upstream(name, "crm", f"{name}:1", "x")
        return await control.probe_health(upstream, HEALTH_PATH, 0.2)

    assert str(virtually(work)) == result
