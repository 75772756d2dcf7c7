"""Probes of suspended and leaving targets, and the agents' answers."""

from asyncio import sleep
from typing import Protocol

from chicorycart.address import Address
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.steering.directory import Directory
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import ENDED_PROBE_SECONDS
from chicorycart.steering.limits import LEAVING_PROBE_SECONDS
from chicorycart.steering.limits import LEAVING_SILENCE_SECONDS
from chicorycart.steering.limits import MAX_UNANSWERED_FIRST_PROBES
from chicorycart.steering.limits import MAX_UNANSWERED_PROBES
from chicorycart.steering.limits import MAX_UNANSWERED_UNCONFIGURED_PROBES
from chicorycart.steering.limits import MIN_UNANSWERED_QUESTIONS
from chicorycart.steering.limits import PROBE_INTERVAL_SECONDS
from chicorycart.steering.messages import encode_probe_answer
from chicorycart.steering.messages import TargetLoad
from chicorycart.steering.vanished_targets import VanishedTarget


class LoadSource(Protocol):
    """Source of a host's load and responsiveness."""

    def is_host_unresponsive(self) -> bool:
        """Tell whether the host left an opening packet unanswered too long."""

    def describe_load(self) -> TargetLoad:
        """Return the load of the host."""


class TargetProber:
    """Probes targets that may be alive.

    An answer ends the suspension of a suspended target. A leaving target
    whose agent answers no more has ended, if listed targets answer meanwhile;
    it is probed on, so that a fault of the network does not end it for good.

    Parameters
    ----------
    directory : Directory
        Known targets; entries of others are dropped instead of probed.
    health : HealthTable
        Tells which targets are suspended, and which were heard.
    sender : Sender
        Sends to agents.

    Attributes
    ----------
    controls : int
        Listed targets that were probed beside leaving ones so far.
    """

    __slots__ = ("directory", "health", "sender", "controls")

    def __init__(
        self,
        directory: Directory,
        health: HealthTable,
        sender: Sender,
    ):
        self.directory = directory
        self.health = health
        self.sender = sender
        self.controls = 0

    async def run(self) -> None:
        """Probe periodically until cancelled."""
        while True:
            await sleep(PROBE_INTERVAL_SECONDS)
            self.probe_once()

    def probe_once(self) -> None:
        """Send one probe to each target whose state is not known."""
        for agent in self.health.list_suspended():
            if self.directory.is_known(agent.host):
                self.sender.send(MessageKind.PROBE, b"", agent)
            else:
                self.health.forget(agent)
        now = self.health.clock.now()
        due = [
            vanished
            for vanished in self.directory.vanished.list_probed()
            if now - vanished.probed_at >= find_probe_interval(vanished)
        ]
        if due:
            control = self.probe_control()
            for vanished in due:
                self.probe_vanished(vanished, control)

    def probe_vanished(
        self, vanished: VanishedTarget, control: Address | None
    ) -> None:
        """Probe a target whose silence proves that it holds no flows.

        An unanswered probe counts only if that of the control was answered:
        otherwise the own link may have lost both.
        """
        agent = vanished.target.agent
        if self.health.was_heard_since(agent, vanished.probed_at):
            if not vanished.questions:
                self.directory.vanished.record_heard(vanished)
            vanished.unanswered_probes = 0
        elif vanished.control is not None and self.health.was_heard_since(
            vanished.control, vanished.probed_at
        ):
            vanished.unanswered_probes += 1
        now = self.health.clock.now()
        reason = find_end_reason(vanished, now)
        if reason is not None and not vanished.has_ended:
            self.directory.vanished.record_end(vanished, reason)
            if vanished.unanswered_probes:
                # Its agent's next word shows that the host may live.
                vanished.questions = 0
        vanished.probed_at = now
        vanished.control = control
        self.sender.send(MessageKind.PROBE, b"", agent)

    def probe_control(self) -> Address | None:
        """Probe a listed target, another one each time; return its agent."""
        members = list(self.directory.members.values())
        if not members:
            return None
        agent = members[self.controls % len(members)].target.agent
        self.controls += 1
        self.sender.send(MessageKind.PROBE, b"", agent)
        return agent


def find_probe_interval(vanished: VanishedTarget) -> float:
    """Return the time in seconds between two probes of a target."""
    return ENDED_PROBE_SECONDS if vanished.has_ended else LEAVING_PROBE_SECONDS


def find_end_reason(vanished: VanishedTarget, now: float) -> str | None:
    """Return why the host of a probed target has ended; None if it may live.

    A leaving target that was never heard needs fewer probes: the history names
    all that left in the last seconds, most of which have ended.
    """
    if not vanished.was_draining:
        limit = MAX_UNANSWERED_UNCONFIGURED_PROBES
        is_absent = vanished.unanswered_probes >= limit
        return "no agent answers" if is_absent else None
    limit = (
        MAX_UNANSWERED_PROBES
        if vanished.was_heard
        else MAX_UNANSWERED_FIRST_PROBES
    )
    if vanished.unanswered_probes >= limit:
        return "its agent is silent"
    if (
        vanished.questions >= MIN_UNANSWERED_QUESTIONS
        and now - vanished.asked_at >= LEAVING_SILENCE_SECONDS
    ):
        return "its host is silent"
    return None


class ProbeResponder:
    """Answers probes with the host's load while the host is responsive.

    Parameters
    ----------
    source : LoadSource
        Load and responsiveness of the own host.
    sender : Sender
        Sends to balancers.
    """

    __slots__ = ("source", "sender")

    def __init__(self, source: LoadSource, sender: Sender):
        self.source = source
        self.sender = sender

    def receive(self, body: bytes, source: Address) -> None:
        """Answer a balancer's probe; no answer if the host is unresponsive."""
        if self.source.is_host_unresponsive():
            return
        answer = encode_probe_answer(self.source.describe_load())
        self.sender.send(MessageKind.PROBE_ANSWER, answer, source)
