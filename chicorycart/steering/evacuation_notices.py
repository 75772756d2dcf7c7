"""Notices of evacuations from balancers to agents, and what agents answer."""

from asyncio import sleep
from collections.abc import Collection
from random import Random

import capnp
from logbook import Logger

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.steering.directory import Directory
from chicorycart.steering.errors import SteeringMessageError
from chicorycart.steering.evacuation import EvacuatedDomains
from chicorycart.steering.evacuation_state import Transition
from chicorycart.steering.limits import EVACUATION_NOTICE_LIFE_SECONDS
from chicorycart.steering.limits import EVACUATION_NOTICE_SECONDS
from chicorycart.steering.limits import EVACUATION_NOTICES
from chicorycart.steering.messages import SCHEMA
from chicorycart.steering.returns import clamp_position
from chicorycart.steering.returns import ReturnHeader

LOGGER = Logger("evacuation")


class EvacuationNotice:
    """Notice of a balancer that a failure domain is evacuated or not.

    Attributes
    ----------
    domain : str
        Name of the domain.
    is_evacuated : bool
        Whether it is evacuated.
    era, revision : int
        Position in the store up to which the balancer knows this.
    """

    __slots__ = ("domain", "is_evacuated", "era", "revision")

    def __init__(
        self, domain: str, is_evacuated: bool, era: int, revision: int
    ):
        self.domain = domain
        self.is_evacuated = is_evacuated
        self.era = era
        self.revision = revision


def encode_notice(notice: EvacuationNotice) -> bytes:
    """Encode a notice."""
    return SCHEMA.EvacuationNotice.new_message(
        domain=notice.domain,
        isEvacuated=notice.is_evacuated,
        era=clamp_position(notice.era),
        revision=clamp_position(notice.revision),
    ).to_bytes()


def decode_notice(body: bytes) -> EvacuationNotice:
    """Decode a notice.

    Raises
    ------
    SteeringMessageError
        If the body is not a notice.
    """
    try:
        with SCHEMA.EvacuationNotice.from_bytes(body) as message:
            return EvacuationNotice(
                message.domain,
                message.isEvacuated,
                message.era,
                message.revision,
            )
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError(
            "evacuation notice: the body is not an EvacuationNotice message"
        ) from error


class HostEvacuation:
    """What an agent knows of the evacuation of its host's failure domain.

    Parameters
    ----------
    domain : str
        Failure domain of the own instance; notices of others are ignored.
    clock : Clock
        Measures the age of a notice.

    Attributes
    ----------
    notice : EvacuationNotice or None
        The notice that counts.
    expires_at : float
        Time from which it does not count any more.
    """

    __slots__ = ("domain", "clock", "notice", "expires_at")

    def __init__(self, domain: str, clock: Clock):
        self.domain = domain
        self.clock = clock
        self.notice: EvacuationNotice | None = None
        self.expires_at = 0.0

    def receive(self, body: bytes, source: Address) -> None:
        """Take a balancer's notice, unless a later one of its era counts."""
        notice = decode_notice(body)
        known = self.find_current()
        if notice.domain != self.domain or (
            known is not None
            and known.era == notice.era
            and known.revision > notice.revision
        ):
            return
        was_evacuated = known is not None and known.is_evacuated
        if notice.is_evacuated is not was_evacuated:
            LOGGER.info(
                "event=evacuation_notice domain={!r} evacuated={} era={}"
                " revision={} balancer={}",
                notice.domain,
                notice.is_evacuated,
                notice.era,
                notice.revision,
                source,
            )
        self.notice = notice
        self.expires_at = self.clock.now() + EVACUATION_NOTICE_LIFE_SECONDS

    def find_current(self) -> EvacuationNotice | None:
        """Return the notice that counts now, if there is one."""
        if self.notice is not None and self.clock.now() >= self.expires_at:
            self.notice = None
        return self.notice

    def is_evacuated(self) -> bool:
        """Tell whether the own domain is evacuated, as far as is known."""
        notice = self.find_current()
        return notice is not None and notice.is_evacuated

    def find_position(self) -> tuple[int, int]:
        """Return era and revision of the notice that counts; 0 without."""
        notice = self.find_current()
        return (0, 0) if notice is None else (notice.era, notice.revision)


class EvacuationNotifier:
    """Notifies agents of evacuations and handles what they decline for one.

    Agents tell balancers that cannot read the store. A few agents are
    notified by each balancer, others each time, so that the bytes do not
    grow with the number of hosts.

    Parameters
    ----------
    evacuated : EvacuatedDomains
        The evacuations that this balancer knows.
    directory : Directory
        Targets of each domain.
    sender : Sender
        Sends to agents.
    random : Random
        Draws the agents.
    """

    __slots__ = ("evacuated", "directory", "sender", "random")

    def __init__(
        self,
        evacuated: EvacuatedDomains,
        directory: Directory,
        sender: Sender,
        random: Random,
    ):
        self.evacuated = evacuated
        self.directory = directory
        self.sender = sender
        self.random = random
        evacuated.listeners.append(self.handle_transition)

    async def run(self) -> None:
        """Repeat the notices periodically until cancelled."""
        while True:
            await sleep(EVACUATION_NOTICE_SECONDS)
            self.repeat_notices()

    def repeat_notices(self) -> None:
        """Notify other agents of each evacuation that the store told of."""
        states = {
            domain: state
            for domain, state in self.evacuated.states.items()
            if state.is_evacuated
        }
        agents = self.list_agents(states)
        for domain, state in states.items():
            notice = EvacuationNotice(domain, True, state.era, state.revision)
            self.notify_some(notice, agents[domain])

    def handle_transition(self, transition: Transition) -> None:
        """Notify agents of a change that the store told of."""
        if transition.source == "store":
            domain = transition.domain
            notice = EvacuationNotice(
                domain,
                transition.is_evacuated,
                transition.era,
                transition.revision,
            )
            self.notify_some(notice, self.list_agents((domain,))[domain])

    def list_agents(
        self, domains: Collection[str]
    ) -> dict[str, list[Address]]:
        """Return the agents of each of some domains.

        All targets are looked at once, since there may be 38,000.
        """
        agents: dict[str, list[Address]] = {name: [] for name in domains}
        if agents:
            for member in self.directory.members.values():
                if member.target.domain in agents:
                    agents[member.target.domain].append(member.target.agent)
        return agents

    def notify_some(
        self, notice: EvacuationNotice, agents: list[Address]
    ) -> None:
        """Send a notice to some agents of its domain, drawn at random."""
        body = encode_notice(notice)
        count = min(EVACUATION_NOTICES, len(agents))
        for agent in self.random.sample(agents, count):
            self.sender.send(MessageKind.EVACUATION, body, agent)

    def handle_return(self, header: ReturnHeader, agent: Address) -> None:
        """Handle an opening packet that an agent declined for an evacuation.

        If the store has not been read up to the agent's notice, the notice
        holds until it is. If it has been, the notice is out of date. One of
        another era says nothing about this one; it is out of date too if the
        evacuation was seen taken back in that era.
        """
        member = self.directory.find_by_host(agent.host)
        if member is None:
            return
        evacuated = self.evacuated
        domain = member.target.domain
        evacuated.record_declined(agent)
        if evacuated.is_evacuated(domain):
            return
        position = evacuated
        if header.era != evacuated.era:
            position = evacuated.states.get(domain)
            if (
                position is None
                or position.era != header.era
                or position.revision < header.revision
            ):
                return
        elif evacuated.revision < header.revision:
            evacuated.record_heard(domain, header.era, header.revision)
            return
        notice = EvacuationNotice(
            domain, False, position.era, position.revision
        )
        self.sender.send(MessageKind.EVACUATION, encode_notice(notice), agent)
