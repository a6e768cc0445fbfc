"""Mutants of the bounds for callers and upstreams that read slowly."""

import deckcourse.gateway.held_bytes as held_module
import deckcourse.http1.server as server_module
from deckcourse.gateway.held_bytes import HeldBytes, Holder


def readers_take_any_time():
    HeldBytes._check_readers = lambda self, timeout: None


def sent_counts_as_read():
    server_module._unsent_bytes = lambda stream: 0


def any_connection_ends_first():
    def least(*values, key=None):
        return min(*values, key=key) if key is not None else max(values)

    held_module.max = least


def bodies_take_no_memory():
    Holder.note_received = Holder.note_body_waiting = lambda self, count: None


def collected_answers_take_no_memory():
    Holder.note_response = lambda self, count: None


_FEATURES = ("slow_readers",)
EVERY = {
    readers_take_any_time: ("a caller that reads too slowly is ended", _FEATURES),
    sent_counts_as_read: ("bytes in the kernel count as not read", _FEATURES),
    any_connection_ends_first: ("the connection that holds most ends first", _FEATURES),
    bodies_take_no_memory: ("bodies of requests count as held", _FEATURES),
    collected_answers_take_no_memory: ("collected answers count as held", _FEATURES),
}
