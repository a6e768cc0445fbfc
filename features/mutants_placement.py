"""Mutants of placements that follow the demand."""

import deckcourse.decisions.smoothed_demand as smoothed_module
import deckcourse.gateway.path_choice as path_choice_module
import deckcourse.layers.layouts as layouts_module
import deckcourse.layers.placement as placement_module
from deckcourse.decisions.interruptions import PlacementDemand


def interruptions_do_not_count():
    layouts_module.memory_target = lambda *_: None


def adjacent_hosts_hold_the_same_layers():
    layouts_module._adjacent_hosts = lambda copy_hosts: copy_hosts


def copies_use_all_hosts():
    layouts_module._DemandPlanner._fewest_hosts = lambda self, kinds: len(kinds)


def returned_hosts_wait_for_each_other():
    placement_module.add_part = lambda *_: ()


def reserves_load_layers_held_already():
    original = placement_module.relieve
    placement_module.relieve = lambda model, hosts, fill, max_fill=0.0: original(model, hosts, fill)


def demand_follows_each_swing():
    smoothed_module.RISE_SECONDS = smoothed_module.FALL_SECONDS = 0.1


def nights_leave_no_memory():
    PlacementDemand.usual_streams = lambda self, model, copies: self.streams or model.requests


def passing_streams_count_as_begun():
    choice = path_choice_module.PathChoice
    choice.running_streams = lambda self, domains: sum(
        self.load_watch.reported(each.instance)
        for each in self._loads.firsts()
        if each.domain in domains
    )


_FEATURES = ("placement_by_demand",)
EVERY = {
    interruptions_do_not_count: ("layouts count interrupted streams", _FEATURES),
    adjacent_hosts_hold_the_same_layers: ("adjacent hosts are of one copy", _FEATURES),
    copies_use_all_hosts: ("a copy takes as few hosts as the demand allows", _FEATURES),
    returned_hosts_wait_for_each_other: ("a returned host holds layers at once", _FEATURES),
    reserves_load_layers_held_already: ("idle hosts stay in reserve", _FEATURES),
    demand_follows_each_swing: ("the demand is smoothed", _FEATURES),
    nights_leave_no_memory: ("the demand has a minimum", _FEATURES),
    passing_streams_count_as_begun: ("streams that pass aren't counted twice", _FEATURES),
}
