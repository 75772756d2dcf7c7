"""Model of the search for flows that earlier versions of a route opened.

One balancer opens flows of an entry by the version that it has in force, at
most LAG_SECONDS after the store replaced it. Another balancer, which reads the
newest version from time to time, loses sight of the store and restarts, gets a
packet of such a flow. Each service has one host, and all but the owner return
the packet, unless an answer is lost. The search is not modelled: the classes
that balancers run are called, on the readings of the state.
"""

from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from chicorycart.address import Address
from chicorycart.operation.events import EventLog
from chicorycart.packets.segment import Segment
from chicorycart.steering.candidates import CandidateChoice
from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.cold import ColdTargets
from chicorycart.steering.directory import Directory
from chicorycart.steering.entry_services import find_service
from chicorycart.steering.flows import FlowCache
from chicorycart.steering.follow import StoreFollower
from chicorycart.steering.health import HealthTable
from chicorycart.steering.published import Changes
from chicorycart.steering.published import ListedState
from chicorycart.steering.published import Listing
from chicorycart.steering.published import ListingChange
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import RoutesInForce
from chicorycart.steering.routes import RouteTable
from chicorycart.steering.settings import Bounds

SERVICES = ("dispatch", "catalogue")
SPLITS = (
    (("dispatch", 1.0),),
    (("catalogue", 1.0),),
    (("dispatch", 1.0), ("catalogue", 0.0)),
)
ENTRY = bytes((198, 18, 0, 1, 1, 187))
FLOW = bytes((6, 100, 64, 0, 7, 4, 0)) + ENTRY
DOMAIN = "riga-a"
LINK_PORT = 7720
HOST_PORT = 8165
TTL_SECONDS = 60
STEP_SECONDS = 20
LAG_SECONDS = 20
MAX_GROUPS = 10


@dataclass(frozen=True)
class Rules:
    """Bounds of the model, and the parts of the rule that are in use.

    Attributes
    ----------
    seconds, versions, restarts, outages, losses : int
        Largest time, number of versions, restarts and outages, and of hosts
        whose answers are lost.
    life : int
        Seconds after its opening for which a flow lives.
    remembers : bool
        Whether services that left the route are remembered.
    sees_gaps : bool
        Whether a version that was not read makes a difference.
    knows_age : bool
        Whether the balancer takes into account how long it has followed.
    is_configured : bool
        Whether every version names all services, with a route or without.
    """

    seconds: int = 100
    versions: int = 3
    restarts: int = 1
    outages: int = 0
    losses: int = 0
    life: int = 40
    remembers: bool = True
    sees_gaps: bool = True
    knows_age: bool = True
    is_configured: bool = False


class State(NamedTuple):
    """State of the model.

    Versions are numbers of splits. A reading is its time and the number of
    versions that had been published. The flow is its service and the time of
    its opening.
    """

    now: int = 0
    versions: tuple = (0,)
    replaced_at: tuple = ()
    opener: int = 1
    flow: tuple = ()
    readings: tuple = ((0, 1),)
    is_cut: bool = False
    returned_at: int = 0
    restarts: int = 0
    outages: int = 0
    silent: tuple = ()


class ManualClock:
    """A clock that the model sets."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        """Return the time that was set."""
        return self.time


def read(state):
    """Return the state after the searching balancer reads the store."""
    readings = state.readings
    if not readings or readings[-1][1] < len(state.versions):
        readings = (*readings, (state.now, len(state.versions)))
    return state._replace(readings=readings)


def pass_time(rules, state):
    """Return the state after a step of time; None if the opener is late."""
    now = state.now + STEP_SECONDS
    behind = state.opener < len(state.versions)
    if now > rules.seconds or (
        behind and now - state.replaced_at[state.opener - 1] > LAG_SECONDS
    ):
        return None
    is_alive = state.flow and now - state.flow[1] <= rules.life
    return state._replace(now=now, flow=state.flow if is_alive else ())


def list_steps(rules, state):
    """Return every possible next step with its name."""
    steps = []
    later = pass_time(rules, state)
    if later is not None:
        steps.append(("time", later))
    if len(state.versions) < rules.versions:
        steps += [
            (
                f"version {SPLITS[number]}",
                state._replace(
                    versions=(*state.versions, number),
                    replaced_at=(*state.replaced_at, state.now),
                ),
            )
            for number in range(len(SPLITS))
            if number != state.versions[-1]
        ]
    if state.opener < len(state.versions):
        steps.append(
            ("the opener reads", state._replace(opener=len(state.versions)))
        )
    if not state.flow:
        split = SPLITS[state.versions[state.opener - 1]]
        steps += [
            (f"a flow opens at {name}", state._replace(flow=(name, state.now)))
            for name, weight in split
            if weight
        ]
    if len(state.silent) < rules.losses:
        steps += [
            (f"answers of {name} are lost", state._replace(silent=(name,)))
            for name in SERVICES
        ]
    return steps + list_reader_steps(rules, state)


def list_reader_steps(rules, state):
    """Return the next steps of the balancer that searches."""
    if state.is_cut:
        back = state._replace(is_cut=False, returned_at=state.now)
        return [("the store is back", read(back))]
    steps = []
    if state.readings[-1][1] < len(state.versions):
        steps.append(("the searcher reads", read(state)))
    if state.outages < rules.outages:
        cut = state._replace(is_cut=True, outages=state.outages + 1)
        steps.append(("the store is out of reach", cut))
    if state.restarts < rules.restarts:
        restarted = state._replace(
            readings=(), returned_at=state.now, restarts=state.restarts + 1
        )
        steps.append(("the searcher restarts", read(restarted)))
    return steps


def build_follower(rules, clock, versions, readings):
    """Return a follower that has read these versions at these times."""
    directory = Directory(clock, LINK_PORT, TTL_SECONDS)
    follower = StoreFollower(None, directory, RoutesInForce(), None, clock)
    for at, number in readings:
        clock.time = float(at)
        split = SPLITS[versions[number - 1]]
        named = SERVICES if rules.is_configured else ()
        routes = RouteTable(number, [Route(ENTRY, split)], services=named)
        follower.activate_routes(Changes(1, number, [], routes))
        if not rules.remembers:
            follower.services.former.clear()
    if not rules.sees_gaps:
        follower.services.gap_at = float(readings[0][0])
    if not rules.knows_age:
        follower.services.gap_at = -float(TTL_SECONDS + 1)
        follower.reachable_since = -float(TTL_SECONDS + 1)
    for number, service in enumerate(SERVICES):
        name = f"host-{number}"
        address = Address(f"10.2.0.{number + 1}", HOST_PORT)
        listing = Listing(
            name, service, address, DOMAIN, 2, ListedState.READY, 1, 0.0
        )
        directory.apply(ListingChange(name, 1, listing))
    return follower


@cache
def find_asked(rules, versions, readings, returned_at, now, silent=()):
    """Return the services whose hosts a flow was offered to in vain.

    Returns
    -------
    frozenset of str or None
        None if the flow is not given up, since an answer is lost. The owner
        returns nothing, so a flow whose owner is among them is found.
    """
    clock = ManualClock()
    follower = build_follower(rules, clock, versions, readings)
    if rules.knows_age:
        follower.reachable_since = float(returned_at)
    clock.time = float(now)
    health = HealthTable(clock, EventLog("model", clock))
    bounds = Bounds(3.0, 3.0, 6.0, 60.0)
    directory = follower.directory
    events = EventLog("model", clock)
    cold = ColdTargets(clock, directory, follower.routes, bounds, events)
    choice = TargetChoice(directory, health, DOMAIN, cold)
    candidates = CandidateChoice(choice, health, follower)
    route = follower.routes.current.by_entry[ENTRY]
    state = FlowCache(clock).add(FLOW, route)
    segment = Segment(
        b"", FLOW, ENTRY, False, False, False, False, False, 1, 1, 1
    )
    asked = set()
    for _ in range(MAX_GROUPS):
        for agent in candidates.add(state, segment):
            service = find_service(follower.directory, agent)
            if service not in silent:
                asked.add(service)
                state.non_owners.add(agent)
                state.drop_candidate(agent)
    assert not candidates.has_unasked(state, ENTRY)
    return None if state.candidates else frozenset(asked)


def resets_no_live_flow(rules, state):
    """Tell whether a flow is found, or is not decided on yet.

    It is decided on only while the balancer is known to have read all changes.
    """
    is_undecided = state.is_cut or state.readings[-1][1] < len(state.versions)
    if not state.flow or is_undecided:
        return True
    numbers = [number for _, number in state.readings]
    versions = tuple(
        split if number in numbers else 0
        for number, split in enumerate(state.versions, 1)
    )
    asked = find_asked(
        rules,
        versions,
        state.readings,
        state.returned_at,
        state.now,
        state.silent,
    )
    return asked is None or state.flow[0] in asked


def asks_all_services(rules, state):
    """Tell whether a balancer asks the hosts of all services."""
    return state.is_cut or find_asked(
        rules, state.versions, state.readings, state.returned_at, state.now
    ) == set(SERVICES)


def build_model(rules):
    """Return the model for the checker."""
    return Protocol(
        name="services of an entry",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list_steps(rules, State(*state)),
        invariants={
            "no live flow is reset": lambda fields: resets_no_live_flow(
                rules, State(**fields)
            ),
        },
    )


def build_vacuity_model(rules):
    """Return a model that fails if a balancer asks some services only.

    It shows that flows are not found only since all hosts are always asked.
    """
    model = build_model(rules)
    model.invariants = {
        "all services asked": lambda fields: asks_all_services(
            rules, State(**fields)
        )
    }
    return model
