"""A small specification of when the list of targets counts as complete.

Two hosts are listed long before the model begins, two more may start. The
former lapse only while the store is away and are listed again within
RETURN_SECONDS of its return; the history may be discarded at any moment. The
rule itself is not modelled: it is the function that balancers run.
"""

from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

from chicorycart.address import Address
from chicorycart.steering.history import find_vanished_hosts
from chicorycart.steering.history import is_full_restart
from chicorycart.steering.published import ENTRY_REMOVED
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange

SERVICE = "dispatch"
DOMAIN = "riga-a"
HOST_PORT = 8165
NAMES = ("old-1", "old-2", "new-1", "new-2")
FORMER = (0, 1)
LATER = (2, 3)
RETURN_SECONDS = 2
COLD_SECONDS = 2
STEP_SECONDS = 2
BORN_BEFORE = 100
"""Seconds that the former hosts started before the model begins."""


@dataclass(frozen=True)
class Rules:
    """What the model bounds, and what the rule goes by."""

    seconds: int = 10
    outages: int = 1
    discards: int = 1
    dates_by_warmth: bool = True
    sees_takeovers: bool = True
    knows_gap: bool = True


class State(NamedTuple):
    """Everything that the model knows."""

    now: int = 0
    is_away: bool = False
    returned: int = -BORN_BEFORE
    outages: int = 0
    discards: int = 0
    born: tuple = (-BORN_BEFORE, -BORN_BEFORE, None, None)
    listed: tuple = (True, True, False, False)
    history: tuple = ()


def make_listing(state, number, is_cold=False):
    """Return the entry of a host."""
    return Listing(
        NAMES[number],
        SERVICE,
        Address(f"10.2.0.{number + 1}", HOST_PORT),
        DOMAIN,
        2,
        ListedState.READY,
        (BORN_BEFORE + 1 + state.born[number]) * 1000,
        float(is_cold),
    )


def is_cold(state, number):
    """Tell whether a host warms up."""
    return state.now - state.born[number] <= COLD_SECONDS


def list_host(state, number):
    """Write the entry of a host."""
    listed = list(state.listed)
    listed[number] = True
    event = (number, True, is_cold(state, number))
    return state._replace(
        listed=tuple(listed), history=(*state.history, event)
    )


def lapse(state, number):
    """Let the entry of a host lapse."""
    listed = list(state.listed)
    listed[number] = False
    event = (number, False, False)
    return state._replace(
        listed=tuple(listed), history=(*state.history, event)
    )


def list_steps(rules, state):
    """Return every step that may come next."""
    steps = []
    lives = [n for n in range(len(NAMES)) if state.born[n] is not None]
    is_due = not state.is_away and (
        state.now - state.returned >= RETURN_SECONDS
    )
    if state.now < rules.seconds and not (
        is_due and any(not state.listed[n] for n in lives)
    ):
        later = state._replace(now=state.now + STEP_SECONDS)
        steps.append(("time", later))
    if state.is_away:
        back = state._replace(is_away=False, returned=state.now)
        steps.append(("store returns", back))
        steps += [
            (f"{NAMES[n]} lapses", lapse(state, n))
            for n in FORMER
            if state.listed[n]
        ]
    else:
        steps += [
            (f"{NAMES[n]} is listed", list_host(state, n))
            for n in lives
            if not state.listed[n]
        ]
        if state.outages < rules.outages:
            away = state._replace(is_away=True, outages=state.outages + 1)
            steps.append(("store goes away", away))
    if state.discards < rules.discards and state.history:
        discarded = state._replace(history=(), discards=state.discards + 1)
        steps.append(("history is discarded", discarded))
    for number in LATER:
        if state.born[number] is None:
            born = list(state.born)
            born[number] = state.now
            started = state._replace(born=tuple(born))
            steps.append((f"{NAMES[number]} starts", started))
            break
    return steps


def evaluate(rules, state):
    """Return whether the list counts as complete, and who is named absent."""
    changes = [
        ListingChange(
            NAMES[number],
            revision,
            make_listing(state, number, cold or not rules.dates_by_warmth)
            if is_listed
            else None,
            "" if is_listed else ENTRY_REMOVED,
        )
        for revision, (number, is_listed, cold) in enumerate(state.history)
    ]
    numbers = [n for n in range(len(NAMES)) if state.listed[n]]
    listed = [make_listing(state, n, is_cold(state, n)) for n in numbers]
    vanished = find_vanished_hosts(changes, listed, not rules.knows_gap)
    # No host of the model starts at the address of another one.
    taken_over = 0 if rules.sees_takeovers else len(listed)
    is_complete = vanished.are_all_known or is_full_restart(
        changes, listed, taken_over, vanished.unknown
    )
    return is_complete, {listing.name for listing in vanished.hosts}


def misses_nobody(rules, state):
    """Tell whether a complete list has every live host, or names it."""
    is_complete, named = evaluate(rules, state)
    return (
        state.is_away
        or not is_complete
        or all(state.listed[n] or NAMES[n] in named for n in FORMER)
    )


def is_never_complete(rules, state):
    """Tell whether a list that was not read whole counts as incomplete."""
    is_complete, _ = evaluate(rules, state)
    return state.is_away or state.discards == 0 or not is_complete


def build_model(rules):
    """Return the model for the checker."""
    return Protocol(
        name="complete list",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(rules, State(*state)),
        invariants={
            "no live host is missed": lambda fields: misses_nobody(
                rules, State(**fields)
            ),
        },
    )


def build_vacuity_model(rules):
    """Return the model that fails once any list counts as complete."""
    model = build_model(rules)
    model.invariants = {
        "never complete": lambda fields: is_never_complete(
            rules, State(**fields)
        )
    }
    return model
