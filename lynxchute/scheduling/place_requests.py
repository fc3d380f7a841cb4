"""The question where a generation should go, as it is asked and as it is read."""

from __future__ import annotations

from lynxchute.fleet.messages import PlaceRequest
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.upstreams.aims import Aims
from lynxchute.upstreams.generation import Generation, PromptPart


def scheduling_key(service: str) -> str:
    """Return the key by which routers agree on who decides for a service."""
    return f"schedule {service}"


def newcomer_of(request: PlaceRequest) -> PendingRequest:
    """Return what a question asks a place for."""
    generation = Generation(
        # A service's engines all have the model that the route names.
        model="",
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.output_tokens,
        parts=tuple(PromptPart(*part) for part in request.parts),
        expected_output_tokens=request.expected_output_tokens,
    )
    aims = Aims(request.first_event_ms, request.pause_ms)
    return PendingRequest(request.run_id, generation, aims, request.router)
