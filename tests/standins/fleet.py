"""Balancers, agents and kernels of one service in one process.

The parts are the real ones; the network, the kernels and the clock are not.
"""

from asyncio import create_task
from asyncio import sleep
from collections import Counter
from random import Random
from socket import inet_aton
from socket import inet_ntoa

import dpkt
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.agent.acceptance import TargetAcceptance
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.balancer.forwarding import ChainCache
from chicorycart.balancer.forwarding import Forwarder
from chicorycart.clock import LoopClock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.operation.decisions import DecisionLog
from tests.standins.host import Host
from tests.standins.segments import Connection
from tests.standins.wire import MemoryWire

ENTRY = Address("203.0.113.1", 80)
SERVICE = "dispatch"
TCP = 6
NO_LOG = DecisionLog(0.0)
PING_SECONDS = 20.0


class Requests:
    """What runs on a host: counts each line and answers it."""

    def __init__(self, host):
        self.host = host
        self.connection = None
        self.read = b""

    def handle_data(self, data):
        """Take bytes in order."""
        self.read += data
        *lines, self.read = self.read.split(b"\n")
        for line in lines:
            self.host.runs[line.decode()] += 1
            self.connection.write(line + b"\n")

    def handle_end(self):
        """Take the end of the other side."""
        self.connection.end()

    def handle_reset(self):
        """Take a reset."""
        pass

    def count_unread(self):
        """Return 0; everything is read at once."""
        return 0


def pack_end(end):
    """Return one end of a flow as it stands in a five-tuple."""
    return inet_aton(end.host) + end.port.to_bytes(2, "big")


class MemoryHost(Host):
    """The kernel of a target's instance and the target itself."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = fleet.random
        self.connections = {}
        self.runs = Counter()
        self.datagrams = Counter()
        self.resets = 0

    def list_flows(self, entry_key):
        """Return the flows of the connections that are open."""
        return [
            b"\x06" + pack_end(caller) + pack_end(entry)
            for (caller, entry), connection in self.connections.items()
            if not connection.closed
        ]

    def deliver(self, packet):
        """Take a packet from the agent."""
        ip = dpkt.ip.IP(packet)
        if ip.p == dpkt.ip.IP_PROTO_UDP:
            self.datagrams[inet_ntoa(ip.src), ip.data.sport] += 1
        else:
            self.handle_datagram(packet, None)

    def carry(self, packet):
        """Send a packet of an answer."""
        self.fleet.answer(packet)

    def accept(self, caller, entry):
        """Begin a connection that ends in this process."""
        application = Requests(self)
        connection = Connection(entry, caller, self, application, self.random)
        application.connection = connection
        self.connections[caller, entry] = connection
        return connection


class Caller:
    """A caller's end of a connection.

    Attributes
    ----------
    route : list of str
        Balancers that its packets go through in turn.
    """

    def __init__(self, fleet, port, route):
        self.fleet = fleet
        self.route = route
        self.sent_packets = 0
        self.first_packet = b""
        self.asked = []
        self.answers = b""
        self.was_reset = False
        self.loses_answers = False
        self.is_silent = False
        self.address = Address("198.18.0.1", port)
        self.connection = Connection(
            self.address, ENTRY, self, self, fleet.random
        )

    def ask(self):
        """Send a line that no other caller sends."""
        line = f"{self.address.port}-{len(self.asked)}"
        self.asked.append(line)
        self.connection.write(line.encode() + b"\n")

    def carry(self, packet):
        """Send a packet through the next balancer of the route."""
        self.first_packet = self.first_packet or packet
        if self.is_silent:
            return
        route = self.route or list(self.fleet.balancers)
        name = route[self.sent_packets % len(route)]
        self.sent_packets += 1
        self.fleet.balancers[name].forwarder.handle_datagram(
            packet, self.address
        )

    def handle_data(self, data):
        """Take bytes in order."""
        self.answers += data

    def handle_end(self):
        """Take the end of the other side."""
        pass

    def handle_reset(self):
        """Take a reset."""
        self.was_reset = True

    def count_unread(self):
        """Return 0; everything is read at once."""
        return 0


class Suspects:
    """Suspicions that a scenario sets."""

    def __init__(self):
        self.names = set()

    def is_suspected(self, target):
        """Tell whether the target is among the names."""
        return target.name in self.names

    def is_lapsed(self, agent):
        """Tell whether the target of the agent is among the names."""
        number = unpack_address(agent).host.rpartition(".")[2]
        return f"t-{number}" in self.names

    def has_lapsed_agents(self):
        """Tell whether any target is among the names."""
        return bool(self.names)


class Node:
    """A daemon with its own view of the configuration."""

    def __init__(self, fleet, address):
        self.store = ConfigurationStore(LoopClock())
        self.address = address
        self.link = fleet.wire.connect(address)
        if fleet.versions:
            self.store.put_in_force(fleet.versions[-1])


class BalancerNode(Node):
    """A balancer."""

    def __init__(self, fleet, number):
        super().__init__(fleet, Address(f"192.0.2.{100 + number}", 7001))
        self.suspects = Suspects()
        self.chains = ChainCache(self.store, self.suspects)
        self.forwarder = Forwarder(
            self.store, self.chains, self.link, NO_LOG, CollectorRegistry()
        )

    def suspect(self, number):
        """Suspect the agent from now on."""
        self.suspects.names.add(f"t-{number}")
        self.chains.clear()


class AgentNode(Node):
    """An agent beside its host; the host outlives it."""

    def __init__(self, fleet, number, host, incarnation):
        super().__init__(fleet, Address(f"192.0.2.{number}", 7001))
        self.host = host
        self.incarnation = incarnation
        self.own = pack_address(self.address)
        clock = LoopClock()
        self.registry = CollectorRegistry()
        self.ownership = FlowOwnership(
            ServiceAgents(self.store, SERVICE, self.own, clock),
            host,
            host,
            TargetAcceptance(self.store, SERVICE, f"t-{number}"),
            self.link,
            incarnation,
            clock,
            Random(number),
            NO_LOG,
            self.registry,
        )
        for kind, receiver in self.ownership.list_receivers().items():
            self.link.register(kind, receiver)
        self.task = create_task(self.ownership.run())

    def count(self, outcome):
        """Return the packets with this outcome."""
        labels = {"outcome": outcome}
        name = "chicorycart_agent_packets_total"
        return self.registry.get_sample_value(name, labels) or 0


class Fleet:
    """Everything of one service."""

    def __init__(self, kind=ServiceKind.HTTP, seed=1, protocol=TCP):
        self.kind = kind
        self.protocol = protocol
        self.random = Random(seed)
        self.wire = MemoryWire(Random(seed))
        self.versions = []
        self.balancers = {}
        self.agents = {}
        self.callers = {}
        self.states = {}

    def start(self, agents, balancers):
        """Start so many agents, all of them active, and balancers."""
        for number in range(1, agents + 1):
            self.states[number] = TargetState.ACTIVE
        self.publish()
        for number in range(1, agents + 1):
            self.start_agent(number)
        for number in range(1, balancers + 1):
            self.balancers[f"b-{number}"] = BalancerNode(self, number)

    def start_agent(self, number):
        """Start an agent, or start it again with an empty memory."""
        before = self.agents.get(number)
        if before is not None:
            before.task.cancel()
        host = before.host if before else MemoryHost(self)
        incarnation = before.incarnation + 1 if before else 1
        self.agents[number] = AgentNode(self, number, host, incarnation)

    def publish(self):
        """Make a new version out of the states of the targets."""
        targets = tuple(
            Target(
                f"t-{number}", Address(f"192.0.2.{number}", 7001), "a", 1.0,
                2, state,
            )
            for number, state in sorted(self.states.items())
        )  # fmt: skip
        entry = Entry(ENTRY, self.protocol)
        service = Service(SERVICE, entry, self.kind, targets)
        version = len(self.versions) + 1
        self.versions.append(Configuration(version, {SERVICE: service}))

    def list_nodes(self):
        """Return every daemon."""
        return [*self.balancers.values(), *self.agents.values()]

    def put_in_force(self, nodes=None):
        """Give the newest version to the nodes, or to all."""
        for node in self.list_nodes() if nodes is None else nodes:
            node.store.put_in_force(self.versions[-1])

    def call(self, port, route=(), opens=True):
        """Return a new caller, which opens its connection."""
        caller = Caller(self, port, list(route))
        self.callers[port] = caller
        if opens:
            caller.connection.open()
        return caller

    def answer(self, packet):
        """Carry a packet of a host's answer to its caller."""
        ip = dpkt.ip.IP(packet)
        caller = self.callers.get(ip.data.dport)
        if caller is not None and not caller.loses_answers:
            caller.connection.handle_segment(ip.data)

    def find_owners(self, port):
        """Return the numbers of the hosts that know the connection."""
        key = self.callers[port].address, ENTRY
        return [
            number
            for number, agent in self.agents.items()
            if key in agent.host.connections
        ]

    def count_runs(self, line):
        """Return how often a request ran, over all hosts."""
        return sum(agent.host.runs[line] for agent in self.agents.values())

    async def keep_feed(self, caller, seconds):
        """Let the caller ask for more at intervals."""
        for _ in range(int(seconds / PING_SECONDS)):
            caller.ask()
            await sleep(PING_SECONDS)

    def pause(self, number):
        """Stop an agent's process in mid-air."""
        agent = self.agents[number]
        self.wire.paused[agent.address] = []
        agent.task.cancel()

    def wake(self, number):
        """Let a paused process go on, late."""
        agent = self.agents[number]
        for datagram in self.wire.paused.pop(agent.address):
            self.wire.arrive(*datagram)
        agent.task = create_task(agent.ownership.run())

    def close(self):
        """Stop every task and timer."""
        for agent in self.agents.values():
            agent.task.cancel()
        for caller in self.callers.values():
            caller.connection.close()
        for agent in self.agents.values():
            for connection in agent.host.connections.values():
                connection.close()
