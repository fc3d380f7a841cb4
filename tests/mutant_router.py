"""A router that ignores one of the five limits of budgets, or loses answers.

The variable named in MUTANT_VARIABLE names what it does wrong.
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


def cut_answers_as_configured():
    """Reset the connections of all callers at each change of the configuration."""
    from lynxchute.edge.application import EdgeApplication
    from lynxchute.http.connection import AbortCause

    create = EdgeApplication.__init__

    def create_and_listen(application, *arguments, **options):
        create(application, *arguments, **options)

        def cut(*_):
            for connection in list(application.callers.connections):
                connection.abort(AbortCause.STOPPED)

        application.configurations.listeners.append(cut)

    EdgeApplication.__init__ = create_and_listen


def stop_without_draining():
    """Cut all open answers as the router is asked to stop."""
    from lynxchute.edge.application import EdgeApplication

    async def drain(application):
        """Finish nothing."""

    EdgeApplication.drain = drain


def refuse_what_may_have_run():
    """State of each refused request that it has not run."""
    from lynxchute.relay.exchange import Exchange
    from lynxchute.relay.refusal import RunStatus

    refuse = Exchange.refuse

    def refuse_as_not_run(exchange, *arguments, **options):
        exchange.run_status = RunStatus.NOT_RUN
        return refuse(exchange, *arguments, **options)

    Exchange.refuse = refuse_as_not_run


def repeat_what_may_have_run():
    """Send each request again whose send got no answer."""
    from lynxchute.config.configuration import Route

    ignore_max_attempts()
    Route.is_repeatable = property(lambda route: True)


def extend_deadlines():
    """Answer each request up to three seconds after its time is over."""
    from lynxchute.relay import admission

    deadline_for = admission.deadline_for
    admission.deadline_for = lambda call, route: deadline_for(call, route) + 3.0


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        ignore_retry_limit,
        forget_earlier_processes,
        ignore_max_attempts,
        begin_deadlines_anew,
        ignore_prepaid_tokens,
        ignore_backoff,
        cut_answers_as_configured,
        stop_without_draining,
        refuse_what_may_have_run,
        repeat_what_may_have_run,
        extend_deadlines,
    )
}


if __name__ == "__main__":
    # As a router does before its long imports, which come first here.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[os.environ[MUTANT_VARIABLE]]()
    main()
