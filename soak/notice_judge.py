"""Checks by the runners' records of arrivals whether entries complied with their notices."""

from collections import defaultdict

from soak.calls import Call
from soak.interruptions import Interruptions
from soak.notices import INCARNATION_HEADER, incarnation_name
from soak.site import Site

__all__ = ["NoticeJudge"]

# Requests in flight when the answer came may arrive within this time, and this many after it: that
# is what each process guarantees.
IN_FLIGHT_GRACE_SECONDS = 0.5
MAX_ARRIVALS_IN_BACKOFF = 2
# A call sent to the same process this long after a complete answer with a leaving notice must not
# reach the runner.
LEAVING_GRACE_SECONDS = 0.5
# An answer whose connection was reset around this time may not have been received.
RESET_BEFORE_SECONDS = 0.1
RESET_AFTER_SECONDS = 0.3
LEAVING_HEADER = b"server-leaving"


class NoticeJudge:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site whose runners recorded arrivals.
      calls: all requests of callers.
      interruptions: when processes were paused or links were cut, which excuses late arrivals.
    """

    def __init__(self, site: Site, calls: list[Call], interruptions: Interruptions) -> None:
        offset = site.clock_offset
        self._site = site
        self._calls = {each.request_id: each for each in calls}
        self._interruptions = interruptions
        self._entries = site.entry_names
        self._records = [
            each | {"at": each["clock"] + offset} for each in site.records if "clock" in each
        ]
        # The requests that reached each runner: the time, the incarnation and the call.
        self._arrivals: dict[str, list[tuple[float, str, Call]]] = defaultdict(list)
        for each in self._records:
            call = self._calls.get(each.get("arrived", ""))
            if call is not None:
                incarnation = incarnation_name(each["instance"], each["born"])
                self._arrivals[each["instance"]].append((each["at"], incarnation, call))

    def find_violations(self) -> list[str]:
        """Return the requests that reached runners after they had asked for none."""
        refusals = [each for each in self._records if each.get("asked") in self._calls]
        in_backoff = [violation for each in refusals if (violation := self._check_backoff(each))]
        return in_backoff + [
            each for call in self._calls.values() for each in self._check_leaving(call)
        ]

    def _check_backoff(self, refusal: dict) -> str:
        """Return a message if too many requests arrived in a backoff, or an empty text."""
        call, instance = self._calls[refusal["asked"]], refusal["instance"]
        begin, end = refusal["at"], refusal["at"] + refusal["seconds"]
        runner, entry = instance.partition(".")[0], self._entries[call.entry]
        reset_window = begin - RESET_BEFORE_SECONDS, begin + RESET_AFTER_SECONDS
        was_interrupted = any(
            self._interruptions.overlaps(each, begin, end) for each in (runner, entry)
        )
        if was_interrupted or self._interruptions.was_reset(runner, *reset_window):
            return ""
        arrivals = [
            other.request_id
            for at, _, other in self._arrivals[instance]
            if begin + IN_FLIGHT_GRACE_SECONDS < at < end and other.entry == call.entry
        ]
        self._site.judged["backoffs"] += 1
        self._site.judged["arrivals in backoffs"] += len(arrivals)
        if len(arrivals) <= MAX_ARRIVALS_IN_BACKOFF:
            return ""
        summary = f"{instance} asked {entry} for a backoff of {refusal['seconds']} s"
        return f"{summary} (answer to {call.request_id}) and received {arrivals}"

    def _check_leaving(self, call: Call) -> list[str]:
        """Return the requests that reached a runner after its leaving notice in a call's answer."""
        if not call.is_served or not call.answer.header(LEAVING_HEADER):
            return []
        # The answer names its sender, since a first attempt may have failed before its answer was
        # forwarded.
        sender = call.answer.header(INCARNATION_HEADER).decode()
        received_at, entry = call.sent_at + call.duration_seconds, self._entries[call.entry]
        self._site.judged["leavings"] += 1
        return [
            f"{sender} left (answer to {call.request_id}), received {other.request_id} from {entry}"
            for at, incarnation, other in self._arrivals[sender.partition("@")[0]]
            if incarnation == sender
            and other.entry == call.entry
            and other.sent_at > received_at + LEAVING_GRACE_SECONDS
            and not self._interruptions.overlaps(entry, received_at, at)
        ]
