"""Runs agents of one service and some balancers on an in-memory network."""

from random import Random

from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.membership import AgentMembership
from chicorycart.balancer.membership import BalancerMembership
from chicorycart.clock import LoopClock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.metrics import count_dropped
from chicorycart.links.peers import PeerLinks
from chicorycart.membership.incarnation import Incarnation
from chicorycart.membership.instances import Instance
from chicorycart.membership.instances import InstanceRole
from chicorycart.membership.instances import InstanceState
from chicorycart.membership.pauses import PauseDetector
from chicorycart.placement.load import Load
from chicorycart.settings.model import AgentSettings
from chicorycart.settings.model import DaemonSettings
from chicorycart.settings.model import LogSettings
from tests.standins.datagrams import AnySource
from tests.standins.datagrams import MemoryNetwork
from tests.standins.datagrams import MemorySocket

DOMAINS = "abc"
DATA_PORT = 7001
SERVICE = "dispatch"


class FixedLoad:
    """A load source with a constant number of requests in progress."""

    def __init__(self, in_progress):
        self.in_progress = in_progress

    def current_load(self):
        """Return the constant load."""
        return Load(self.in_progress, 0, 2.0)


class Node:
    """One process with its socket, its link and its membership tasks."""

    def __init__(self, socket, link, membership):
        self.socket = socket
        self.link = link
        self.membership = membership
        self.tasks = membership.start()


class Fleet:
    """Runs the production classes; every process can be killed or paused."""

    def __init__(self, agents, balancers, seed=1):
        self.random = Random(seed)
        self.network = MemoryNetwork(self.random)
        self.clock = LoopClock()
        self.targets = {
            f"t-{number}": Target(
                f"t-{number}",
                Address(f"192.0.2.{number}", DATA_PORT),
                DOMAINS[number % len(DOMAINS)],
                1.0,
                2,
                TargetState.ACTIVE,
            )
            for number in range(1, agents + 1)
        }
        self.balancers = {
            f"b-{number}": Instance(
                f"b-{number}",
                InstanceRole.BALANCER,
                Address(f"198.51.100.{number}", DATA_PORT),
                Address(f"198.51.100.{number}", DATA_PORT + 1),
                "riga",
                DOMAINS[number % len(DOMAINS)],
                InstanceState.LIVE,
            )
            for number in range(1, balancers + 1)
        }
        self.starts = 0
        self.nodes = {}

    def start_all(self):
        """Start every process."""
        for name in (*self.targets, *self.balancers):
            self.start(name)

    def start(self, name, started_seconds=None):
        """Start a process, again if it ran before."""
        self.starts += 1
        agent = self.targets.get(name)
        instance = agent or self.balancers[name]
        address = agent.agent if agent else instance.data
        daemon = DaemonSettings(
            name, "riga", instance.domain, address, address, [], LogSettings()
        )
        socket = MemorySocket(self.network, address)
        registry = CollectorRegistry()
        link = PeerLinks(
            DatagramLink(socket, AnySource(), count_dropped(registry)),
            lambda: self.network.open_new(address.host),
        )
        socket.start(link.main)
        store = ConfigurationStore(self.clock)
        store.put_in_force(self.configure(1, self.targets.values()))
        incarnation = Incarnation(started_seconds or self.starts)
        detector = PauseDetector(self.clock, socket.sleep)
        common = (link, incarnation, detector, self.random)
        if agent:
            settings = AgentSettings(
                daemon, SERVICE, name, address, address, None
            )
            membership = AgentMembership(settings, self.clock, store, *common)
            membership.use_load(FixedLoad(7))
        else:
            membership = BalancerMembership(
                daemon, self.clock, store, *common, registry
            )
        membership.balancers.change_instances(list(self.balancers.values()))
        self.nodes[name] = Node(socket, link, membership)

    def configure(self, version, targets):
        """Return a configuration with the one service."""
        entry = Entry(Address("203.0.113.1", 80), 6)
        service = Service(SERVICE, entry, ServiceKind.PACKET, tuple(targets))
        return Configuration(version, {SERVICE: service})

    def kill(self, name):
        """Kill a process: cancel its tasks and close its socket."""
        node = self.nodes.pop(name)
        for task in node.tasks:
            task.cancel()
        node.link.close()
        node.socket.close()

    def peer_agents_of(self, name):
        """Return an agent's table of its peer agents."""
        return self.nodes[name].membership.agent_table

    def peer_agent(self, name, other):
        """Return an agent's entry of one peer agent, or None."""
        return self.peer_agents_of(name).peer_agents.get(self.pack(other))

    def pack(self, name):
        """Return the packed address of an agent."""
        return pack_address(self.targets[name].agent)

    def suspects_of(self, balancer):
        """Return the names of the agents that a balancer suspects."""
        suspicion_table = self.nodes[balancer].membership.suspicions
        return {
            n
            for n, t in self.targets.items()
            if suspicion_table.is_suspected(t)
        }

    def live_balancers(self):
        """Return the names of the balancers that run."""
        return [name for name in self.balancers if name in self.nodes]

    def close(self):
        """Kill every process."""
        for name in list(self.nodes):
            self.kill(name)
