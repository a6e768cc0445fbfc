"""Mutants of what processes tell each other about lost upstreams."""

import deckcourse.decisions.loss_reports as reports_module
import deckcourse.gateway.connection_watch as watch_module
import deckcourse.gateway.loss_notices as notices_module
from deckcourse.decisions.loss_reports import Evidence, ReporterCheck
from deckcourse.gateway.connection_watch import ConnectionWatch
from deckcourse.gateway.loss_notices import LossNotices


def losses_are_not_sent():
    LossNotices._queue = lambda self, instance, evidence, to_all_domains: None


def reports_are_not_verified():
    LossNotices._verify_if_follower = lambda self, instance: None


def one_report_of_silence_is_enough():
    reports_module.MIN_SILENCE_REPORTERS = 1


def cut_off_reporters_are_believed():
    ReporterCheck.is_isolated = lambda self, reporter, now: False


def no_other_follower_takes_over():
    notices_module.TAKEOVER_SECONDS = 1e6


def notices_are_not_bounded():
    notices_module.BYTES_AT_ONCE = notices_module.BYTES_PER_SECOND = 1e9


def an_idle_close_is_a_loss():
    wait = ConnectionWatch._wait_for_close

    async def wait_and_report(self, upstream, transport):
        was_reset = await wait(self, upstream, transport)
        self._losses.report(upstream.instance, Evidence.ENDED)
        return was_reset

    ConnectionWatch._wait_for_close = wait_and_report


def the_second_follower_watches_nothing():
    watch_module.WATCH_UPDATE_TTL_SECONDS = 1e6


LOSSES = ("loss_notices",)
EVERY = {
    losses_are_not_sent: ("processes tell each other of losses", LOSSES),
    reports_are_not_verified: ("a follower verifies what is reported", LOSSES),
    one_report_of_silence_is_enough: ("one process alone may be cut off", LOSSES),
    cut_off_reporters_are_believed: ("who names most of a domain is ignored", LOSSES),
    no_other_follower_takes_over: ("a verifier that ends is replaced", LOSSES),
    notices_are_not_bounded: ("notices take a bounded number of bytes", LOSSES),
    an_idle_close_is_a_loss: ("an idle close is no loss", LOSSES),
    the_second_follower_watches_nothing: ("a second follower takes over the watch", LOSSES),
}
