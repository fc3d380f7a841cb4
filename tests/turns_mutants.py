"""Break the decisions on turns one by one."""

from unittest import mock

from lynxchute.overload.ticket_queue import FairTicketQueue
from lynxchute.scheduling.board import EngineBoard
from lynxchute.scheduling.turns import AdmissionQueue


def keep_the_turn_of_who_has_left():
    return mock.patch.object(AdmissionQueue, "discard", lambda self, run_id: None)


def keep_the_turns_of_a_process_that_has_ended():
    def update_routers(self, incarnations):
        self._routers = incarnations

    return mock.patch.object(AdmissionQueue, "update_routers", update_routers)


def believe_a_process_that_has_ended():
    return mock.patch.object(AdmissionQueue, "check", lambda self, request, claim: None)


def keep_the_turn_of_who_was_placed():
    return mock.patch.object(
        AdmissionQueue, "record_placement", lambda self, *args: None
    )


def give_no_room_back():
    return mock.patch.object(EngineBoard, "free_slots", lambda self, *args: 0)


def fill_engines_beyond_their_places():
    return mock.patch.object(EngineBoard, "_has_room", lambda self, *args: True)


def count_each_asking_as_a_ticket():
    def get(self, run_id):
        return None

    def contains(self, run_id):
        return False

    return mock.patch.multiple(FairTicketQueue, get=get, __contains__=contains)


MUTANTS = (
    keep_the_turn_of_who_has_left,
    keep_the_turns_of_a_process_that_has_ended,
    believe_a_process_that_has_ended,
    keep_the_turn_of_who_was_placed,
    give_no_room_back,
    fill_engines_beyond_their_places,
    count_each_asking_as_a_ticket,
)
