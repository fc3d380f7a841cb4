"""Headers in which the platform's upstreams state what they bear."""

from lynxchute.platform import names
from lynxchute.upstreams.statement_headers import BackpressureHeaders

STATEMENT_HEADERS = BackpressureHeaders(
    names.UPSTREAM_LIMIT, names.UPSTREAM_LEAVING, names.UPSTREAM_BRITTLE
)
