"""Targets that get no new flows, but whose hosts may hold open ones."""

from collections.abc import Iterable

from logbook import Logger

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.configuration.model import Target
from chicorycart.steering.published import Listing

LOGGER = Logger("directory")


class VanishedTarget:
    """A target that is not listed any more, but whose host may be alive.

    A host of a service that no known configuration names counts as one too:
    its service may have left the configuration while it holds flows.

    Attributes
    ----------
    target : Target
        The target in the form that placement ranks.
    listing : Listing
        Its last entry.
    expires_at : float
        Time until which its host may hold flows.
    was_draining : bool
        Whether it vanished while it was draining. Its host ends soon, so
        that its silence proves that it has.
    has_ended : bool
        Whether that was proved; any word of it disproves it.
    is_unconfigured : bool
        Whether no known configuration names its service. Its entry may be one
        of another program then, and nothing at its address an agent.
    was_asked : bool
        Whether a search has sent it a packet.
    was_heard : bool
        Whether its agent was heard since it is known that it vanished, or
        was known before.
    unanswered_probes : int
        Probes in a row that its agent did not answer.
    probed_at : float
        Time of the last probe, or of the removal before the first one.
    control : Address or None
        Agent of a listed target that was probed at the same time.
    questions : int
        Packets of searches that its host did not answer, since it last
        answered one.
    asked_at : float
        Time of the first of them.
    """

    __slots__ = (
        "target",
        "listing",
        "expires_at",
        "was_draining",
        "is_unconfigured",
        "has_ended",
        "was_asked",
        "was_heard",
        "unanswered_probes",
        "probed_at",
        "control",
        "questions",
        "asked_at",
    )

    def __init__(
        self,
        target: Target,
        listing: Listing,
        expires_at: float,
        was_draining: bool,
        was_heard: bool,
        probed_at: float,
    ):
        self.target = target
        self.listing = listing
        self.expires_at = expires_at
        self.was_draining = was_draining
        self.is_unconfigured = False
        self.has_ended = False
        self.was_asked = False
        self.was_heard = was_heard
        self.unanswered_probes = 0
        self.probed_at = probed_at
        self.control: Address | None = None
        self.questions = 0
        self.asked_at = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether its host may still end its work."""
        return self.was_draining and not self.has_ended

    @property
    def keeps_rank(self) -> bool:
        """Whether it ranks for a flow as it did when flows were placed."""
        return self.is_leaving or self.is_unconfigured

    @property
    def is_probed(self) -> bool:
        """Whether probes decide if its host may hold flows."""
        return self.was_draining or (
            self.is_unconfigured and self.was_asked and not self.was_heard
        )

    @property
    def is_silent(self) -> bool:
        """Whether its agent is not expected to answer at once."""
        if self.is_unconfigured:
            return self.unanswered_probes > 0
        return not self.was_heard or self.unanswered_probes > 0


class VanishedTargets:
    """Table of vanished targets, by the address of their agents.

    Parameters
    ----------
    clock : Clock
        Measures the times below.
    flow_ttl_seconds : float
        Idle time after which a flow may be forgotten. A target that vanished
        may hold flows for that long: its host may be alive and only cut off
        from the store, or still end its work.

    Attributes
    ----------
    by_agent : dict of Address to VanishedTarget
        The targets by the address of their agent.
    changes : int
        Counts what changes the possible owners of flows: targets that vanish,
        end, or prove to be alive after all.
    """

    __slots__ = ("clock", "flow_ttl_seconds", "by_agent", "changes")

    def __init__(self, clock: Clock, flow_ttl_seconds: float):
        self.clock = clock
        self.flow_ttl_seconds = flow_ttl_seconds
        self.by_agent: dict[Address, VanishedTarget] = {}
        self.changes = 0

    def record(
        self,
        target: Target,
        listing: Listing,
        was_draining: bool,
        was_heard: bool,
    ) -> None:
        """Record a target, unless a later start of its host is known.

        Parameters
        ----------
        target : Target
            The target.
        listing : Listing
            Its last entry.
        was_draining : bool
            Whether it was draining.
        was_heard : bool
            Whether it was listed until now; otherwise only the store's
            history tells of it.
        """
        agent = target.agent
        known = self.by_agent.get(agent)
        if (
            known is not None
            and not known.is_unconfigured
            and listing.incarnation <= known.listing.incarnation
        ):
            return
        self.add(target, listing, was_draining, was_heard)

    def record_unconfigured(self, target: Target, listing: Listing) -> None:
        """Record a host whose service no known configuration names.

        It displaces no other target of its agent.
        """
        known = self.by_agent.get(target.agent)
        if known is None:
            added = self.add(target, listing, False, was_heard=False)
            added.is_unconfigured = True
        elif known.is_unconfigured:
            known.expires_at = self.clock.now() + self.flow_ttl_seconds

    def add(
        self,
        target: Target,
        listing: Listing,
        was_draining: bool,
        was_heard: bool,
    ) -> VanishedTarget:
        """Add a target, in place of a former one of its agent."""
        now = self.clock.now()
        added = VanishedTarget(
            target,
            listing,
            now + self.flow_ttl_seconds,
            was_draining,
            was_heard,
            now,
        )
        self.by_agent[target.agent] = added
        self.changes += 1
        return added

    def find(self, agent: Address) -> VanishedTarget | None:
        """Return the vanished target of an agent, if there is one."""
        return self.by_agent.get(agent)

    def discard(self, agent: Address) -> None:
        """Forget the target of an agent."""
        self.by_agent.pop(agent, None)

    def list_all(self) -> Iterable[VanishedTarget]:
        """Return all targets."""
        return self.by_agent.values()

    def list_possible_owners(self, service: str) -> list[VanishedTarget]:
        """Return the vanished targets of a service that may be alive."""
        now = self.clock.now()
        for agent in [
            a for a, v in self.by_agent.items() if now >= v.expires_at
        ]:
            del self.by_agent[agent]
        return [
            vanished
            for vanished in self.by_agent.values()
            if vanished.listing.service == service and not vanished.has_ended
        ]

    def list_probed(self) -> list[VanishedTarget]:
        """Return the targets whose silence proves that they hold no flows."""
        return [v for v in self.by_agent.values() if v.is_probed]

    def may_end(self, agent: Address) -> bool:
        """Tell whether probes may still prove that a host holds no flows."""
        vanished = self.by_agent.get(agent)
        return (
            vanished is not None
            and vanished.is_probed
            and not vanished.has_ended
        )

    def is_leaving(self, agent: Address) -> bool:
        """Tell whether an agent's host may live on after its entry's end."""
        vanished = self.by_agent.get(agent)
        return vanished is not None and vanished.is_leaving

    def is_silent(self, agent: Address) -> bool:
        """Tell whether a vanished target is not expected to answer at once."""
        vanished = self.by_agent.get(agent)
        return vanished is not None and vanished.is_silent

    def has_ended(self, agent: Address) -> bool:
        """Tell whether an agent's host seems to have ended after draining."""
        vanished = self.by_agent.get(agent)
        return vanished is not None and vanished.has_ended

    def record_question(self, agent: Address, is_answered: bool) -> None:
        """Note that a search sent a target a packet.

        Parameters
        ----------
        agent : Address
            The target's agent.
        is_answered : bool
            Whether its host has to answer the packet if it holds the flow.
        """
        vanished = self.by_agent.get(agent)
        if vanished is None:
            return
        vanished.was_asked = True
        if not is_answered:
            return
        if not vanished.questions:
            vanished.asked_at = self.clock.now()
        vanished.questions += 1

    def record_answer(self, agent: Address) -> None:
        """Note that a target's host answered, or returned, a packet."""
        vanished = self.by_agent.get(agent)
        if vanished is not None:
            vanished.questions = 0
            self.record_heard(vanished)

    def record_heard(self, vanished: VanishedTarget) -> None:
        """Note that a vanished target was heard."""
        vanished.unanswered_probes = 0
        vanished.was_heard = True
        vanished.expires_at = self.clock.now() + self.flow_ttl_seconds
        if vanished.has_ended:
            vanished.has_ended = False
            self.changes += 1
            LOGGER.warning(
                "event=target_leaving target={} agent={} reason={!r}",
                vanished.target.name,
                vanished.target.agent,
                "heard again",
            )

    def record_end(self, vanished: VanishedTarget, reason: str) -> None:
        """Record that the host of a leaving target seems to have ended."""
        vanished.has_ended = True
        self.changes += 1
        LOGGER.info(
            "event=target_gone target={} reason={!r}",
            vanished.target.name,
            reason,
        )
