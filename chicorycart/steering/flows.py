"""The flows that a balancer remembers, and what it knows of each."""

from asyncio import TimerHandle
from collections import OrderedDict

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.steering.directory import Member
from chicorycart.steering.limits import MAX_FLOWS
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import ServiceLevel


class SteeredFlow:
    """What a balancer knows of one flow.

    Attributes
    ----------
    flow : bytes
        Five-tuple.
    service : str
        Service that the flow belongs to.
    level : ServiceLevel
        What its route promises callers.
    agent : Address or None
        Where its packets are sent.
    is_confirmed : bool
        Whether the agent there reported that its host holds the flow.
    has_lost_owner : bool
        Whether the agent that reported so gave it back later.
    acknowledged : int or None
        What the caller's first packet after the opening acknowledged; it
        tells which host's acceptance the caller took.
    is_open : bool
        Whether the caller has sent more than opening packets.
    first_sequence : int or None
        Sequence number of the opening packet, if it was seen.
    copies : int
        Copies of the opening packet that the caller has sent.
    last_sequence : int or None
        Sequence number of the caller's last data.
    offered_at : float
        Time of the first offer of its opening packet.
    last_active_at : float
        Time of the last packet or word of the flow.
    tried : list of Address
        Agents that an opening packet was offered to.
    may_queue : bool
        Whether the last offer was for a place behind busy slots.
    declined : list of Member
        Targets whose agents declined it because of their load.
    accepted : dict of int to Address
        Agents whose hosts accepted it, by the host's sequence number.
    possible_owners : list of Address
        Agents that may hold the open flow, likely ones first.
    candidates : list of Address
        Those of them that its packets are sent to while the owner is sought.
    first_candidates : list of Address
        The first of those that were asked each time.
    non_owners : list of Address
        Agents whose hosts do not hold the open flow.
    unresponsive : list of Address
        Agents that the open flow was sent to without any sign of it.
    timer : TimerHandle or None
        Waits for word of an opening packet.
    """

    __slots__ = (
        "flow",
        "service",
        "level",
        "agent",
        "is_confirmed",
        "has_lost_owner",
        "acknowledged",
        "is_open",
        "first_sequence",
        "copies",
        "last_sequence",
        "offered_at",
        "last_active_at",
        "tried",
        "may_queue",
        "declined",
        "accepted",
        "possible_owners",
        "candidates",
        "first_candidates",
        "non_owners",
        "unresponsive",
        "timer",
    )

    def __init__(self, flow: bytes, service: str, level: ServiceLevel):
        self.flow = flow
        self.service = service
        self.level = level
        self.agent: Address | None = None
        self.is_confirmed = False
        self.has_lost_owner = False
        self.acknowledged: int | None = None
        self.is_open = False
        self.first_sequence: int | None = None
        self.copies = 0
        self.last_sequence: int | None = None
        self.offered_at = 0.0
        self.last_active_at = 0.0
        self.tried: list[Address] = []
        self.may_queue = False
        self.declined: list[Member] = []
        self.accepted: dict[int, Address] = {}
        self.possible_owners: list[Address] = []
        self.candidates: list[Address] = []
        self.first_candidates: list[Address] = []
        self.non_owners: list[Address] = []
        self.unresponsive: list[Address] = []
        self.timer: TimerHandle | None = None

    def record_owner(self, agent: Address) -> None:
        """Send the packets to an agent that reported to hold the flow."""
        self.agent = agent
        self.is_confirmed = True
        self.candidates.clear()

    def stop_timer(self) -> None:
        """Wait no longer for word of an opening packet."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class FlowCache:
    """The flows seen last; correctness needs none of them.

    Parameters
    ----------
    clock : Clock
        Measures silence.
    limit : int, optional
        Flows that are kept; the one silent for longest goes first.
    """

    __slots__ = ("clock", "limit", "flows")

    def __init__(self, clock: Clock, limit: int = MAX_FLOWS):
        self.clock = clock
        self.limit = limit
        self.flows: OrderedDict[bytes, SteeredFlow] = OrderedDict()

    def __len__(self) -> int:
        return len(self.flows)

    def find(self, flow: bytes) -> SteeredFlow | None:
        """Return a flow that is remembered, and mark it as used."""
        state = self.flows.get(flow)
        if state is not None:
            state.last_active_at = self.clock.now()
            self.flows.move_to_end(flow)
        return state

    def add(self, flow: bytes, route: Route) -> SteeredFlow:
        """Remember a new flow in place of an earlier one of its name."""
        self.drop(flow)
        state = SteeredFlow(flow, route.choose(flow), route.level)
        self.flows[flow] = state
        state.last_active_at = self.clock.now()
        if len(self.flows) > self.limit:
            self.drop(next(iter(self.flows)))
        return state

    def sweep(self, idle_seconds: float) -> None:
        """Forget the flows that were silent for longer than some seconds."""
        oldest = self.clock.now() - idle_seconds
        while self.flows:
            flow, state = next(iter(self.flows.items()))
            if state.last_active_at >= oldest:
                return
            self.drop(flow)

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        state = self.flows.pop(flow, None)
        if state is not None:
            state.stop_timer()
