"""How the platform's upstreams state what they want."""

from lynxchute.platform import names
from lynxchute.upstreams.statement_headers import StatementHeaders

STATEMENT_HEADERS = StatementHeaders(names.UPSTREAM_LIMIT, names.UPSTREAM_LEAVING)
