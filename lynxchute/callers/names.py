"""Header names of the product's own API, for callers and upstreams."""

REQUEST_ID = "X-Request-Id"
AUTHORIZATION = "Authorization"
LAST_EVENT = "Last-Event-Id"
# Id of the attempt that brought the first event of the stream that is resumed.
RESUMES = "Resumes"
# Seconds that the upstream has to respond.
TIME_LEFT = "X-Time-Left"
ACCOUNT = "X-Account"
EXPECTED_UPSTREAM = "X-Expect-Upstream"
PRIORITY = "X-Priority"
# Version of an upstream's software, in all its responses.
SOFTWARE_VERSION = "X-Software-Version"
# Software version that a request needs; an upstream with another one does not run it.
EXPECTED_VERSION = "X-Expect-Version"
# Whether the upstream ran a request; only the value `not_run` is used.
RUN = "X-Run"
NOT_RUN = "not_run"

# Requests per second that an upstream accepts from all routers together, for as long as
# its responses contain this header.
LIMIT = "X-Rate-Limit"
# Rejections for want of room in a second that an upstream survives, in all responses
# while it is brittle.
BRITTLE = "X-Brittle"
# "1" in responses of an upstream that accepts no new work.
LEAVING = "X-Leaving"

# Headers that only routers may send to upstreams.
ROUTER_ONLY = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        TIME_LEFT,
        ACCOUNT,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        PRIORITY,
    )
)
