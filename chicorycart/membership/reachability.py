"""Checks that agents accept the messages of a balancer that just started."""

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
    """Opens once more than half of a random sample of agents answers.

    Agents accept messages from listed instances only, and the instance list
    lags. A balancer on a new address would therefore lose the packets that
    the fabric sends it, so it is not ready before agents answer it.

    Parameters
    ----------
    heartbeats : HeartbeatBuilder
        Encodes the probes.
    sender : Sender
        Sends the probes.
    random : Random
        Chooses the sample.

    Attributes
    ----------
    is_open : bool
        Whether enough agents have answered since the start.
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

    def record_answer(self, agent: int) -> None:
        """Record that an agent answered."""
        self.answered.add(agent)

    async def run(self, detector: PauseDetector) -> None:
        """Probe one sample after another until the gate opens.

        Without a configuration the agents are not known, and an empty sample
        does not count.
        """
        while not self.is_open:
            is_informed = self.heartbeats.store.current.version > 0
            sample = self.choose_sample()
            self.answered.clear()
            for agent in sample:
                self.probe(agent)
            await detector.sleep(PROBE_SECONDS)
            if is_informed:
                self.evaluate(sample)

    def choose_sample(self) -> list[int]:
        """Return a random sample of the agents in the configuration."""
        agents = [
            pack_address(target.agent)
            for service in self.heartbeats.store.current.services.values()
            for target in service.targets
        ]
        count = min(REACHABILITY_SAMPLE_AGENTS, len(agents))
        return self.random.sample(agents, count)

    def evaluate(self, sample: list[int]) -> None:
        """Open if more than half of the sample answered, or if it is empty."""
        answered_count = len(self.answered.intersection(sample))
        if not sample or 2 * answered_count > len(sample):
            self.is_open = True
            LOGGER.info(
                "event=heard answered={} of={}", answered_count, len(sample)
            )

    def probe(self, agent: int) -> None:
        """Ask one agent for a heartbeat."""
        body = self.heartbeats.encode_next(wants_answer=True)
        self.sender.send(MessageKind.HEARTBEAT, body, unpack_address(agent))
