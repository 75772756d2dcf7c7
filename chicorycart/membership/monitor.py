"""Exchanges heartbeats with the other agents of a service."""

from random import Random

from logbook import Logger

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import HEARTBEAT_JITTER_SHARE
from chicorycart.defaults import HEARTBEAT_SECONDS
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.heartbeats import handle_heartbeat
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.messages import decode_suspicions
from chicorycart.membership.messages import NO_SERVICE
from chicorycart.membership.paths import PeerAgentPaths
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peer_agents import PeerAgentTable
from chicorycart.membership.reports import Reporter

LOGGER = Logger("membership")


class PeerAgentMonitor:
    """Sends heartbeats to the peer agents and processes theirs.

    Parameters
    ----------
    service : str
        Name of the own service.
    store : ConfigurationStore
        Lists the targets of the service.
    table : PeerAgentTable
        Holds the state of the peer agents.
    heartbeats : HeartbeatBuilder
        Encodes the heartbeats.
    reporter : Reporter
        Reports to balancers the peer agents whose lease lapses.
    paths : PeerAgentPaths
        Changes the source port towards silent peer agents.
    sender : Sender
        Sends messages to other processes.
    random : Random
        Varies the time between heartbeats.
    """

    __slots__ = (
        "service",
        "store",
        "table",
        "heartbeats",
        "reporter",
        "paths",
        "sender",
        "random",
    )

    def __init__(
        self,
        service: str,
        store: ConfigurationStore,
        table: PeerAgentTable,
        heartbeats: HeartbeatBuilder,
        reporter: Reporter,
        paths: PeerAgentPaths,
        sender: Sender,
        random: Random,
    ):
        self.service = service
        self.store = store
        self.table = table
        self.heartbeats = heartbeats
        self.reporter = reporter
        self.paths = paths
        table.subscribe(paths)
        self.sender = sender
        self.random = random

    async def run(self, detector: PauseDetector) -> None:
        """Exchange heartbeats for as long as the process runs."""
        detector.subscribe(self.table)
        detector.subscribe(self.reporter)
        while True:
            self.step()
            jitter = self.random.uniform(-1, 1) * HEARTBEAT_JITTER_SHARE
            await detector.sleep(HEARTBEAT_SECONDS * (1 + jitter))

    def step(self) -> None:
        """Expire leases, send a heartbeat to each peer agent, and report."""
        expected = self.list_expected()
        self.table.add_expected(expected)
        self.table.check(expected)
        self.paths.move_due_paths()
        body = self.heartbeats.encode_next()
        for agent in self.table.peer_agents:
            self.sender.send(
                MessageKind.HEARTBEAT, body, unpack_address(agent)
            )
        self.reporter.report()

    def list_expected(self) -> set[int]:
        """Return the service's agents in the current and replaced versions."""
        current = self.store.current.services.get(self.service)
        states = self.store.list_replaced(self.service)
        if current is not None:
            states.append(current)
        return {
            pack_address(target.agent)
            for state in states
            for target in state.targets
        }

    def receive(self, body: bytes, source: Address) -> None:
        """Process one heartbeat of a peer agent or of a balancer.

        Raises
        ------
        MembershipMessageError
            If it is malformed or implausible.
        """
        heartbeat = handle_heartbeat(
            body, source, self.heartbeats, self.sender
        )
        if heartbeat.service == NO_SERVICE:
            self.reporter.record_answer()
        else:
            self.table.record_heartbeat(heartbeat)


class Refuter:
    """Refutes suspicions of the own agent by raising its incarnation.

    Parameters
    ----------
    heartbeats : HeartbeatBuilder
        Holds the incarnation, which is raised above the suspected one.
    paths : PeerAgentPaths
        Changes the source port towards a peer agent that reports this one
        as silent.
    """

    __slots__ = ("heartbeats", "paths")

    def __init__(self, heartbeats: HeartbeatBuilder, paths: PeerAgentPaths):
        self.heartbeats = heartbeats
        self.paths = paths

    def receive(self, body: bytes, source: Address) -> None:
        """Process suspicions; those of other agents are ignored.

        Raises
        ------
        MembershipMessageError
            If the message is malformed or implausible.
        """
        message = decode_suspicions(body, source)
        for record in message.records:
            if (
                record.suspect != self.heartbeats.sender
                or not record.is_suspected
            ):
                continue
            if message.is_report:
                self.paths.move_after_report(message.sender)
            if self.heartbeats.incarnation.refute(record.incarnation):
                LOGGER.warning(
                    "event=refuted by={} incarnation={:x}",
                    source,
                    self.heartbeats.incarnation.number,
                )
