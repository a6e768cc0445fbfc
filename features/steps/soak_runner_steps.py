"""Steps for the soak's stand-in runner."""

import json
import os
import subprocess
import sys
import time
from dataclasses import replace
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread

from behave import given, then, when

from soak.arrivals import arrivals
from soak.events import events
from soak.run_judge import runs
from soak.runner import RunnerSpec
from soak.sent_request import SentRequest
from soak.wire import HOST, free_port

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_SECONDS = 20.0
CALL_TIMEOUT_SECONDS = 10.0
# The delay of a slow runner's first response, in seconds.
RESPONSE_DELAY_SECONDS = 0.6
REQUEST_ID = "r1"
MAX_RECORD_BYTES = 64 * 1024


@given(
    "a stand-in runner with a capacity of {layers:d} layers and a load time of {seconds:g} second"
)
def start_runner(context, layers, seconds):
    port = free_port()
    spec = RunnerSpec("l0.0", "llm", "a", port, f"{HOST}:{port}", f"{HOST}:{free_port()}", layers)
    spec = replace(spec, born=1, load_seconds=seconds)
    command = [sys.executable, "-m", "soak.runner", spec.to_json()]
    context.runner = subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    context.add_cleanup(kill_process, context.runner)
    context.port = port
    assert poll_until(lambda: fetch_report(context), START_TIMEOUT_SECONDS)


def kill_process(process):
    process.kill()
    process.communicate()


def poll_until(condition, seconds):
    """Poll until the condition is true or the time is up; return its last result."""
    deadline = time.monotonic() + seconds
    while not (result := condition()) and time.monotonic() < deadline:
        time.sleep(0.02)
    return result


def new_connection(context):
    return HTTPConnection(HOST, context.port, timeout=CALL_TIMEOUT_SECONDS)


def fetch_report(context):
    """Return the runner's report, or None if the request fails with an OSError."""
    try:
        connection = new_connection(context)
        connection.request("GET", "/v1/report")
        return json.loads(connection.getresponse().read())
    except OSError:
        return None
    finally:
        connection.close()


def send_order(connection, first, end, expected_rev):
    """Send an order and return the response status."""
    body = {"op": "place", "rangeStart": first, "targetVersion": end, "how": "wait"}
    connection.request("POST", "/v1/order", json.dumps({**body, "expectedRev": expected_rev}))
    response = connection.getresponse()
    return response.status


@when(
    "it accepts an order to hold layers {first:d}-{end:d} and the connection is closed immediately"
)
def send_order_and_disconnect(context, first, end):
    connection = new_connection(context)
    assert send_order(connection, first, end, 0) == 202
    connection.close()
    context.report_after_order = fetch_report(context)
    second_connection = new_connection(context)
    context.second_order_status = send_order(second_connection, 0, 1, 1)
    second_connection.close()


@then("it reports an order in progress, and within {seconds:g} seconds layers {first:d}-{end:d}")
def check_order_completes(context, seconds, first, end):
    report = context.report_after_order
    assert report["utilization"] and report["sequence"] == 1, report
    expected_layers = {"rangeStart": first, "targetVersion": end}
    last_report = {}

    def has_expected_layers():
        last_report.update(fetch_report(context) or {})
        return last_report.get("layers") == expected_layers

    assert poll_until(has_expected_layers, seconds), last_report
    assert not last_report["utilization"], last_report


@then("it refuses another order while one is in progress")
def check_second_order_refused(context):
    assert context.second_order_status == 409, context.second_order_status


@given("it holds layers {first:d}-{end:d}")
def hold_layers(context, first, end):
    connection = new_connection(context)
    assert send_order(connection, first, end, 0) == 202
    expected_layers = {"rangeStart": first, "targetVersion": end}
    assert poll_until(
        lambda: fetch_report(context)["layers"] == expected_layers, CALL_TIMEOUT_SECONDS
    )
    connection.close()


def start_stream(context):
    """Request a stream; return the connection, the response and the first byte of the body."""
    connection = new_connection(context)
    path = f"{HOST}:{context.port}=0-8"
    connection.request("POST", "/stream/x", "b", {"X-Request-Id": REQUEST_ID, "Path": path})
    response = connection.getresponse()
    assert response.status == 200, response.status
    return connection, response, response.read(1)


@when("a stream is requested twice with the same request id and the first connection is closed")
def request_stream_twice(context):
    first_connection, first_response, _ = start_stream(context)
    context.connection, context.response, context.first_byte = start_stream(context)
    first_response.close()
    first_connection.close()


@then("the second stream is complete")
def check_second_stream(context):
    body = context.first_byte + context.response.read()
    assert body == events(REQUEST_ID), body[-80:]


@then("the stand-in runner is still running")
def check_runner_still_running(context):
    assert context.runner.poll() is None
    assert fetch_report(context) is not None


class ReportHandler(BaseHTTPRequestHandler):
    """Reports the layers that a runner holds, the first time after a delay."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802 - name required by BaseHTTPRequestHandler
        delay, self.server.delay = self.server.delay, 0.0
        time.sleep(delay)
        first, end = self.server.held_range
        body = json.dumps({"first": first, "end": end}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *details):
        pass


def start_other_runner(context, first, end, delay):
    server = ThreadingHTTPServer((HOST, 0), ReportHandler)
    server.daemon_threads = True
    server.held_range, server.delay = (first, end), delay
    Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.shutdown)
    context.other_port = server.server_port


@given("another runner that holds layers {first:d}-{end:d}")
def start_prompt_runner(context, first, end):
    start_other_runner(context, first, end, 0.0)


@given("another runner that holds layers {first:d}-{end:d} and delays its first response")
def start_slow_runner(context, first, end):
    start_other_runner(context, first, end, RESPONSE_DELAY_SECONDS)


@given("another runner that is not listening")
def choose_unused_port(context):
    context.other_port = free_port()


@when("a stream is requested with layers 0-4 on the stand-in runner and 4-8 on the other")
def request_stream_over_both(context):
    connection = new_connection(context)
    path = f"{HOST}:{context.port}=0-4,{HOST}:{context.other_port}=4-8"
    connection.request("POST", "/stream/x", "b", {"X-Request-Id": REQUEST_ID, "Path": path})
    context.response = connection.getresponse()


@then("the response status is {status:d} and the stream is complete")
def check_stream_complete(context, status):
    assert context.response.status == status, context.response.status
    body = context.response.read()
    assert body == events(REQUEST_ID), body[-80:]


@then("the response status is {status:d} and the response names the other runner")
def check_refusal(context, status):
    assert context.response.status == status, context.response.status
    assert context.response.getheader("X-Not-Executed"), context.response.headers
    at_server = context.response.getheader("At-Server")
    assert at_server == f"{HOST}:{context.other_port}", at_server


@when("a stream is requested with a deadline, an account and a query, and its path is replaced")
def request_and_move_stream(context):
    connection = new_connection(context)
    path = f"{HOST}:{context.port}=0-8"
    headers = {
        "X-Request-Id": REQUEST_ID, "X-Deadline-Ms": "4000", "X-Tenant": "acme", "X-Model": "m",
        "Path": path,
    }  # fmt: skip
    connection.request("POST", "/stream/x?q=1", "body", headers)
    context.response = connection.getresponse()
    order = {"op": "repath", "id": REQUEST_ID, "path": f"{HOST}:{context.port}=0-7"}
    second_connection = new_connection(context)
    second_connection.request("POST", "/v1/order", json.dumps(order))
    assert second_connection.getresponse().status == 200
    context.response.read()


@then("its records say what it received, and the layers of both paths")
def check_records(context):
    # They are fewer than a pipe holds.
    lines = os.read(context.runner.stdout.fileno(), MAX_RECORD_BYTES).splitlines()
    records = [json.loads(line) for line in lines]
    (run,) = runs(records)
    sent = SentRequest.of(b"POST", b"/stream/x?q=1", [(b"x-model", b"m")], b"body")
    assert (run.request_id, run.account, run.received) == (REQUEST_ID, "acme", sent), run
    (arrival,) = arrivals(records, 0.0)
    assert (arrival.request_id, arrival.deadline_ms) == (REQUEST_ID, 4000), arrival
    assert [each["layers"] for each in records if "layers" in each] == [[[0, 8]], [[0, 7]]]
