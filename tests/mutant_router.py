"""A router that ignores one of the five limits of budgets.

The variable named in MUTANT_VARIABLE names the limit.
"""

import os
import signal

from lynxchute.platform.__main__ import main

MUTANT_VARIABLE = "LYNXCHUTE_TEST_MUTANT"


def ignore_retry_limit():
    """Permit each retry."""
    from lynxchute.upstreams.retry_budget import RetryBudget

    RetryBudget.is_available = lambda *arguments, **options: True


def forget_earlier_processes():
    """Let each process use its whole share of the retries at once."""
    from lynxchute.upstreams.retry_budget import RetryBudget

    RetryBudget.knows_window = lambda budget, now: True


def ignore_max_attempts():
    """Let each request be sent once more than its route allows."""
    from lynxchute.config.configuration import Route

    create = Route.__init__

    def create_with_more(route, *arguments, **options):
        options["max_attempts"] = options.get("max_attempts", 1) + 1
        create(route, *arguments, **options)

    Route.__init__ = create_with_more


def begin_deadlines_anew():
    """State to each upstream the time that was left at the first send."""
    from lynxchute.relay.sender import Sender

    time_left = Sender._time_left
    left_by_id = {}

    def time_left_at_first(sender, exchange):
        left = time_left(sender, exchange)
        return left_by_id.setdefault(exchange.call.request_id, left)

    Sender._time_left = time_left_at_first


def ignore_prepaid_tokens():
    """Serve requests whose tokens cannot be reserved."""
    from lynxchute.budgets import Ledger

    reserve = Ledger.reserve

    def reserve_or_serve(ledger, *arguments, **options):
        reserve(ledger, *arguments, **options)

    Ledger.reserve = reserve_or_serve


def ignore_backoff():
    """Send to upstreams that have asked for backoff."""
    from lynxchute.upstreams.backpressure import Backpressure

    Backpressure.record_backoff = lambda *arguments: None


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        ignore_retry_limit,
        forget_earlier_processes,
        ignore_max_attempts,
        begin_deadlines_anew,
        ignore_prepaid_tokens,
        ignore_backoff,
    )
}


if __name__ == "__main__":
    # As a router does before its long imports, which come first here.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[os.environ[MUTANT_VARIABLE]]()
    main()
