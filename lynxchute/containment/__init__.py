"""Keep requests that crash upstreams away from them, across the whole fleet."""

from lynxchute.containment.containment import Containment
from lynxchute.containment.judge import Judge

__all__ = ["Containment", "Judge"]
