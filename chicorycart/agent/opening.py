"""Places opening flows so that all their repeats end at one agent."""

from typing import Protocol

from chicorycart.address import Address
from chicorycart.address import unpack_address
from chicorycart.agent.output import PacketOutput
from chicorycart.defaults import MAX_CHOICE_HOPS
from chicorycart.flows.lookups import OwnerLookups
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.records import OwnerRecords
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.settling import Settling
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import Packet
from chicorycart.placement.chain import bucket_of


class Acceptance(Protocol):
    """Decides whether this agent takes an opening flow."""

    def accepts(self, forward: Forward) -> bool:
        """Tell whether to keep the flow rather than pass it on."""

    def choose_peer_agent(self, peer_agents: list[int]) -> int | None:
        """Return the less loaded mate that gets a flow, if there is one."""


class WaitingOpening:
    """An opening packet that waits until the other agents have answered.

    Parameters
    ----------
    placement : OpeningPlacement
        Goes on with the packet.
    forward : Forward
        The message that brought it.
    packet : Packet
        The packet in it.
    """

    __slots__ = ("placement", "forward", "packet")

    def __init__(
        self, placement: "OpeningPlacement", forward: Forward, packet: Packet
    ):
        self.placement = placement
        self.forward = forward
        self.packet = packet

    def handle_owner(self, owner: int) -> None:
        """Send the packet to the owner of its flow."""
        self.placement.place_at(self.forward, self.packet, owner, "claimed")

    def handle_no_owner(self) -> None:
        """Decide on the packet here."""
        self.placement.decide(self.forward, self.packet)

    def give_up(self, reason: str) -> None:
        """Drop the packet; another copy or its repeat goes on."""
        self.placement.output.drop(self.forward, self.packet, reason)


class OpeningPlacement:
    """Places opening flows at one agent.

    Parameters
    ----------
    output : PacketOutput
        Sends the packets.
    service_agents : ServiceAgents
        The agents of the service.
    records : OwnerRecords
        Owners of displaced flows.
    memory : OpeningMemory
        Flows that were placed elsewhere.
    owner_lookups : OwnerLookups
        Asks the other agents.
    settling : Settling
        Tells whether this agent may rely on what it knows.
    acceptance : Acceptance
        Decides on flows that nobody owns.
    """

    __slots__ = (
        "output",
        "service_agents",
        "records",
        "memory",
        "owner_lookups",
        "settling",
        "acceptance",
    )

    def __init__(
        self,
        output: PacketOutput,
        service_agents: ServiceAgents,
        records: OwnerRecords,
        memory: OpeningMemory,
        owner_lookups: OwnerLookups,
        settling: Settling,
        acceptance: Acceptance,
    ):
        self.output = output
        self.service_agents = service_agents
        self.records = records
        self.memory = memory
        self.owner_lookups = owner_lookups
        self.settling = settling
        self.acceptance = acceptance

    def place(self, forward: Forward, packet: Packet, source: Address) -> None:
        """Place a packet whose flow this agent does not own.

        Parameters
        ----------
        forward : Forward
            The message that brought it.
        packet : Packet
            The packet in it.
        source : Address
            Who sent the message.
        """
        is_pending = self.owner_lookups.is_pending(packet.flow)
        if is_pending and not forward.placed:
            self.output.drop(forward, packet, "waits already")
            return
        if is_pending:
            self.owner_lookups.abandon(packet.flow)
        placed_at = self.memory.recall(packet.flow)
        if self.can_follow(placed_at, forward, source):
            self.place_at(forward, packet, placed_at, "placed before")
        elif forward.placed:
            self.take(forward, packet)
        elif self.may_decide_alone(packet):
            self.decide(forward, packet)
        else:
            self.ask(forward, packet)

    def can_follow(
        self, agent: int | None, forward: Forward, source: Address
    ) -> bool:
        """Tell whether a packet goes where its flow was placed before.

        It does not if that agent itself places the flow here.
        """
        if agent is None or not self.service_agents.can_receive(agent):
            return False
        is_placer = unpack_address(agent).host == source.host
        return not (forward.placed and is_placer)

    def may_decide_alone(self, packet: Packet) -> bool:
        """Tell whether no other agent can have accepted the flow.

        So it is for a TCP opening at the first candidate, if it was that for
        the time of a handshake and nobody asked for this flow: any other
        agent asks this one before it accepts.
        """
        bucket = bucket_of(hash_flow(packet.flow))
        return (
            packet.is_opening
            and self.service_agents.candidates(bucket)[:1]
            == [self.service_agents.own]
            and self.settling.is_established()
            and not self.memory.list_requesters(packet.flow)
            and not self.records.owners_of(bucket)
        )

    def ask(self, forward: Forward, packet: Packet) -> None:
        """Let the packet wait until other agents said whether they own it."""
        agents = self.list_possible_owners(forward, packet)
        if not agents:
            self.decide(forward, packet)
        elif self.owner_lookups.is_full():
            self.output.drop(forward, packet, "too many openings")
        else:
            waiting = WaitingOpening(self, forward, packet)
            self.owner_lookups.ask(packet.flow, agents, waiting)
            self.output.record(forward, packet, "wait", "asks for the owner")

    def list_possible_owners(
        self, forward: Forward, packet: Packet
    ) -> list[int]:
        """Return the other agents that may have accepted the flow."""
        bucket = bucket_of(hash_flow(packet.flow))
        agents = [*forward.chain, *self.service_agents.chain(bucket)]
        requesters = self.memory.list_requesters(packet.flow)
        agents += requesters
        agents += self.records.owners_of(bucket)
        if requesters or not self.settling.is_settled():
            agents += self.service_agents.list_others()
        return [
            agent
            for agent in dict.fromkeys(agents)
            if agent != self.service_agents.own
            and self.service_agents.can_receive(agent)
        ]

    def take(self, forward: Forward, packet: Packet) -> None:
        """Take a flow that another agent placed here.

        The other agent may have placed it by an old load, so it can go on
        once more, but never back.
        """
        is_active = self.service_agents.is_active(self.service_agents.own)
        if not (is_active and self.acceptance.accepts(forward)):
            self.decide(forward, packet)
        elif forward.hops > MAX_CHOICE_HOPS:
            self.accept(forward, packet, "placed here")
        else:
            others = self.list_receiving(self.list_candidates(packet))
            placer = forward.chain[forward.position]
            rest = [agent for agent in others if agent != placer]
            self.settle(forward, packet, rest, "placed here")

    def decide(self, forward: Forward, packet: Packet) -> None:
        """Accept a flow that nobody owns, or place it elsewhere."""
        candidates = self.list_candidates(packet)
        others = self.list_receiving(candidates)
        if self.is_candidate(forward, candidates) and self.accepts(forward):
            self.settle(forward, packet, others, "accepted")
        elif others:
            peer_agent = self.acceptance.choose_peer_agent(others) or others[0]
            self.place_at(forward, packet, peer_agent, "not accepted")
        else:
            self.accept(forward, packet, "last of chain")

    def settle(
        self, forward: Forward, packet: Packet, others: list[int], reason: str
    ) -> None:
        """Accept a flow unless a less loaded mate should have it."""
        peer_agent = self.acceptance.choose_peer_agent(others)
        if peer_agent is None:
            self.accept(forward, packet, reason)
        else:
            self.place_at(forward, packet, peer_agent, "less loaded")

    def list_candidates(self, packet: Packet) -> list[int]:
        """Return the agents that may accept the flow of the packet."""
        return self.service_agents.candidates(
            bucket_of(hash_flow(packet.flow))
        )

    def list_receiving(self, candidates: list[int]) -> list[int]:
        """Return the other candidates that a flow may be placed at.

        If no target takes new work, a candidate does not pass it on.
        """
        is_own_turn = self.service_agents.own in candidates
        return [
            agent
            for agent in candidates
            if agent != self.service_agents.own
            and self.service_agents.can_receive(agent)
            and (self.service_agents.is_active(agent) or not is_own_turn)
        ]

    def is_candidate(self, forward: Forward, candidates: list[int]) -> bool:
        """Tell whether flows of the bucket may be accepted here."""
        if forward.version > self.service_agents.version:
            return True
        return self.service_agents.own in candidates

    def accepts(self, forward: Forward) -> bool:
        """Tell whether this agent wants the flow."""
        if self.output.table.is_full():
            return False
        return self.acceptance.accepts(forward)

    def accept(self, forward: Forward, packet: Packet, reason: str) -> None:
        """Own the flow, if there is room for it."""
        if self.output.table.is_full():
            self.output.drop(forward, packet, "flow table full")
        else:
            self.output.keep(forward, packet, reason)
            self.owner_lookups.announce(packet.flow)

    def place_at(
        self, forward: Forward, packet: Packet, agent: int, reason: str
    ) -> None:
        """Send the packet to the agent that is to own its flow."""
        self.memory.remember(packet.flow, agent)
        forward.placed = True
        self.output.send_to(forward, packet, agent, reason)
