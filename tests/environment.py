"""Hooks of behave: fixed seeds, one event loop and clean-up a scenario."""

from asyncio import Runner
from asyncio import SelectorEventLoop
from asyncio import wait_for
from contextlib import ExitStack
import random

from hypothesis import settings

from tests.standins.virtual import VirtualLoop

REAL_SECONDS = 60.0

settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None, max_examples=200
)
settings.load_profile("ci")


def before_scenario(context, scenario):
    """Give each scenario its own seed, event loop and clean-ups.

    Scenarios tagged ``virtual`` run on virtual time. ``context.run`` runs a
    coroutine to its end, for a bounded time if that is real;
    ``context.cleanups`` is an ``ExitStack``.
    """
    random.seed(1)
    is_virtual = "virtual" in scenario.effective_tags
    factory = VirtualLoop if is_virtual else SelectorEventLoop
    runner = Runner(loop_factory=factory)
    context.cleanups = ExitStack()
    context.cleanups.callback(runner.close)
    limit = None if is_virtual else REAL_SECONDS
    context.run = lambda work: runner.run(wait_for(work, limit))


def after_scenario(context, scenario):
    """Stop what the scenario started."""
    context.cleanups.close()
