"""Convert placement queries, and name the key of a service's scheduling router."""

from __future__ import annotations

from lynxchute.fleet.messages import PlacementRequest
from lynxchute.scheduling.newcomer import PendingRequest
from lynxchute.upstreams.aims import LatencyObjectives
from lynxchute.upstreams.generation import Generation, PromptPart


def scheduling_key(service: str) -> str:
    """Return the rendezvous key that selects the scheduling router of a service."""
    return f"schedule {service}"


def pending_request(request: PlacementRequest) -> PendingRequest:
    """Return the request that a placement query asks to place."""
    generation = Generation(
        # All engines of a service have the model that the route names.
        model="",
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.output_tokens,
        parts=tuple(PromptPart(*part) for part in request.parts),
        expected_output_tokens=request.expected_output_tokens,
    )
    aims = LatencyObjectives(request.first_event_ms, request.pause_ms)
    return PendingRequest(request.run_id, generation, aims, request.router)
