"""Headers in which the platform's upstreams send their rate limit and drain state."""

from lynxchute.platform import names
from lynxchute.upstreams.statement_headers import BackpressureHeaders

STATEMENT_HEADERS = BackpressureHeaders(names.UPSTREAM_LIMIT, names.UPSTREAM_LEAVING)
