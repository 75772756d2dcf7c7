"""Changes the source port towards peers whose path drops datagrams."""

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


class MoveSchedule:
    """When to change the source port towards a silent peer agent.

    Attributes
    ----------
    next_move_at : float
        Time of the next change.
    wait_seconds : float
        Seconds from that change to the one after it.
    """

    __slots__ = ("next_move_at", "wait_seconds")

    def __init__(self, next_move_at: float):
        self.next_move_at = next_move_at
        self.wait_seconds = PATH_MOVE_SECONDS


class PeerAgentPaths:
    """Changes the source port when heartbeats get lost between two agents.

    A device between two hosts may drop the datagrams of one pair of
    addresses and ports for good; another source port avoids this.

    Parameters
    ----------
    clock : Clock
        Schedules the changes.
    path_migrator : PathMigrator
        Changes the source port towards a peer.
    """

    __slots__ = ("clock", "path_migrator", "move_schedules", "last_report_at")

    def __init__(self, clock: Clock, path_migrator: PathMigrator):
        self.clock = clock
        self.path_migrator = path_migrator
        self.move_schedules: dict[int, MoveSchedule] = {}
        self.last_report_at: dict[int, float] = {}

    def change_peer_agent(
        self, peer_agent: PeerAgent, change: PeerAgentChange
    ) -> None:
        """Start the schedule of a peer agent that lapsed; stop any other."""
        if change is PeerAgentChange.LAPSED:
            self.move_schedules[peer_agent.agent] = MoveSchedule(
                self.clock.now()
            )
        else:
            self.move_schedules.pop(peer_agent.agent, None)

    def move_due_paths(self) -> None:
        """Change the ports that are due, each time after a longer interval."""
        now = self.clock.now()
        for agent, move in self.move_schedules.items():
            if now < move.next_move_at:
                continue
            self.path_migrator.move(unpack_address(agent))
            move.next_move_at = now + move.wait_seconds
            move.wait_seconds = min(
                2 * move.wait_seconds, PATH_MOVE_MAX_SECONDS
            )

    def move_after_report(self, agent: int) -> None:
        """Change the port towards an agent that reports this one as silent.

        Reports that follow within one heartbeat lease change nothing.
        """
        now = self.clock.now()
        before = self.last_report_at.get(agent)
        if before is None or now - before > HEARTBEAT_LEASE_SECONDS:
            self.last_report_at[agent] = now
            self.path_migrator.move(unpack_address(agent))


class PathProber:
    """Checks a balancer's paths to all agents, one batch at a time.

    Agents send nothing to balancers unless asked, so a balancer notices a
    broken path only by probing it.

    Parameters
    ----------
    suspicion_table : SuspicionTable
        Suspected agents are not probed.
    heartbeats : HeartbeatBuilder
        Encodes the probes.
    sender : Sender
        Sends the probes.
    path_migrator : PathMigrator
        Changes the source port towards a peer.
    """

    __slots__ = (
        "suspicion_table",
        "heartbeats",
        "sender",
        "path_migrator",
        "unchecked",
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
        self.unchecked: list[int] = []
        self.answered: set[int] = set()

    def record_answer(self, agent: int) -> None:
        """Record that an agent answered."""
        self.answered.add(agent)

    async def run(self, detector: PauseDetector) -> None:
        """Check one batch after another until cancelled."""
        while True:
            await self.check_batch(self.next_batch(), detector)

    def next_batch(self) -> list[int]:
        """Return the next agents to check; start over after the last one."""
        if not self.unchecked:
            services = self.heartbeats.store.current.services.values()
            self.unchecked = [
                pack_address(target.agent)
                for service in services
                for target in service.targets
            ]
        count = max(1, int(PATH_PROBES_PER_SECOND * PROBE_SECONDS))
        batch, self.unchecked = self.unchecked[:count], self.unchecked[count:]
        return [
            a for a in batch if not self.suspicion_table.is_agent_suspected(a)
        ]

    async def check_batch(
        self, batch: list[int], detector: PauseDetector
    ) -> None:
        """Probe a few agents; change the port towards those without answer."""
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
