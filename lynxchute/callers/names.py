"""Headers of the product's own interface, towards callers and upstreams."""

REQUEST_ID = "X-Request-Id"
AUTHORIZATION = "Authorization"
LAST_EVENT = "Last-Event-Id"
# Seconds that an upstream may take.
TIME_LEFT = "X-Time-Left"
ACCOUNT = "X-Account"
EXPECTED_UPSTREAM = "X-Expect-Upstream"
PRIORITY = "X-Priority"
# An upstream's word on whether it ran a request; only `not_run` counts.
RUN = "X-Run"
NOT_RUN = "not_run"

# The requests a second that an upstream takes from all routers together, for as long as
# it says so in its answers.
LIMIT = "X-Rate-Limit"
# "1" in the answers of an upstream that takes no new work.
LEAVING = "X-Leaving"

# What only routers say to upstreams.
ROUTER_ONLY = frozenset(
    name.lower()
    for name in (AUTHORIZATION, TIME_LEFT, ACCOUNT, EXPECTED_UPSTREAM, PRIORITY)
)
