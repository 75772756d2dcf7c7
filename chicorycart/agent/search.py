"""Seeks the owner of a flow that is open but not this agent's."""

from collections.abc import Iterable
from random import Random

from chicorycart.agent.output import PacketOutput
from chicorycart.agent.recovery import FlowRecovery
from chicorycart.defaults import MAX_SEARCH_LENGTH
from chicorycart.flows.openings import OpeningMemory
from chicorycart.flows.records import OwnerRecords
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.flows.settling import Settling
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import Packet
from chicorycart.placement.chain import bucket_of


class OwnerSearch:
    """Passes packets along the chain and to the recorded owners.

    The first agent of a chain sends packets straight to where it placed
    their flow, for as long as they keep coming. If it has forgotten, or the
    flow is not there, they go along the chain.

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
    hints : OpeningMemory
        Where packets of open flows were sent before.
    settling : Settling
        Tells how to end a search that found nobody.
    recovery : FlowRecovery
        Tells whether the own flows of before a start are known.
    random : Random
        Shuffles the recorded owners, so that a dead one among them does
        not stop every resend of a packet.
    """

    __slots__ = (
        "output",
        "service_agents",
        "records",
        "memory",
        "hints",
        "settling",
        "recovery",
        "random",
    )

    def __init__(
        self,
        output: PacketOutput,
        service_agents: ServiceAgents,
        records: OwnerRecords,
        memory: OpeningMemory,
        hints: OpeningMemory,
        settling: Settling,
        recovery: FlowRecovery,
        random: Random,
    ):
        self.output = output
        self.service_agents = service_agents
        self.records = records
        self.memory = memory
        self.hints = hints
        self.settling = settling
        self.recovery = recovery
        self.random = random

    def forward_to_next(self, forward: Forward, packet: Packet) -> None:
        """Send the packet to the next agent that may own its flow."""
        agent = self.recall(forward, packet)
        if agent is not None:
            self.output.send_to(forward, packet, agent, "placed there")
            return
        bucket = bucket_of(hash_flow(packet.flow))
        self.extend(forward, self.list_recorded(forward, bucket))
        if not self.has_next(forward):
            self.extend(forward, self.service_agents.chain(bucket))
        if not self.is_settled(forward):
            forward.unsettled = True
        if not self.has_next(forward) and forward.unsettled:
            self.extend(forward, self.service_agents.list_others())
        self.put_suspected_last(forward)
        if self.has_next(forward):
            forward.position = self.find_next(forward)
            agent = forward.chain[forward.position]
            self.output.send_to(forward, packet, agent, "not owner")
        else:
            self.end(forward, packet)

    def recall(self, forward: Forward, packet: Packet) -> int | None:
        """Return where the flow of a packet from a balancer was placed.

        The position stays as it is, so that an agent that does not own the
        flow goes on along the whole chain.
        """
        if forward.hops > 1:
            return None
        flow = packet.flow
        agent = self.hints.recall(flow) or self.memory.recall(flow)
        if agent is None or not self.service_agents.can_receive(agent):
            return None
        self.hints.remember(flow, agent)
        return agent

    def end(self, forward: Forward, packet: Packet) -> None:
        """Give up the search.

        While versions and records may still be on their way to an agent
        that had the packet, it is dropped: its repeat may find the owner.
        So it is if there was no room for all agents that may own the flow,
        and while any agent of the service is suspected: it may own the
        flow on the other side of a partition, where balancers reach it.
        """
        if forward.unsettled and len(forward.chain) >= MAX_SEARCH_LENGTH:
            self.output.drop(forward, packet, "search cut")
        elif forward.unsettled:
            self.output.drop(forward, packet, "no owner yet")
        elif self.service_agents.has_suspected_agents():
            self.output.drop(forward, packet, "owner may be cut off")
        else:
            self.output.reset(forward, packet)

    def is_settled(self, forward: Forward) -> bool:
        """Tell whether this agent would know the owner if there were one."""
        if forward.version > self.service_agents.version:
            return False
        if not (self.recovery.is_done and self.records.is_complete()):
            return False
        return self.settling.is_settled()

    def list_recorded(self, forward: Forward, bucket: int) -> list[int]:
        """Return the recorded owners of the bucket in random order.

        If they leave no room for the candidates, these are mixed in, so
        that repeats of the packet reach all of them.
        """
        owners = self.records.owners_of(bucket)
        if len(forward.chain) + len(owners) >= MAX_SEARCH_LENGTH:
            owners += self.service_agents.chain(bucket)
        self.random.shuffle(owners)
        return owners

    def extend(self, forward: Forward, agents: Iterable[int]) -> None:
        """Add agents to the chain, each once and not this one.

        If there is no room for all, the search cannot tell that the flow
        has no owner.
        """
        for agent in agents:
            if agent == self.service_agents.own or agent in forward.chain:
                continue
            if len(forward.chain) >= MAX_SEARCH_LENGTH:
                forward.unsettled = True
                return
            forward.chain.append(agent)

    def put_suspected_last(self, forward: Forward) -> None:
        """Offer the packet to suspected agents after all others.

        One that is dead would swallow it.
        """
        begin = forward.position + 1
        forward.chain[begin:] = sorted(
            forward.chain[begin:], key=self.service_agents.is_suspected
        )

    def has_next(self, forward: Forward) -> bool:
        """Tell whether the chain goes on."""
        return self.find_next(forward) < len(forward.chain)

    def find_next(self, forward: Forward) -> int:
        """Return the next position of an agent that is known.

        Others are passed over: a chain that names them was forged, is newer
        than what this agent knows, or names a removed agent that may still
        own the flow.
        """
        for position in range(forward.position + 1, len(forward.chain)):
            agent = forward.chain[position]
            if agent == self.service_agents.own:
                continue
            if self.service_agents.is_known(agent):
                return position
            forward.unsettled = True
            self.output.count("unknown agent")
        return len(forward.chain)
