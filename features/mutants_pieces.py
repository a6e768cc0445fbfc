"""Mutants of what bounds messages without an end and in small pieces."""

import deckcourse.http1.client as client_module
import deckcourse.http1.pieces as pieces_module
from deckcourse.http1.pieces import PieceLane, PieceMeter


def unpaid_pieces_do_not_end_an_answer():
    PieceMeter.is_exceeded = False


def interim_answers_are_not_bounded():
    client_module.MAX_INTERIM_BYTES = float("inf")


def pieces_are_read_in_one_turn():
    async def go_on(self):
        pass

    PieceMeter.let_others_run = go_on


def unpaid_pieces_take_all_of_the_processor():
    async def go_on(self, seconds):
        pass

    PieceLane.wait = go_on


def a_pace_pays_for_no_piece():
    pieces_module.PACE_PER_SECOND = 0.0


MESSAGES = ("messages_without_end",)
EVERY = {
    unpaid_pieces_do_not_end_an_answer: ("an answer in small pieces has a bound", MESSAGES),
    interim_answers_are_not_bounded: ("interim answers have a bound", MESSAGES),
    pieces_are_read_in_one_turn: ("other tasks run between pieces", MESSAGES),
    unpaid_pieces_take_all_of_the_processor: ("unpaid pieces share the processor", MESSAGES),
    a_pace_pays_for_no_piece: ("small pieces may come at a pace", MESSAGES),
}
