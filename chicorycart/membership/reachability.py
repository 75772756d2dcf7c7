"""Finds out whether agents take the messages of a balancer that started."""

from random import Random

from logbook import Logger

from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.defaults import PROBE_SECONDS
from chicorycart.defaults import REACHABILITY_SAMPLE_AGENTS
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.pauses import PauseDetector

LOGGER = Logger("membership")


class ReachabilityGate:
    """Opens once most of a sample of agents answer.

    Agents take messages from listed instances only and the list lags, so a
    balancer on a new address would lose the packets that the fabric gives
    it. It is not ready before it is heard.

    Parameters
    ----------
    heartbeats : OwnHeartbeat
        Makes the probes.
    sender : Sender
        Sends the probes.
    random : Random
        Chooses the sample.

    Attributes
    ----------
    is_open : bool
        Whether the balancer was heard since it started.
    """

    __slots__ = (
        "heartbeats",
        "sender",
        "random",
        "answered",
        "is_open",
    )

    def __init__(
        self,
        heartbeats: HeartbeatBuilder,
        sender: Sender,
        random: Random,
    ):
        self.heartbeats = heartbeats
        self.sender = sender
        self.random = random
        self.answered: set[int] = set()
        self.is_open = False

    def note_answer(self, agent: int) -> None:
        """Take note that an agent answered."""
        self.answered.add(agent)

    async def run(self, detector: PauseDetector) -> None:
        """Probe one sample after the other until most of it answers."""
        while not self.is_open:
            is_informed = self.heartbeats.store.current.version > 0
            sample = self.choose_sample()
            self.answered.clear()
            for agent in sample:
                self.probe(agent)
            await detector.sleep(PROBE_SECONDS)
            if is_informed:
                self.judge(sample)

    def choose_sample(self) -> list[int]:
        """Return some agents of the configuration in force."""
        agents = [
            pack_address(target.agent)
            for service in self.heartbeats.store.current.services.values()
            for target in service.targets
        ]
        count = min(REACHABILITY_SAMPLE_AGENTS, len(agents))
        return self.random.sample(agents, count)

    def judge(self, sample: list[int]) -> None:
        """Open if most of the sample answered, or if it is empty."""
        heard = len(self.answered.intersection(sample))
        if not sample or 2 * heard > len(sample):
            self.is_open = True
            LOGGER.info("event=heard answered={} of={}", heard, len(sample))

    def probe(self, agent: int) -> None:
        """Ask one agent for a heartbeat."""
        body = self.heartbeats.encode_next(wants_answer=True)
        self.sender.send(MessageKind.HEARTBEAT, body, unpack_address(agent))
