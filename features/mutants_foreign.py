"""Mutants of the protection against invalid rows, pages and frames."""

import deckcourse.layers.plan_book as plan_book_module
import deckcourse.peers.frames as frames_module
import deckcourse.peers.knowledge as knowledge_module
import deckcourse.peers.loads as loads_module
import deckcourse.platform.pages as pages_module
import deckcourse.platform.row_checks as row_checks_module
from deckcourse.gateway.listed_rows import ListedRows
from deckcourse.gateway.refused_rows import RefusedRows
from deckcourse.gateway.row_intake import RowIntake


def bad_rows_change_nothing():
    RowIntake._withdraw = lambda self, key: None


def any_service_is_named():
    ListedRows.is_configured = lambda self, row: True


def claims_end_for_good():
    original = ListedRows._use_newest

    def settle(self, address):
        newest = self._newest(address)
        if newest is not None and newest.instance not in self._older:
            original(self, address)

    def put(self, row, version):
        self._older = {key for key in self._claims.get(row.address, ()) if key != row.instance}
        original_put(self, row, version)

    original_put = ListedRows.put
    ListedRows._older = frozenset()
    ListedRows._use_newest, ListedRows.put = settle, put


def refused_rows_are_told_of_each_time():
    original = RefusedRows.reject

    def note(self, kind, key, reason):
        self._logged_keys.clear()
        original(self, kind, key, reason)

    RefusedRows.reject = note


def rows_may_be_nested():
    row_checks_module.RecursionError = ZeroDivisionError


def unreadable_rows_are_left_out():
    pages_module._unreadable = lambda data: None


def frames_may_be_nested():
    frames_module.RecursionError = ZeroDivisionError


def moments_may_be_later_than_now():
    knowledge_module.min = lambda now, moment: moment


def any_load_is_kept():
    loads_module.LoadRow.is_valid = True


def plans_may_be_nested():
    plan_book_module.RecursionError = ZeroDivisionError


FOREIGN = ("foreign_rows",)
EVERY = {
    bad_rows_change_nothing: ("a row that turned bad counts as gone", FOREIGN),
    any_service_is_named: ("a row waits until its service is named", FOREIGN),
    claims_end_for_good: ("who had an address before has it again", FOREIGN),
    refused_rows_are_told_of_each_time: ("a refused row is told of once", FOREIGN),
    rows_may_be_nested: ("a row nested too deep is a bad one", FOREIGN),
    unreadable_rows_are_left_out: ("a row with a key is there, if unreadable", FOREIGN),
    frames_may_be_nested: ("a frame nested too deep is none", FOREIGN),
    moments_may_be_later_than_now: ("no moment is later than now", FOREIGN),
    any_load_is_kept: ("a load that can't be true is dropped", FOREIGN),
    plans_may_be_nested: ("a plan nested too deep is none", FOREIGN),
}
