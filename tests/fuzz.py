"""Fuzz the budget ledger with its state machine and print the result as JSON.

Arguments: number of examples, steps of each example, seed.
"""

import functools
import importlib
import json
import pkgutil
import sys
import traceback

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

import lynxchute
from tests.ledger_machine import LedgerMachine

FAILURE_KINDS = (
    ("overspend_tokens", "overspend"),
    ("use_beyond_the_line", "beyond the line"),
    ("granted_too_much", "granted"),
    ("use_forgotten_at_a_restart", "forgotten"),
    ("use_not_counted", "uncounted"),
)


@functools.cache
def load_product():
    """Import all modules of the product.

    Hypothesis draws constants that it finds in the loaded modules, so the examples of a
    test would depend on what other tests import.
    """
    for module in pkgutil.walk_packages(lynxchute.__path__, "lynxchute."):
        importlib.import_module(module.name)


def run(examples, steps, seed=None, shrink=True, machine=LedgerMachine):
    """Run a state machine with random steps; raise the first failure found."""
    load_product()
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    profile = settings(
        phases=phases,
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=seed is None,
        database=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
        report_multiple_bugs=False,
    )
    if seed is not None:
        machine = hypothesis.seed(seed)(machine)
    run_state_machine_as_test(machine, settings=profile)


def main():
    examples = int(sys.argv[1]) if len(sys.argv) > 1 else 150
    steps = int(sys.argv[2]) if len(sys.argv) > 2 else 50
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else None
    failure = ""
    try:
        run(examples, steps, seed)
    except AssertionError as error:
        traceback.print_exc()
        failure = str(error)
    machine = LedgerMachine
    result = {"machine": machine.__name__}
    result.update(steps=machine.steps, examples=machine.examples)
    for name, message in FAILURE_KINDS:
        result[name] = int(message in failure)
    if failure:
        result["found"] = failure
    print(json.dumps(result), flush=True)
    return 1 if failure else 0


if __name__ == "__main__":
    sys.exit(main())
