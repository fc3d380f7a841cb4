"""Names of the platform's headers, paths, tables and fields."""

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
KEY = "X-Credential"
ACCOUNT = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
UPSTREAM_ID = "X-Instance-Id"
SIGNATURE = "X-Response-Stamp"
NOT_RUN = "X-Not-Run"
# Milliseconds until the answering upstream is warm.
COLD_MS = "X-Cold-Ms"
MODEL = "X-Model"
TOKENS = "X-Token-Counts"
PROMPT_PARTS = "X-Prompt-Prefix"
LENGTH_HINT = "X-Length-Hint"
PRIORITY = "X-Request-Priority"
LAST_EVENT = "Last-Event-Id"
# Id of the attempt that brought the first event of the stream that is resumed.
RESUMES = "Resumes"
# Address of an engine from which the receiver fetches cached parts of the prompt.
FETCH_CACHE = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
# Requests per second that the answering upstream accepts from all routers together.
UPSTREAM_LIMIT = "Server-Limit"
# Rejections for want of room in a second that the answering upstream survives.
UPSTREAM_BRITTLE = "Server-Brittle"
# "1" from a draining upstream, which accepts no new requests.
UPSTREAM_LEAVING = "Server-Leaving"

# Only the router may set these headers for an upstream. If they were forwarded from a
# caller, it could use another account's name, priority or cache memory.
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
# Lists the prompt parts in an engine's cache.
CACHE_LIST = "/lynxchute/kv-list"

ROWS_WRITE = "/lynxchute/rows-tx"
ROWS_READ = "/lynxchute/rows-get"
ROWS_FEED = "/lynxchute/rows-feed"
# Counts how often the store has come back from a copy, in all its answers.
STORE_ERA = "Store-Era"

# Table that the operator writes, and the key of its row with the newest configuration.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Row keys for evacuations: this prefix, then the name of the data centre.
EVACUATION_PREFIX = "evacuate/"
# Table that upstreams write.
UPSTREAM_TABLE = "servers"
# Field of upstream rows and load reports: start time in Unix milliseconds.
START_TIME_FIELD = "born"
# Fields of load reports: the number of running and of waiting requests.
RUNNING_FIELD = "running"
WAITING_FIELD = "waiting"
# Field of upstream rows and load reports: milliseconds until the upstream is warm.
COLD_REMAINING_FIELD = "cold_remaining_ms"
