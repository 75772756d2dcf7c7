"""Moves silent paths to mates, and finds silent paths to agents."""

from logbook import Logger

from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.defaults import HEARTBEAT_LEASE_SECONDS
from chicorycart.defaults import PATH_MOVE_MAX_SECONDS
from chicorycart.defaults import PATH_MOVE_SECONDS
from chicorycart.defaults import PATH_PROBE_TRIES
from chicorycart.defaults import PATH_PROBES_PER_SECOND
from chicorycart.defaults import PROBE_SECONDS
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.links.peers import PathMigrator
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peer_agents import PeerAgent
from chicorycart.membership.peer_agents import PeerAgentChange
from chicorycart.membership.suspicions import SuspicionTable

LOGGER = Logger("membership")


class Move:
    """The moves of the path to one silent mate.

    Attributes
    ----------
    due : float
        Time of the next move.
    wait : float
        Seconds from that one to the next.
    """

    __slots__ = ("due", "wait")

    def __init__(self, due: float):
        self.due = due
        self.wait = PATH_MOVE_SECONDS


class PeerAgentPaths:
    """Moves the path to a mate when one of the two does not hear the other.

    Parameters
    ----------
    clock : Clock
        Paces the moves.
    path_migrator : PathMigrator
        Sends from another port.
    """

    __slots__ = ("clock", "path_migrator", "silent", "accused_at")

    def __init__(self, clock: Clock, path_migrator: PathMigrator):
        self.clock = clock
        self.path_migrator = path_migrator
        self.silent: dict[int, Move] = {}
        self.accused_at: dict[int, float] = {}

    def change_peer_agent(
        self, peer_agent: PeerAgent, change: PeerAgentChange
    ) -> None:
        """Begin to move the path to a mate that is silent, or stop it."""
        if change is PeerAgentChange.LAPSED:
            self.silent[peer_agent.agent] = Move(self.clock.now())
        else:
            self.silent.pop(peer_agent.agent, None)

    def move_due(self) -> None:
        """Move the paths that are still silent, ever more rarely."""
        now = self.clock.now()
        for agent, move in self.silent.items():
            if now < move.due:
                continue
            self.path_migrator.move(unpack_address(agent))
            move.due = now + move.wait
            move.wait = min(2 * move.wait, PATH_MOVE_MAX_SECONDS)

    def note_accusation(self, agent: int) -> None:
        """Move the path to a mate that says it does not hear this one."""
        now = self.clock.now()
        before = self.accused_at.get(agent)
        if before is None or now - before > HEARTBEAT_LEASE_SECONDS:
            self.accused_at[agent] = now
            self.path_migrator.move(unpack_address(agent))


class PathProber:
    """Checks a balancer's paths to the agents in turn.

    Agents do not send to balancers by themselves, so that a balancer cannot
    notice silence without asking.

    Parameters
    ----------
    suspicion_table : SuspicionTable
        Suspected agents are not asked.
    heartbeats : OwnHeartbeat
        Makes the probes.
    sender : Sender
        Sends the probes.
    path_migrator : PathMigrator
        Sends from another port.
    """

    __slots__ = (
        "suspicion_table",
        "heartbeats",
        "sender",
        "path_migrator",
        "turn",
        "answered",
    )

    def __init__(
        self,
        suspicion_table: SuspicionTable,
        heartbeats: HeartbeatBuilder,
        sender: Sender,
        path_migrator: PathMigrator,
    ):
        self.suspicion_table = suspicion_table
        self.heartbeats = heartbeats
        self.sender = sender
        self.path_migrator = path_migrator
        self.turn: list[int] = []
        self.answered: set[int] = set()

    def note_answer(self, agent: int) -> None:
        """Take note that an agent answered."""
        self.answered.add(agent)

    async def run(self, detector: PauseDetector) -> None:
        """Check one batch after the other while the process runs."""
        while True:
            await self.check_batch(self.take_batch(), detector)

    def take_batch(self) -> list[int]:
        """Return the agents whose turn it is."""
        if not self.turn:
            services = self.heartbeats.store.current.services.values()
            self.turn = [
                pack_address(target.agent)
                for service in services
                for target in service.targets
            ]
        count = max(1, int(PATH_PROBES_PER_SECOND * PROBE_SECONDS))
        batch, self.turn = self.turn[:count], self.turn[count:]
        return [
            a for a in batch if not self.suspicion_table.is_agent_suspected(a)
        ]

    async def check_batch(
        self, batch: list[int], detector: PauseDetector
    ) -> None:
        """Probe a few agents; move the paths to those that stay silent."""
        self.answered.clear()
        for _ in range(PATH_PROBE_TRIES):
            for agent in batch:
                if agent not in self.answered:
                    self.probe(agent)
            if await detector.sleep(PROBE_SECONDS):
                return
            if self.answered.issuperset(batch):
                return
        for agent in batch:
            if agent not in self.answered:
                LOGGER.info("event=path_silent agent={:x}", agent)
                self.path_migrator.move(unpack_address(agent))

    def probe(self, agent: int) -> None:
        """Ask one agent for a heartbeat."""
        body = self.heartbeats.encode_next(wants_answer=True)
        self.sender.send(MessageKind.HEARTBEAT, body, unpack_address(agent))
