"""Mutants of the admission queue and of its use."""

from unittest import mock

from lynxchute.overload.ticket_queue import FairTicketQueue
from lynxchute.scheduling.board import EngineBoard
from lynxchute.scheduling.turns import AdmissionQueue


def keep_tickets_of_cancelled_requests():
    return mock.patch.object(AdmissionQueue, "discard", lambda self, run_id: None)


def keep_tickets_of_ended_processes():
    def update_routers(self, incarnations):
        self._routers = incarnations

    return mock.patch.object(AdmissionQueue, "update_routers", update_routers)


def accept_claims_of_ended_processes():
    return mock.patch.object(AdmissionQueue, "check", lambda self, request, claim: None)


def keep_tickets_of_placed_requests():
    return mock.patch.object(
        AdmissionQueue, "record_placement", lambda self, *args: None
    )


def report_no_free_slots():
    return mock.patch.object(EngineBoard, "free_slots", lambda self, *args: 0)


def ignore_full_engines():
    return mock.patch.object(EngineBoard, "_has_room", lambda self, *args: True)


def add_a_ticket_for_each_poll():
    def get(self, run_id):
        return None

    def contains(self, run_id):
        return False

    return mock.patch.multiple(FairTicketQueue, get=get, __contains__=contains)


MUTANTS = (
    keep_tickets_of_cancelled_requests,
    keep_tickets_of_ended_processes,
    accept_claims_of_ended_processes,
    keep_tickets_of_placed_requests,
    report_no_free_slots,
    ignore_full_engines,
    add_a_ticket_for_each_poll,
)
