"""Replays the steps of the opening model on the real classes."""

from random import Random
from unittest.mock import patch

import dpkt
from prometheus_client import CollectorRegistry

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.agent.acceptance import TargetAcceptance
from chicorycart.agent.ownership import FlowOwnership
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Entry
from chicorycart.configuration.model import Service
from chicorycart.configuration.model import ServiceKind
from chicorycart.configuration.model import Target
from chicorycart.configuration.model import TargetState
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import HANDSHAKE_SECONDS
from chicorycart.defaults import PAUSE_SECONDS
from chicorycart.defaults import TICK_SECONDS
from chicorycart.flows.messages import decode_answer
from chicorycart.flows.messages import decode_query
from chicorycart.flows.service_agents import ServiceAgents
from chicorycart.links.datagrams import DatagramLink
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.metrics import count_dropped
from chicorycart.operation.decisions import DecisionLog
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import decode_forward
from chicorycart.packets.forward import encode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement import chain as chain_module
from chicorycart.placement.chain import bucket_of
from chicorycart.placement.chain import choose_candidates
from tests.flows import opening_model as model
from tests.standins.segments import build_packet
from tests.standins.wire import EverySource

SERVICE = "dispatch"
ENTRY = Address("203.0.113.1", 80)
ADDRESSES = [Address(f"192.0.2.{number}", 7001) for number in (1, 2, 3)]
PACKED = [pack_address(address) for address in ADDRESSES]
HIGH_WEIGHT = 50.0
BALANCER = Address("192.0.2.101", 7001)
CHAINS = {
    (version, tuple(PACKED[agent] for agent in chain)): name
    for name, (version, chain) in model.CHAINS.items()
}


def make_configuration(version):
    """Return the configuration of a version of the model."""
    targets = tuple(
        Target(
            f"t-{agent}",
            ADDRESSES[agent],
            "a",
            HIGH_WEIGHT if (version, agent) == (2, 2) else 1.0,
            2,
            TargetState.ACTIVE if is_active else TargetState.DRAINING,
        )
        for agent, is_active in enumerate(model.ACTIVE[version])
    )
    service = Service(SERVICE, Entry(ENTRY, 6), ServiceKind.HTTP, targets)
    return Configuration(version, {SERVICE: service})


def find_opening():
    """Return a SYN of a flow whose candidates are those of the model."""
    services = {
        version: make_configuration(version).services[SERVICE]
        for version in (1, 2)
    }
    for port in range(1024, 65_536):
        segment = dpkt.tcp.TCP(seq=1, flags=dpkt.tcp.TH_SYN)
        packet = build_packet(Address("198.18.0.1", port), ENTRY, segment)
        bucket = bucket_of(hash_flow(parse_packet(packet).flow))
        if all(
            [t.agent for t in choose_candidates(services[version], bucket)]
            == [ADDRESSES[agent] for agent in model.CANDIDATES[version]]
            for version in (1, 2)
        ):
            return packet
    raise AssertionError("no flow found with the candidates of the model")


def limit_candidates():
    """Return a context manager that sets the model's candidate count."""
    return patch.object(
        chain_module, "CURRENT_CANDIDATES", model.CANDIDATE_COUNT
    )


with limit_candidates():
    OPENING = find_opening()
FLOW = parse_packet(OPENING).flow


class ManualClock:
    """A clock whose time the test sets."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        """Return the time in seconds."""
        return self.time


class SilentHost:
    """A host that drops every packet and has no earlier connections."""

    def deliver(self, packet):
        """Ignore a packet."""

    def list_flows(self, entry_key):
        """Return no flows."""
        return []


class CapturingSocket:
    """A socket whose datagrams are captured until a step delivers them."""

    def __init__(self, replay, address):
        self.replay = replay
        self.address = address

    def send(self, data, destination):
        """Hand one datagram to the replay."""
        self.replay.capture(self.address, data, destination)
        return True


class ReplayedAgent:
    """The real ownership classes of one agent, with a clock of its own."""

    def __init__(self, replay, number):
        self.clock = ManualClock()
        self.store = ConfigurationStore(self.clock)
        self.store.put_in_force(make_configuration(1))
        self.link = DatagramLink(
            CapturingSocket(replay, ADDRESSES[number]),
            EverySource(),
            count_dropped(CollectorRegistry()),
        )
        host = SilentHost()
        self.ownership = FlowOwnership(
            ServiceAgents(self.store, SERVICE, PACKED[number], self.clock),
            host,
            host,
            TargetAcceptance(self.store, SERVICE, f"t-{number}"),
            self.link,
            0,
            self.clock,
            Random(1),
            DecisionLog(0.0),
            CollectorRegistry(),
        )
        for kind, receiver in self.ownership.list_receivers().items():
            self.link.register(kind, receiver)
        while not self.ownership.settling.is_established():
            self.clock.time += TICK_SECONDS
        assert self.clock.time <= HANDSHAKE_SECONDS + TICK_SECONDS


class Replay:
    """Three real agents that execute the steps of the model."""

    def __init__(self):
        self.flight = {}
        self.agents = [ReplayedAgent(self, agent) for agent in model.AGENTS]

    def capture(self, source, data, destination):
        """Store a datagram until a step delivers it."""
        message = self.read(source, data, destination)
        self.flight[message] = (data, source)

    def read(self, source, data, destination):
        """Return a datagram as a message of the model."""
        kind, body = data[0], data[1:]
        to = ADDRESSES.index(destination)
        if kind == MessageKind.FORWARD:
            forward = decode_forward(body)
            name = CHAINS[forward.version, tuple(forward.chain)]
            placer = model.UNKNOWN
            if forward.placed:
                placer = ADDRESSES.index(source)
            return model.Syn(to, name, placer, forward.hops)
        requester = ADDRESSES.index(source)
        if kind == MessageKind.OWNER_QUERY:
            return model.Query(to, requester, decode_query(body).number)
        answer = decode_answer(body)
        owner = model.UNKNOWN
        if answer.owner is not None:
            owner = PACKED.index(answer.owner)
        return model.Answer(to, requester, answer.number, owner)

    def step(self, label):
        """Execute the step of the model with this label."""
        action, subject = label
        if action in ("take", "take a copy of"):
            data, source = self.flight[subject]
            if action == "take":
                del self.flight[subject]
            self.agents[subject.to].link.handle_datagram(data, source)
        elif action in ("lose", "cut"):
            del self.flight[subject]
        elif action == "open":
            self.open(subject)
        elif action == "learn":
            configuration = make_configuration(2)
            self.agents[subject].store.put_in_force(configuration)
        elif action == "wake":
            self.agents[subject].clock.time += PAUSE_SECONDS + TICK_SECONDS
        elif action == "time out":
            self.agents[subject].ownership.owner_lookups.time_out(FLOW)

    def open(self, name):
        """Send an opening packet as a balancer does."""
        version, chain = model.CHAINS[name]
        service = make_configuration(1).services[SERVICE]
        forward = Forward(
            version,
            service.identifier,
            [PACKED[agent] for agent in chain],
            OPENING,
            hops=1,
        )
        data = bytes((MessageKind.FORWARD,)) + encode_forward(forward)
        self.capture(BALANCER, data, ADDRESSES[chain[0]])

    def check(self, state):
        """Compare the state of the real agents with that of the model."""
        assert set(self.flight) == set(state.flight)
        for number, agent in enumerate(self.agents):
            parts = agent.ownership
            assert parts.table.owns(FLOW) == state.owns[number]
            assert self.read_memory(parts) == state.memory[number]
            assert self.read_requesters(parts) == state.requesters[number]
            assert self.read_waiting(parts) == (
                state.waiting[number] and state.waiting[number].agents
            )

    def read_memory(self, parts):
        """Return where an agent placed the flow, in the form of the model."""
        agent = parts.memory.recall(FLOW)
        return model.UNKNOWN if agent is None else PACKED.index(agent)

    def read_requesters(self, parts):
        """Return the requesters of an agent with their query numbers."""
        opening = parts.memory.find(FLOW)
        requesters = opening.requesters if opening else {}
        return {(PACKED.index(a), number) for a, number in requesters.items()}

    def read_waiting(self, parts):
        """Return the agents whose answers an agent waits for."""
        pending = parts.owner_lookups.pending.get(FLOW)
        if pending is None:
            return None
        return {PACKED.index(agent) for agent in pending.waiting}

    def close(self):
        """Stop the timers of all lookups."""
        for agent in self.agents:
            owner_lookups = agent.ownership.owner_lookups
            for flow in list(owner_lookups.pending):
                owner_lookups.close(flow)


def walk(rules, seed, steps):
    """Execute one random walk of the model on the real classes."""
    random = Random(seed)
    opening = model.OpeningModel(rules)
    state = model.State(*opening.protocol().initial)
    replay = Replay()
    labels = []
    try:
        for _ in range(steps):
            choices = sorted(opening.list_steps(state), key=repr)
            if not choices:
                break
            label, state = random.choice(choices)
            labels.append(label)
            replay.step(label)
            replay.check(state)
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {labels}") from error
    finally:
        replay.close()
    return labels
