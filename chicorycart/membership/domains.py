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
    """The state of probing one failure domain.

    Attributes
    ----------
    unanswered : int
        Consecutive probes that no agent of the domain answered.
    probed_at : float or None
        Time of the latest probe; None if none is outstanding.
    """

    __slots__ = ("unanswered", "probed_at")

    def __init__(self):
        self.unanswered = 0
        self.probed_at: float | None = None


class DomainWatch:
    """Suspects a failure domain as a whole when none of its agents answers.

    When a domain fails or a region is cut off, thousands of agents are
    silent at once, more than gossip can carry. A balancer that suspects
    `DOMAIN_SUSPECTS` agents of one domain therefore probes others there, one
    per second. After `DOMAIN_PROBES` unanswered probes it suspects the
    domain, until any agent of it answers.

    Parameters
    ----------
    clock : Clock
        Measures the time since probes and answers.
    suspicion_table : SuspicionTable
        Holds the individually suspected agents.
    heartbeats : HeartbeatBuilder
        Encodes the probes; its configuration store lists the agents.
    sender : Sender
        Sends the probes.
    bucket : TokenBucket
        Limits the bytes of probes per second.
    random : Random
        Chooses the agents to probe.

    Attributes
    ----------
    suspected : set of str
        Suspected failure domains.
    last_contact_at : float
        Time of the latest heartbeat of any agent.
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
        "indexed_configuration",
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
        self.indexed_configuration: Configuration | None = None
        self.last_contact_at = float("-inf")

    def subscribe(self, subscriber: SuspicionSubscriber) -> None:
        """Clear the subscriber whenever the suspected domains change."""
        self.subscribers.append(subscriber)

    def is_suspected(self, target: Target) -> bool:
        """Return whether the target's agent or its domain is suspected."""
        return (
            target.domain in self.suspected
            or self.suspicion_table.is_suspected(target)
        )

    def record_answer(self, agent: int) -> None:
        """Record that an agent answered, which clears its domain."""
        self.last_contact_at = self.clock.now()
        if self.checks:
            self.clear_domain(self.domains.get(unpack_address(agent)))

    def clear_domain(self, domain: str | None) -> None:
        """End the check of a domain and withdraw its suspicion."""
        if domain is None or self.checks.pop(domain, None) is None:
            return
        if domain in self.suspected:
            self.suspected.remove(domain)
            self.announce("refuted", domain)

    def resume(self, late_seconds: float) -> None:
        """Restart each check after a pause of the process."""
        for check in self.checks.values():
            check.unanswered = 0
            check.probed_at = None

    async def run(self, detector: PauseDetector) -> None:
        """Check the domains for as long as the process runs."""
        detector.subscribe(self)
        while True:
            await detector.sleep(DOMAIN_CHECK_SECONDS)
            self.step()

    def step(self) -> None:
        """Start checks of domains with enough suspects; advance all checks."""
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
        """Index agents by failure domain, once per configuration version."""
        configuration = self.heartbeats.store.current
        if self.indexed_configuration is configuration:
            return
        self.indexed_configuration = configuration
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
        """Return the number of suspected agents of each domain."""
        found = (
            self.domains.get(unpack_address(agent))
            for agent in self.suspicion_table.suspected
        )
        return Counter(domain for domain in found if domain is not None)

    def step_domain(self, domain: str, check: DomainCheck) -> None:
        """Count an unanswered probe of a domain, and send the next.

        A probe counts only while heartbeats of any agent arrive, since
        otherwise this balancer may be the one that is cut off.
        """
        now = self.clock.now()
        is_domain_suspected = domain in self.suspected
        wait = DOMAIN_RECHECK_SECONDS if is_domain_suspected else 0.0
        if check.probed_at is not None and now - check.probed_at < wait:
            return
        if check.probed_at is not None and self.has_recent_contact():
            check.unanswered += 1
        if check.unanswered >= DOMAIN_PROBES and not is_domain_suspected:
            self.suspected.add(domain)
            self.announce("suspected", domain)
        self.probe(domain, check)

    def has_recent_contact(self) -> bool:
        """Return whether any agent sent a heartbeat within a lease."""
        return (
            self.clock.now() - self.last_contact_at < HEARTBEAT_LEASE_SECONDS
        )

    def probe(self, domain: str, check: DomainCheck) -> None:
        """Probe an agent of a domain if the rate limit allows it."""
        agent = self.choose_agent(domain)
        body = self.heartbeats.encode_next(wants_answer=True)
        check.probed_at = None
        if agent and self.bucket.try_acquire(measure_datagram(body)):
            check.probed_at = self.clock.now()
            self.sender.send(MessageKind.HEARTBEAT, body, agent)

    def choose_agent(self, domain: str) -> Address | None:
        """Return a random agent to probe, one that is not suspected itself.

        If all agents of the random sample are suspected, a suspected domain
        is still probed. A domain that is not suspected is then not probed:
        the suspicions of its agents suffice.
        """
        agents = self.agents.get(domain, [])
        count = min(len(agents), DOMAIN_DRAWN_AGENTS)
        drawn = self.random.sample(agents, count)
        for agent in drawn:
            if pack_address(agent) not in self.suspicion_table.suspected:
                return agent
        return drawn[0] if drawn and domain in self.suspected else None

    def drop_covered_gossip(self) -> None:
        """Remove from gossip the agents whose whole domain is suspected."""
        if not self.suspected:
            return
        for agent in list(self.suspicion_table.pending_gossip):
            if self.domains.get(unpack_address(agent)) in self.suspected:
                del self.suspicion_table.pending_gossip[agent]

    def announce(self, event: str, domain: str) -> None:
        """Log a change and clear the subscribers."""
        LOGGER.warning("event=domain_{} domain={}", event, domain)
        for subscriber in self.subscribers:
            subscriber.clear()
