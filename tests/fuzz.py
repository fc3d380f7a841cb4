"""Fuzz the budget decisions; prints a JSON object for each machine."""

import json
import sys
import traceback

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.budget_machine import BudgetMachine
from tests.ledger_machine import LedgerMachine

KINDS = (
    ("overspend_tokens", "overspend"),
    ("billed_never", "billed never"),
    ("billed_twice", "billed twice"),
    ("run_twice", "run twice"),
    ("not_run_but_ran", "told not run"),
    ("wrong_answers", "wrong answer"),
)


LEDGER_KINDS = (
    ("overspend_tokens", "overspend"),
    ("use_beyond_the_line", "beyond the line"),
    ("granted_too_much", "granted"),
    ("use_forgotten_at_a_restart", "forgotten"),
    ("use_not_counted", "uncounted"),
)


def run(examples, steps, seed=None, shrink=True, machine=BudgetMachine):
    """Fuzz; raise the first failure found."""
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


def fuzz(machine, kinds, examples, steps, seed):
    """Fuzz one machine, print what came of it; return whether it held."""
    found = ""
    try:
        run(examples, steps, seed, machine=machine)
    except AssertionError as error:
        traceback.print_exc()
        found = str(error)
    result = {"machine": machine.__name__}
    result.update(steps=machine.steps, examples=machine.examples)
    for name, text in kinds:
        result[name] = int(text in found)
    if found:
        result["found"] = found
    print(json.dumps(result), flush=True)
    return not found


def main():
    examples = int(sys.argv[1]) if len(sys.argv) > 1 else 150
    steps = int(sys.argv[2]) if len(sys.argv) > 2 else 50
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else None
    held = fuzz(BudgetMachine, KINDS, examples, steps, seed)
    held = fuzz(LedgerMachine, LEDGER_KINDS, examples, steps, seed) and held
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
