"""Names of the platform's headers and calls."""

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
KEY = "X-Credential"
ACCOUNT = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
UPSTREAM_ID = "X-Instance-Id"
SIGNATURE = "X-Response-Stamp"
NOT_RUN = "X-Not-Run"
# How much longer the upstream that answers is cold.
COLD_MS = "X-Cold-Ms"
MODEL = "X-Model"
TOKENS = "X-Token-Counts"
PROMPT_PARTS = "X-Prompt-Prefix"
LENGTH_HINT = "X-Length-Hint"
PRIORITY = "X-Request-Priority"
LAST_EVENT = "Last-Event-Id"
# The address of an engine that hands over what it keeps of the prompt.
FETCH_CACHE = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
# The requests a second that the upstream that answers takes from all routers.
UPSTREAM_LIMIT = "Server-Limit"
# "1" from an upstream that takes no new work.
UPSTREAM_LEAVING = "Server-Leaving"

# Only the router may set these towards an upstream: a caller that sends one
# could take another account's place, rank or memory.
ROUTER_ONLY = frozenset(
    {
        DEADLINE.lower(),
        KEY.lower(),
        ACCOUNT.lower(),
        EXPECTED_UPSTREAM.lower(),
        PRIORITY.lower(),
        "x-expect-version",
        "x-pin-ms",
        "x-cache-hold",
        "x-kv-backup",
        FETCH_CACHE.lower(),
        "kv-from",
    }
)

READY_PATH = "/lynxchute/readyz"
REPORT_PATH = "/lynxchute/report"
# What an engine keeps of prompts.
CACHE_LIST = "/lynxchute/kv-list"

ROWS_WRITE = "/lynxchute/rows-tx"
ROWS_READ = "/lynxchute/rows-get"
ROWS_FEED = "/lynxchute/rows-feed"

# Tables that the operator and the upstreams write, and the key of the
# newest configuration in the first of them.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# The rest of the key is the data centre.
EVACUATION_PREFIX = "evacuate/"
UPSTREAM_TABLE = "servers"
# In all that an upstream says of itself: the Unix millisecond of its start.
STARTED = "born"
# The requests that run there, and those that wait.
RUNNING = "running"
WAITING = "waiting"
# The milliseconds for which it is still cold.
COLD_REMAINING = "cold_remaining_ms"
