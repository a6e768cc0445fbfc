"""Mutants of placements that follow the demand, and of the bounds for slow readers."""

import deckcourse.decisions.smoothed_demand as smoothed_module
import deckcourse.gateway.held_bytes as held_module
import deckcourse.http1.server as server_module
import deckcourse.layers.layouts as layouts_module
import deckcourse.layers.placement as placement_module
from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.gateway.holder import Holder
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.room_queue import RoomQueue


def interruptions_do_not_count():
    layouts_module.memory_target = lambda *_: None


def adjacent_hosts_hold_the_same_layers():
    layouts_module._adjacent_hosts = lambda copy_hosts: copy_hosts


def returned_hosts_wait_for_each_other():
    placement_module.add_part = lambda *_: ()


def demand_follows_each_swing():
    smoothed_module.RISE_SECONDS = smoothed_module.FALL_SECONDS = 0.1


def passing_streams_count_as_begun():
    choice = PathChoice
    choice.running_streams = lambda self, domains: sum(
        self.load_watch.reported(each.instance)
        for each in self._loads.firsts()
        if each.domain in domains
    )


def readers_take_any_time():
    HeldBytes._check_readers = lambda self, timeout: None


def sent_counts_as_read():
    server_module._unsent_bytes = lambda stream: 0


def any_connection_ends_first():
    def least(*values, key=None):
        return min(*values, key=key) if key is not None else max(values)

    held_module.max = least


def messages_need_no_room():
    HeldBytes.needs_room = lambda self, size, growth: False


def bodies_come_in_any_time():
    Holder.end_late_body = lambda self: None


def room_grows_within_the_bound():
    RoomQueue._exempt = property(lambda self: self, lambda self, value: None)


_DEMAND, _READERS, _HELD = ("placement_by_demand",), ("slow_readers",), ("held_bytes",)
EVERY = {
    interruptions_do_not_count: ("layouts count interrupted streams", _DEMAND),
    adjacent_hosts_hold_the_same_layers: ("adjacent hosts are of one copy", _DEMAND),
    returned_hosts_wait_for_each_other: ("a returned host holds layers at once", _DEMAND),
    demand_follows_each_swing: ("the demand is smoothed", _DEMAND),
    passing_streams_count_as_begun: ("streams that pass aren't counted twice", _DEMAND),
    readers_take_any_time: ("a caller that reads too slowly is ended", _READERS),
    sent_counts_as_read: ("bytes in the kernel count as not read", _READERS),
    any_connection_ends_first: ("the connection that holds most ends first", _HELD),
    messages_need_no_room: ("messages wait for room before they are read", _HELD),
    bodies_come_in_any_time: ("a body that has room comes in its time", _HELD),
    room_grows_within_the_bound: ("one growing message may exceed the bound", _HELD),
}
