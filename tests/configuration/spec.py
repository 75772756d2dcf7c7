"""The specification of the version exchange, for the model checker.

Three processes, of which the first reads the platform, and two versions.
A state holds what the environment does (published and shown version, whom
the network cuts off, how many faults are left) and, for each process, the
version in force, whether it serves, whom it has asked since its start and
what each peer that was in reach ever since had at that time: the floor that
it must not serve below.
"""

from collections import namedtuple

from minicheck import Protocol

PROCESSES = (0, 1, 2)
NOBODY = 3
DOWN = 0
FAULTS = 3
EVERYBODY = frozenset(PROCESSES)

State = namedtuple(
    "State",
    (
        "published",
        "shown",
        "cut",
        "faults",
        "versions",
        "serving",
        "asked",
        "floors",
        "pushes",
        "went_back",
        "served_below",
    ),
)
NOTHING = (0, 0, 0)
ALL_STARTING = State(
    published=1,
    shown=1,
    cut=NOBODY,
    faults=FAULTS,
    versions=NOTHING,
    serving=(False,) * 3,
    asked=(frozenset(),) * 3,
    floors=(NOTHING,) * 3,
    pushes=frozenset(),
    went_back=False,
    served_below=False,
)
ALL_SERVING = ALL_STARTING._replace(versions=(1, 1, 1), serving=(True,) * 3)


class Design:
    """Which mechanisms the specified processes have.

    Attributes
    ----------
    takes_only_later : bool
        Whether a version that is not later is dropped.
    asks_at_start : bool
        Whether a starting process asks every peer before it serves.
    compares : bool
        Whether peers compare versions again and again; if not, a version
        is pushed once and a lost push is never made up for.
    """

    def __init__(
        self, takes_only_later=True, asks_at_start=True, compares=True
    ):
        self.takes_only_later = takes_only_later
        self.asks_at_start = asks_at_start
        self.compares = compares


def put(values, index, value):
    """Return a tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])


def connected(state, one, other):
    """Tell whether two processes can talk."""
    return state.cut not in (one, other)


def look_around(state, process):
    """Return what each process that can be reached has in force."""
    return tuple(
        state.versions[other]
        if other != process and connected(state, process, other)
        else 0
        for other in PROCESSES
    )


def lose_floors(state, process):
    """Let nobody owe what this process had, which is out of reach."""
    floors = tuple(put(floor, process, 0) for floor in state.floors)
    return state._replace(floors=floors)


def learn(state, process, version, design):
    """Return the state after a process was told of a version."""
    own = state.versions[process]
    if design.takes_only_later:
        version = max(own, version)
    if version == own:
        return state
    pushes = state.pushes
    if not design.compares and version > own:
        pushes |= {(process, p) for p in PROCESSES if p != process}
    return state._replace(
        versions=put(state.versions, process, version),
        pushes=pushes,
        went_back=state.went_back or version < own,
    )


def list_faults(state, may_restart):
    """Yield what the environment may do."""
    left = state._replace(faults=state.faults - 1)
    yield from list_platform_faults(left)
    for process in PROCESSES:
        if state.cut == NOBODY:
            after = lose_floors(left._replace(cut=process), process)
            floors = put(after.floors, process, NOTHING)
            yield f"cut {process}", after._replace(floors=floors)
        if may_restart:
            yield f"restart {process}", restart(left, process)
    if state.cut != NOBODY:
        yield "heal", left._replace(cut=NOBODY)


def list_platform_faults(left):
    """Yield what may happen to the platform."""
    if left.published == 1:
        shown = 2 if left.shown == 1 else left.shown
        yield "publish", left._replace(published=2, shown=shown)
        yield "publish, seen late", left._replace(published=2)
    if left.shown != DOWN:
        yield "platform down", left._replace(shown=DOWN)
    if left.shown != left.published:
        yield "platform well", left._replace(shown=left.published)
    if left.shown != 1:
        yield "platform stale", left._replace(shown=1)


def restart(state, process):
    """Return the state after a process began another life."""
    state = state._replace(
        versions=put(state.versions, process, 0),
        serving=put(state.serving, process, False),
        asked=put(state.asked, process, frozenset()),
        pushes=frozenset(p for p in state.pushes if p[0] != process),
    )
    state = lose_floors(state, process)
    floors = put(state.floors, process, look_around(state, process))
    return state._replace(floors=floors)


def list_steps(state, design):
    """Yield what the processes may do."""
    if state.shown != DOWN and state.cut != 0:
        yield "read", learn(state, 0, state.shown, design)
    for process in PROCESSES:
        for other in PROCESSES:
            if process != other:
                yield from list_talks(state, process, other, design)
        if not state.serving[process] and may_open(state, process, design):
            yield f"open {process}", open_gate(state, process)


def list_talks(state, process, other, design):
    """Yield how a process may learn from another."""
    if not state.serving[process] and other not in state.asked[process]:
        asked = put(state.asked, process, state.asked[process] | {other})
        after = state._replace(asked=asked)
        if connected(state, process, other):
            after = learn(after, process, state.versions[other], design)
        yield f"ask {process} {other}", after
    if design.compares:
        if connected(state, process, other):
            version = state.versions[other]
            after = learn(state, process, version, design)
            yield f"compare {process} {other}", after
    elif (other, process) in state.pushes:
        after = state._replace(pushes=state.pushes - {(other, process)})
        if connected(state, process, other):
            after = learn(after, process, state.versions[other], design)
        yield f"push {other} {process}", after


def may_open(state, process, design):
    """Tell whether a starting process may begin to serve."""
    if state.versions[process] == 0:
        return False
    everybody = EVERYBODY - {process}
    return not design.asks_at_start or state.asked[process] == everybody


def open_gate(state, process):
    """Return the state after a process began to serve."""
    is_below = state.versions[process] < max(state.floors[process])
    return state._replace(
        serving=put(state.serving, process, True),
        asked=put(state.asked, process, frozenset()),
        floors=put(state.floors, process, NOTHING),
        served_below=state.served_below or is_below,
    )


def list_transitions(state, design, may_restart=True):
    """Return every labelled successor of a state."""
    state = State(*state)
    steps = list(list_steps(state, design))
    if state.faults:
        steps += list_faults(state, may_restart)
    return [(label, after) for label, after in steps if after != state]


def has_converged(fields):
    """Tell whether all processes that can talk have the same version."""
    versions = {fields["versions"][p] for p in PROCESSES if p != fields["cut"]}
    return len(versions) == 1


def build(design, initial=ALL_STARTING, may_restart=True):
    """Return the protocol for the model checker."""
    return Protocol(
        name="version exchange",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list_transitions(state, design, may_restart),
        invariants={
            "never back": lambda fields: not fields["went_back"],
            "never below": lambda fields: not fields["served_below"],
        },
        goal=has_converged,
    )
