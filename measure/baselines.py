"""Ways to find a flow's target that ours is compared with under churn."""

from collections.abc import Callable
from typing import Protocol

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.load import FlowLoad
from chicorycart.agent.output import PacketOutput
from chicorycart.balancer.chains import Route
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import Target
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import Packet
from chicorycart.placement.chain import choose_candidates
from chicorycart.placement.choice import LoadChoice
from chicorycart.placement.load import Load
from tests.standins.fleet import AgentNode
from tests.standins.fleet import BalancerNode
from tests.standins.fleet import Fleet
from tests.standins.fleet import SERVICE

Pick = Callable[[Service, int], Target]


class Method(Protocol):
    """Changes balancers and agents after they start."""

    def prepare_balancer(self, node: BalancerNode) -> None:
        """Change what a balancer does."""

    def prepare_agent(self, node: AgentNode) -> None:
        """Change what an agent does."""


def pick_modulo(service: Service, bucket: int) -> Target:
    """Return a target by the hash modulo the number of targets."""
    active = [t for t in service.targets if t.takes_new_work]
    return active[bucket % len(active)]


def pick_first(service: Service, bucket: int) -> Target:
    """Return the first target by rendezvous."""
    return choose_candidates(service, bucket)[0]


class PickedChains:
    """Chains of one target each, by the version in force."""

    __slots__ = ("pick",)

    def __init__(self, pick: Pick):
        self.pick = pick

    def find(self, service: Service, bucket: int) -> Route:
        """Return the route of a bucket."""
        agent = self.pick(service, bucket).agent
        return Route(service.identifier, (pack_address(agent),), agent)

    def clear(self) -> None:
        """Do nothing; nothing is kept."""


class NoSearch:
    """Resets flows that the agent does not own."""

    __slots__ = ("output",)

    def __init__(self, output: PacketOutput):
        self.output = output

    def forward_to_next(self, forward: Forward, packet: Packet) -> None:
        """End the flow."""
        self.output.reset(forward, packet)


class ChainSearch(NoSearch):
    """Sends packets along the chain that the balancer gave, no further."""

    __slots__ = ()

    def forward_to_next(self, forward: Forward, packet: Packet) -> None:
        """Send the packet to the next agent of the chain, or end the flow."""
        if forward.position + 1 >= len(forward.chain):
            self.output.reset(forward, packet)
            return
        forward.position += 1
        agent = forward.chain[forward.position]
        self.output.send_to(forward, packet, agent, "not owner")


class EveryOpening:
    """Accepts every opening flow."""

    __slots__ = ("output",)

    def __init__(self, output: PacketOutput):
        self.output = output

    def place(self, forward: Forward, packet: Packet, source: Address) -> None:
        """Accept the flow."""
        self.output.keep(forward, packet, "accepted")


class PickedTarget:
    """One target a flow, found again from the configuration alone."""

    __slots__ = ("pick",)

    def __init__(self, pick: Pick):
        self.pick = pick

    def prepare_balancer(self, node: BalancerNode) -> None:
        """Let the balancer pick the target."""
        node.chains = PickedChains(self.pick)
        node.forwarder.chains = node.chains

    def prepare_agent(self, node: AgentNode) -> None:
        """Let the agent accept all and seek nobody."""
        delivery = node.ownership.delivery
        delivery.openings = EveryOpening(delivery.output)
        delivery.search = NoSearch(delivery.output)


class Ours:
    """Four candidates by load, owner records and recovery."""

    __slots__ = ("fleet", "loads")

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.loads: dict[int, Load] = {}

    def load_of(self, agent: int) -> Load | None:
        """Return the load that was last heard from an agent."""
        return self.loads.get(agent)

    def beat(self) -> None:
        """Let every agent hear the loads of the others."""
        for node in self.fleet.agents.values():
            load = node.ownership.openings.acceptance.choice.source
            self.loads[node.own] = load.current_load()

    def prepare_balancer(self, node: BalancerNode) -> None:
        """Do nothing."""

    def prepare_agent(self, node: AgentNode) -> None:
        """Let the agent choose by load."""
        ownership = node.ownership
        acceptance = ownership.openings.acceptance
        load = FlowLoad(
            ownership.table, node.store, SERVICE, acceptance.target
        )
        acceptance.choice = LoadChoice(load, self)


class NoRecords(Ours):
    """Four candidates by load, with chains but without owner records."""

    __slots__ = ()

    def prepare_agent(self, node: AgentNode) -> None:
        """Let the agent choose by load and search the chain only."""
        super().prepare_agent(node)
        delivery = node.ownership.delivery
        delivery.search = ChainSearch(delivery.output)
