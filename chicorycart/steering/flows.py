"""Cache of the flows that a balancer has seen, with the state of each."""

from asyncio import TimerHandle
from collections import deque
from collections import OrderedDict

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.packets.segment import Segment
from chicorycart.steering.limits import MAX_FLOWS
from chicorycart.steering.members import Member
from chicorycart.steering.opening_hedge import OpeningHedge
from chicorycart.steering.routes import Route
from chicorycart.steering.routes import ServiceLevel

SEQUENCE_RANGE = 1 << 32


class SteeredFlow:
    """State of one flow at a balancer.

    Attributes
    ----------
    flow : bytes
        Five-tuple.
    service : str
        Service that the flow belongs to.
    level : ServiceLevel
        Latency objective, timeout and priority of its route.
    agent : Address or None
        Agent that its packets are sent to; the first of the candidates while
        the owner is searched for.
    is_confirmed : bool
        Whether that agent reported that its host holds the flow.
    has_lost_owner : bool
        Whether a confirmed owner no longer holds the flow, and no other is
        known.
    acknowledged : int or None
        Acknowledgement number of the caller's first packet after the
        opening; shows which host's acceptance the caller took.
    is_open : bool
        Whether the caller has sent more than opening packets.
    first_sequence : int or None
        Sequence number of the opening packet, if this balancer saw it.
    copies : int
        Retransmissions of the opening packet by the caller.
    last_sequence : int or None
        Highest sequence number of the caller's data.
    asked_at : float
        Time at which its packets were last sent to another target.
    arrived_at : float
        Time at which its opening packet first arrived here; while the owner
        is searched for, that of the caller's last packet that is no copy.
    last_active_at : float
        Time of the last packet or message of the flow.
    tried : list of Address
        Agents that the opening packet was offered to.
    may_queue : bool
        Whether the last offer was for a place in the target's queue, since
        its slots were busy.
    declined : list of Member
        Targets whose agents declined the opening packet for their load.
    accepted : dict of int to Address
        Agents whose hosts accepted the flow, by the host's sequence number.
    possible_owners : deque of Address
        Agents that may hold the open flow and were not asked yet, most likely
        first.
    candidates : dict of Address to None
        Agents that its packets are sent to while the owner is searched for:
        those that were asked and did not return the flow, in this order.
    awaited : set of Address
        Candidates of the last group that are expected to answer soon.
    non_owners : set of Address
        Agents that returned the open flow, since their hosts don't hold it.
    timer : TimerHandle or None
        Runs until an offered opening packet has to be answered.
    hedge : OpeningHedge or None
        The first offer of its opening packet, while it may be hedged.
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
        "asked_at",
        "arrived_at",
        "last_active_at",
        "tried",
        "may_queue",
        "declined",
        "accepted",
        "possible_owners",
        "candidates",
        "awaited",
        "non_owners",
        "timer",
        "hedge",
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
        self.asked_at = 0.0
        self.arrived_at = 0.0
        self.last_active_at = 0.0
        self.tried: list[Address] = []
        self.may_queue = False
        self.declined: list[Member] = []
        self.accepted: dict[int, Address] = {}
        self.possible_owners: deque[Address] = deque()
        self.candidates: dict[Address, None] = {}
        self.awaited: set[Address] = set()
        self.non_owners: set[Address] = set()
        self.timer: TimerHandle | None = None
        self.hedge: OpeningHedge | None = None

    def record_owner(self, agent: Address) -> None:
        """Record the agent that reported that its host holds the flow."""
        self.agent = agent
        self.is_confirmed = True
        self.has_lost_owner = False
        self.candidates.clear()
        self.awaited.clear()

    def drop_candidate(self, agent: Address) -> None:
        """Remove an agent whose host does not hold the flow."""
        del self.candidates[agent]
        self.awaited.discard(agent)

    def is_repetition(self, segment: Segment) -> bool:
        """Tell whether the caller seems to have sent a packet before.

        Of several packets in flight, the caller repeats the first one that
        was not acknowledged, so its sequence number is not the latest.
        """
        if self.last_sequence is None or not segment.has_contents:
            return False
        ahead = (segment.sequence - self.last_sequence) % SEQUENCE_RANGE
        return ahead == 0 or ahead > SEQUENCE_RANGE // 2

    def has_acknowledged(self, sequence: int) -> bool:
        """Tell whether the caller acknowledged a host's sequence number."""
        # The acceptance itself may consume one sequence number.
        return self.acknowledged is not None and sequence in (
            self.acknowledged,
            self.acknowledged - 1,
        )

    def record_sequence(self, segment: Segment) -> None:
        """Record the sequence number of a caller's packet, if it is later."""
        if segment.has_contents and not self.is_repetition(segment):
            self.last_sequence = segment.sequence

    def is_possible_owner(self, agent: Address) -> bool:
        """Tell whether an agent was asked and did not return the flow."""
        return agent in self.candidates or (
            agent == self.agent and not self.candidates
        )

    def change_service(self, service: str) -> None:
        """Give a flow that no host has accepted to another service.

        A host of the former one may still accept it; its agent stays known.
        """
        self.service = service
        self.may_queue = False
        self.tried.clear()
        self.declined.clear()
        self.stop_timer()

    def stop_timer(self) -> None:
        """Cancel the timer of an offered opening packet."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class FlowCache:
    """Least-recently-used cache of flow states.

    A flow that is dropped is found again by searching for its owner.

    Parameters
    ----------
    clock : Clock
        Measures idle time.
    limit : int, optional
        Most flows that are kept; the one idle for longest is dropped first.
    """

    __slots__ = ("clock", "limit", "flows")

    def __init__(self, clock: Clock, limit: int = MAX_FLOWS):
        self.clock = clock
        self.limit = limit
        self.flows: OrderedDict[bytes, SteeredFlow] = OrderedDict()

    def __len__(self) -> int:
        return len(self.flows)

    def find(self, flow: bytes) -> SteeredFlow | None:
        """Return the state of a flow, if cached, and mark it as used."""
        state = self.flows.get(flow)
        if state is not None:
            state.last_active_at = self.clock.now()
            self.flows.move_to_end(flow)
        return state

    def add(self, flow: bytes, route: Route) -> SteeredFlow:
        """Add a new flow; replaces an earlier one of the same five-tuple."""
        self.drop(flow)
        state = SteeredFlow(flow, route.choose_service(flow), route.level)
        self.flows[flow] = state
        state.last_active_at = self.clock.now()
        if len(self.flows) > self.limit:
            self.drop(next(iter(self.flows)))
        return state

    def sweep(self, idle_seconds: float) -> None:
        """Drop the flows that have been idle for longer than some seconds."""
        oldest = self.clock.now() - idle_seconds
        while self.flows:
            flow, state = next(iter(self.flows.items()))
            if state.last_active_at >= oldest:
                return
            self.drop(flow)

    def drop(self, flow: bytes) -> None:
        """Drop a flow and cancel its timer."""
        state = self.flows.pop(flow, None)
        if state is not None:
            state.stop_timer()
            if state.hedge is not None:
                state.hedge.stop_timer()
