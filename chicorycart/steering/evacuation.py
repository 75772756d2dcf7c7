"""Failure domains that the operators evacuated, as a balancer knows them."""

from collections import OrderedDict
from collections.abc import Callable
from reprlib import repr as shorten

from logbook import Logger

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.steering.evacuation_state import DomainState
from chicorycart.steering.evacuation_state import HeardEvacuation
from chicorycart.steering.evacuation_state import Transition
from chicorycart.steering.limits import DECLINED_SECONDS
from chicorycart.steering.limits import MAX_DOMAIN_CHARACTERS
from chicorycart.steering.limits import MAX_TAKEN_BACK
from chicorycart.steering.limits import MAX_UNUSED
from chicorycart.steering.members import Member
from chicorycart.steering.published import Changes
from chicorycart.steering.published import EvacuationChange

LOGGER = Logger("evacuation")


class EvacuatedDomains:
    """Table of evacuated failure domains, whose targets get no new flows.

    The store decides. A balancer that cannot read it learns from agents that
    decline opening packets; this holds until the store has been read up to
    the revision that they name.

    Parameters
    ----------
    clock : Clock
        Measures times of evacuations.

    Attributes
    ----------
    era, revision : int
        Position in the store up to which all changes were read.
    states : OrderedDict of str to DomainState
        What the store told, by domain.
    heard : dict of str to HeardEvacuation
        Evacuations that only agents told of, by domain.
    current : frozenset of str
        Domains that are evacuated now.
    declining : dict of Address to float
        Agents that declined an opening packet because of an evacuation, and
        the time until which they are left out.
    declining_until : float
        Time at which the last of them is used again.
    listeners : list of callable
        Called with each Transition once the answer that holds it is applied.
    unused : OrderedDict of str to int
        Logged revision of each item without a usable name, by its short name.
    """

    __slots__ = (
        "clock",
        "era",
        "revision",
        "states",
        "heard",
        "current",
        "declining",
        "declining_until",
        "listeners",
        "unused",
        "transitions",
    )

    def __init__(self, clock: Clock):
        self.clock = clock
        self.era = 0
        self.revision = 0
        self.states: OrderedDict[str, DomainState] = OrderedDict()
        self.heard: dict[str, HeardEvacuation] = {}
        self.current: frozenset[str] = frozenset()
        self.declining: dict[Address, float] = {}
        self.declining_until = 0.0
        self.listeners: list[Callable[[Transition], None]] = []
        self.unused: OrderedDict[str, int] = OrderedDict()
        self.transitions: list[Transition] = []

    def is_evacuated(self, domain: str) -> bool:
        """Tell whether a domain is evacuated now."""
        return domain in self.current

    def covers(self, member: Member) -> bool:
        """Tell whether a target gets no new flows for an evacuation."""
        if member.target.domain in self.current:
            return True
        if not self.declining:
            return False
        until = self.declining.get(member.target.agent, 0.0)
        return self.clock.now() < until

    def has_any(self) -> bool:
        """Tell whether any target may be left out."""
        if self.declining and self.clock.now() >= self.declining_until:
            self.declining.clear()
        return bool(self.current or self.declining)

    def restored_at(self, domain: str) -> float | None:
        """Return when this process last saw a domain taken back.

        Returns
        -------
        float or None
            Monotonic time in seconds; None if it never did.
        """
        state = self.states.get(domain)
        return None if state is None else state.taken_back_at

    def apply(self, changes: Changes) -> None:
        """Apply the changes of a watch, in order."""
        for change in changes.evacuations:
            self.apply_change(change, changes.era)
        self.finish(changes)

    def replace(self, changes: Changes, is_restored: bool) -> None:
        """Apply a full read; an evacuation missing from it was taken back.

        Parameters
        ----------
        changes : Changes
            The answer.
        is_restored : bool
            Whether the store was restored from a copy since the last answer.
            An evacuation that the copy lacks stays in force, since it was
            acknowledged. One that was taken back stays so although the copy
            has its item.
        """
        if is_restored:
            self.mark_former()
        for change in changes.evacuations:
            if is_restored and self.is_copy_of_taken_back(change):
                state = self.states[change.domain]
                state.era = changes.era
                state.revision = change.revision
                state.is_former = False
            else:
                self.apply_change(change, changes.era)
        present = {change.domain for change in changes.evacuations}
        for domain, state in list(self.states.items()):
            if state.is_evacuated and domain not in present:
                self.handle_missing(domain, state, changes, is_restored)
        self.finish(changes)

    def handle_missing(
        self,
        domain: str,
        state: DomainState,
        changes: Changes,
        is_restored: bool,
    ) -> None:
        """Handle an evacuation that is missing from a full read."""
        if not state.is_former:
            if state.revision <= changes.revision:
                self.take_back(domain, state, changes.era, changes.revision)
        elif is_restored:
            LOGGER.warning(
                "event=evacuation_unconfirmed domain={!r} era={} revision={}"
                " reason={!r}",
                domain,
                state.era,
                state.revision,
                "missing from the copy that the store was restored from",
            )

    def apply_change(self, change: EvacuationChange, era: int) -> None:
        """Apply one change, unless a later one is known."""
        domain = change.domain
        if not is_domain_name(domain):
            self.record_unused(change)
            return
        state = self.states.get(domain)
        if (
            state is not None
            and not state.is_former
            and change.revision <= state.revision
        ):
            return
        if change.is_evacuated:
            if state is None:
                state = self.states[domain] = DomainState(era, 0)
            self.evacuate(domain, state, era, change.revision)
        elif state is not None:
            self.take_back(domain, state, era, change.revision)

    def evacuate(
        self, domain: str, state: DomainState, era: int, revision: int
    ) -> None:
        """Record that the store has an item that evacuates a domain."""
        if not state.is_evacuated:
            state.is_evacuated = True
            state.evacuated_at = self.clock.now()
        state.era = era
        state.revision = revision
        state.is_former = False
        state.record_write(revision)
        self.transitions.append(
            Transition(domain, True, era, revision, "store")
        )

    def take_back(
        self, domain: str, state: DomainState, era: int, revision: int
    ) -> None:
        """Record that the evacuation of a domain was taken back."""
        state.era = era
        state.revision = revision
        state.is_former = False
        if not state.is_evacuated:
            return
        state.is_evacuated = False
        self.record_taken_back(domain, state)

    def record_taken_back(self, domain: str, state: DomainState) -> None:
        """Record the time at which an evacuation ended, and drop old ones."""
        now = self.clock.now()
        state.taken_back_at = now
        self.transitions.append(
            Transition(
                domain,
                False,
                state.era,
                state.revision,
                "store",
                now - state.evacuated_at,
            )
        )
        self.states.move_to_end(domain)
        ended = [d for d, s in self.states.items() if not s.is_evacuated]
        if len(ended) > MAX_TAKEN_BACK:
            del self.states[ended[0]]

    def record_unused(self, change: EvacuationChange) -> None:
        """Log an item that names no domain, once for each of its writes."""
        name = shorten(change.domain)
        if not change.is_evacuated or self.unused.get(name) == change.revision:
            return
        self.unused[name] = change.revision
        if len(self.unused) > MAX_UNUSED:
            self.unused.popitem(last=False)
        LOGGER.warning(
            "event=evacuation_unused domain={} revision={} reason={!r}",
            name,
            change.revision,
            "the key names no domain",
        )

    def mark_former(self) -> None:
        """Note that the known positions are those of a former era."""
        for domain, heard in self.heard.items():
            state = self.states.setdefault(
                domain, DomainState(heard.era, heard.revision)
            )
            if not state.is_evacuated:
                state.is_evacuated = True
                state.era = heard.era
                state.revision = heard.revision
                state.evacuated_at = heard.heard_at
        self.heard.clear()
        for state in self.states.values():
            state.is_former = True

    def is_copy_of_taken_back(self, change: EvacuationChange) -> bool:
        """Tell whether a restored item is one that was taken back before."""
        state = self.states.get(change.domain)
        return (
            state is not None
            and not state.is_evacuated
            and change.revision in state.writes
        )

    def finish(self, changes: Changes) -> None:
        """Advance the position and notify the listeners.

        What agents told ends once the store has been read up to there.
        """
        self.era = changes.era
        self.revision = changes.revision
        for domain, heard in list(self.heard.items()):
            if self.revision < heard.revision:
                continue
            del self.heard[domain]
            state = self.states.setdefault(domain, DomainState(self.era, 0))
            taken_back_at = state.taken_back_at
            if not state.is_evacuated and (
                taken_back_at is None or taken_back_at < heard.heard_at
            ):
                state.era = self.era
                state.revision = self.revision
                state.evacuated_at = heard.heard_at
                self.record_taken_back(domain, state)
        self.update_current()

    def record_heard(self, domain: str, era: int, revision: int) -> None:
        """Take a domain as evacuated until the store was read up to there."""
        known = self.heard.get(domain)
        if known is not None and known.revision >= revision:
            return
        self.heard[domain] = HeardEvacuation(era, revision, self.clock.now())
        if domain not in self.current:
            self.transitions.append(
                Transition(domain, True, era, revision, "agent")
            )
        self.update_current()

    def record_declined(self, agent: Address) -> None:
        """Leave out an agent that declined an opening packet for a while."""
        now = self.clock.now()
        self.declining = {a: t for a, t in self.declining.items() if now < t}
        self.declining[agent] = self.declining_until = now + DECLINED_SECONDS

    def update_current(self) -> None:
        """Work out which domains are evacuated and notify the listeners."""
        self.current = frozenset(
            (
                *(d for d, s in self.states.items() if s.is_evacuated),
                *self.heard,
            )
        )
        transitions, self.transitions = self.transitions, []
        for transition in transitions:
            for listener in self.listeners:
                listener(transition)


def is_domain_name(name: str) -> bool:
    """Tell whether a text may name a domain, so that notices can hold it.

    JSON can hold half of a character (a lone surrogate), which UTF-8 cannot.
    """
    has_halves = any("\ud800" <= character <= "\udfff" for character in name)
    return 0 < len(name) <= MAX_DOMAIN_CHARACTERS and not has_halves
