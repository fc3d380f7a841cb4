"""Resume broken streams only at the software version that began them."""

from lynxchute.resumption.stream_origins import StreamOrigins

__all__ = ["StreamOrigins"]
