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
    """Sends and takes an agent's heartbeats.

    Parameters
    ----------
    service : str
        Name of the own service.
    store : ConfigurationStore
        Lists the targets of the service.
    table : PeerAgentTable
        Keeps what is heard.
    heartbeats : OwnHeartbeat
        Makes the heartbeats.
    reporter : Reporter
        Reports the mates that lapse.
    paths : PeerAgentPaths
        Moves the paths to silent mates.
    sender : Sender
        Sends to other processes.
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
        """Let leases lapse, send one heartbeat to each mate and report."""
        expected = self.list_expected()
        self.table.expect(expected)
        self.table.check(expected)
        self.paths.move_due()
        body = self.heartbeats.encode_next()
        for agent in self.table.peer_agents:
            self.sender.send(
                MessageKind.HEARTBEAT, body, unpack_address(agent)
            )
        self.reporter.report()

    def list_expected(self) -> set[int]:
        """Return the agents of the service, recently replaced included."""
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
        """Take one heartbeat.

        Raises
        ------
        MembershipMessageError
            If it cannot be read or is not credible.
        """
        heartbeat = handle_heartbeat(
            body, source, self.heartbeats, self.sender
        )
        if heartbeat.service == NO_SERVICE:
            self.reporter.note_answer()
        else:
            self.table.record_heartbeat(heartbeat)


class Refuter:
    """Refutes suspicions of the own process.

    Parameters
    ----------
    heartbeats : OwnHeartbeat
        Carries the incarnation, which rises above the suspected one.
    paths : PeerAgentPaths
        Moves the path to a mate that does not hear this agent.
    """

    __slots__ = ("heartbeats", "paths")

    def __init__(self, heartbeats: HeartbeatBuilder, paths: PeerAgentPaths):
        self.heartbeats = heartbeats
        self.paths = paths

    def receive(self, body: bytes, source: Address) -> None:
        """Take suspicions, of which only those of the own process matter.

        Raises
        ------
        MembershipMessageError
            If the message cannot be read or is not credible.
        """
        message = decode_suspicions(body, source)
        for record in message.records:
            if (
                record.suspect != self.heartbeats.sender
                or not record.is_suspected
            ):
                continue
            if message.is_report:
                self.paths.note_accusation(message.sender)
            if self.heartbeats.incarnation.refute(record.incarnation):
                LOGGER.warning(
                    "event=refuted by={} incarnation={:x}",
                    source,
                    self.heartbeats.incarnation.number,
                )
