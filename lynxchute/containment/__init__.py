"""Keep requests that end upstreams away from them, over the whole fleet."""

from lynxchute.containment.containment import Containment
from lynxchute.containment.judge import Judge

__all__ = ["Containment", "Judge"]
