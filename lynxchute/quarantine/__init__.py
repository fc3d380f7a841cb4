"""Requests that end the upstreams that run them: decisions without I/O."""

from lynxchute.quarantine.content import content_id
from lynxchute.quarantine.progress import Progress

__all__ = ["Progress", "content_id"]
