"""Steps about the check of answers whose end only the end of their connection marks."""

from types import SimpleNamespace

import trio
from behave import then

from deckcourse.gateway.dialect import ProbeReply, ProbeResult
from deckcourse.gateway.end_check import EndCheck
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import ConnectionLostError

ADDRESSED = Upstream("a@1", "llm", "a:1", "x", row_name="a", start=1)
QUERY_REPLIES = {
    "alive": ProbeReply(ProbeResult.ALIVE, is_identified=True),
    "alive, not identified": ProbeReply(ProbeResult.ALIVE),
    "dead": ProbeReply(ProbeResult.DEAD),
    "silent": ProbeReply(ProbeResult.SILENT),
    "not sent": ProbeReply(ProbeResult.NOT_SENT),
}


class RecordedControl:
    """Answers a query and a connection probe as given; others fail the test."""

    def __init__(self, upstreams, query, connection, is_superseded):
        self._upstreams = upstreams
        self._query = query
        self._connection = connection
        self._is_superseded = is_superseded

    async def probe(self, upstream, seconds):
        assert self._query in QUERY_REPLIES, "a query was sent to an upstream that takes none"
        self._note_newer_start()
        return QUERY_REPLIES[self._query]

    async def probe_connection(self, upstream, seconds):
        assert self._connection != "unused", "a connection was opened"
        self._note_newer_start()
        return ProbeResult(self._connection)

    def _note_newer_start(self):
        if self._is_superseded:
            self._upstreams.observe_start(ADDRESSED, ADDRESSED.start + 1)


def counts(query, connection, is_superseded):
    """Return whether the end of an answer without a length counts as the end of its body."""
    upstreams = UpstreamTable(lambda: 0.0)
    upstreams.put(ADDRESSED)
    control = RecordedControl(upstreams, query, connection, is_superseded)
    check = EndCheck(upstreams, control, lambda what: None, lambda decision, **fields: None)
    reply = UpstreamReply(200, (), SimpleNamespace(has_ended=True))
    try:
        trio.run(check.check, reply, "r1", ADDRESSED.instance, query != "not accepted")
    except ConnectionLostError:
        return False
    return True


@then("the end of its answer counts as the end of the body after these replies")
def counted_ends(context):
    for row in context.table:
        counted = counts(row["query"], row["connection"], row["newer start known"] == "yes")
        assert counted == (row["counts"] == "yes"), row
