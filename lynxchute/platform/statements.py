"""Headers in which the platform's upstreams send their rate limit and drain state."""

from lynxchute.platform import names
from lynxchute.upstreams.statement_headers import StatementHeaders

STATEMENT_HEADERS = StatementHeaders(names.UPSTREAM_LIMIT, names.UPSTREAM_LEAVING)
