"""Suspects a whole failure domain, without a record for each agent."""

from collections import Counter
from random import Random

from logbook import Logger

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Target
from chicorycart.defaults import DOMAIN_CHECK_SECONDS
from chicorycart.defaults import DOMAIN_DRAWN_AGENTS
from chicorycart.defaults import DOMAIN_PROBES
from chicorycart.defaults import DOMAIN_RECHECK_SECONDS
from chicorycart.defaults import DOMAIN_SUSPECTS
from chicorycart.defaults import HEARTBEAT_LEASE_SECONDS
from chicorycart.links.datagrams import measure_datagram
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.heartbeats import HeartbeatBuilder
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.suspicions import SuspicionSubscriber
from chicorycart.membership.suspicions import SuspicionTable
from chicorycart.pace import TokenBucket

LOGGER = Logger("membership")


class DomainCheck:
    """The probes of one failure domain.

    Attributes
    ----------
    misses : int
        Agents probed one after the other without an answer from any.
    probed_at : float or None
        Time of the latest probe.
    """

    __slots__ = ("misses", "probed_at")

    def __init__(self):
        self.misses = 0
        self.probed_at: float | None = None


class DomainWatch:
    """Suspects the agents of a failure domain from which nobody answers.

    When a domain fails or a region is cut off, thousands of agents are
    silent at once, more than gossip can carry. A balancer that suspects a
    few agents of one domain therefore probes others there, one a second; if
    none answers it suspects the domain, for as long as that stays so.

    Parameters
    ----------
    clock : Clock
        Measures silence.
    suspicion_table : SuspicionTable
        The suspected agents.
    heartbeats : OwnHeartbeat
        Makes the probes; its store lists the agents.
    sender : Sender
        Sends the probes.
    bucket : TokenBucket
        Bounds the bytes of probes a second.
    random : Random
        Chooses the agents to probe.

    Attributes
    ----------
    suspected : set of str
        Suspected failure domains.
    """

    __slots__ = (
        "clock",
        "suspicion_table",
        "heartbeats",
        "sender",
        "bucket",
        "random",
        "suspected",
        "checks",
        "subscribers",
        "domains",
        "agents",
        "indexed",
        "last_contact_at",
    )

    def __init__(
        self,
        clock: Clock,
        suspicion_table: SuspicionTable,
        heartbeats: HeartbeatBuilder,
        sender: Sender,
        bucket: TokenBucket,
        random: Random,
    ):
        self.clock = clock
        self.suspicion_table = suspicion_table
        self.heartbeats = heartbeats
        self.sender = sender
        self.bucket = bucket
        self.random = random
        self.suspected: set[str] = set()
        self.checks: dict[str, DomainCheck] = {}
        self.subscribers: list[SuspicionSubscriber] = []
        self.domains: dict[Address, str] = {}
        self.agents: dict[str, list[Address]] = {}
        self.indexed: Configuration | None = None
        self.last_contact_at = float("-inf")

    def subscribe(self, subscriber: SuspicionSubscriber) -> None:
        """Tell the subscriber whenever another domain is suspected or not."""
        self.subscribers.append(subscriber)

    def is_suspected(self, target: Target) -> bool:
        """Tell whether the target's agent or its domain is suspected."""
        return (
            target.domain in self.suspected
            or self.suspicion_table.is_suspected(target)
        )

    def note_answer(self, agent: int) -> None:
        """Take note that an agent answered, and with it its domain."""
        self.last_contact_at = self.clock.now()
        if self.checks:
            self.clear_domain(self.domains.get(unpack_address(agent)))

    def clear_domain(self, domain: str | None) -> None:
        """End the check of a domain from which somebody was heard."""
        if domain is None or self.checks.pop(domain, None) is None:
            return
        if domain in self.suspected:
            self.suspected.remove(domain)
            self.announce("refuted", domain)

    def resume(self, late_seconds: float) -> None:
        """Begin each check anew after a pause."""
        for check in self.checks.values():
            check.misses = 0
            check.probed_at = None

    async def run(self, detector: PauseDetector) -> None:
        """Check the domains for as long as the process runs."""
        detector.subscribe(self)
        while True:
            await detector.sleep(DOMAIN_CHECK_SECONDS)
            self.step()

    def step(self) -> None:
        """Count the last probes that were not answered, and probe again."""
        if not self.suspicion_table.suspected and not self.checks:
            return
        self.index_domains()
        for domain, count in self.count_suspects().items():
            if count >= DOMAIN_SUSPECTS and domain not in self.checks:
                self.checks[domain] = DomainCheck()
        for domain, check in self.checks.items():
            self.step_domain(domain, check)
        self.drop_covered_gossip()

    def index_domains(self) -> None:
        """Look up the failure domain of each agent, once a version."""
        configuration = self.heartbeats.store.current
        if self.indexed is configuration:
            return
        self.indexed = configuration
        self.domains = {
            target.agent: target.domain
            for service in configuration.services.values()
            for target in service.targets
        }
        self.agents = {}
        for agent, domain in self.domains.items():
            self.agents.setdefault(domain, []).append(agent)
        for domain in self.checks.keys() - self.agents.keys():
            self.clear_domain(domain)

    def count_suspects(self) -> Counter[str]:
        """Return how many agents of each domain are suspected."""
        found = (
            self.domains.get(unpack_address(agent))
            for agent in self.suspicion_table.suspected
        )
        return Counter(domain for domain in found if domain is not None)

    def step_domain(self, domain: str, check: DomainCheck) -> None:
        """Count an unanswered probe of a domain, and send the next."""
        now = self.clock.now()
        is_known = domain in self.suspected
        wait = DOMAIN_RECHECK_SECONDS if is_known else 0.0
        if check.probed_at is not None and now - check.probed_at < wait:
            return
        if check.probed_at is not None and self.hears_anyone():
            check.misses += 1
        if check.misses >= DOMAIN_PROBES and not is_known:
            self.suspected.add(domain)
            self.announce("suspected", domain)
        self.probe(domain, check)

    def hears_anyone(self) -> bool:
        """Tell whether any agent was heard a moment ago."""
        return (
            self.clock.now() - self.last_contact_at < HEARTBEAT_LEASE_SECONDS
        )

    def probe(self, domain: str, check: DomainCheck) -> None:
        """Ask one agent of a domain for a heartbeat, if the budget allows."""
        agent = self.choose_agent(domain)
        body = self.heartbeats.encode_next(wants_answer=True)
        check.probed_at = None
        if agent and self.bucket.try_acquire(measure_datagram(body)):
            check.probed_at = self.clock.now()
            self.sender.send(MessageKind.HEARTBEAT, body, agent)

    def choose_agent(self, domain: str) -> Address | None:
        """Return whom to probe: an agent not suspected by itself.

        When all those drawn are, a domain that is suspected is still probed;
        one that is not needs no suspicion of its own.
        """
        agents = self.agents.get(domain, [])
        count = min(len(agents), DOMAIN_DRAWN_AGENTS)
        drawn = self.random.sample(agents, count)
        for agent in drawn:
            if pack_address(agent) not in self.suspicion_table.suspected:
                return agent
        return drawn[0] if drawn and domain in self.suspected else None

    def drop_covered_gossip(self) -> None:
        """Pass on no records of agents whose whole domain is suspected."""
        if not self.suspected:
            return
        for agent in list(self.suspicion_table.fresh):
            if self.domains.get(unpack_address(agent)) in self.suspected:
                del self.suspicion_table.fresh[agent]

    def announce(self, event: str, domain: str) -> None:
        """Log a change and tell the subscribers."""
        LOGGER.warning("event=domain_{} domain={}", event, domain)
        for subscriber in self.subscribers:
            subscriber.clear()
