"""Probes of suspended and leaving targets, and the agents' answers."""

from asyncio import sleep
from typing import Protocol

from chicorycart.address import Address
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.steering.directory import Directory
from chicorycart.steering.directory import VanishedTarget
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import LEAVING_PROBE_SECONDS
from chicorycart.steering.limits import LEAVING_SILENCE_SECONDS
from chicorycart.steering.limits import MAX_UNANSWERED_PROBES
from chicorycart.steering.limits import MIN_UNANSWERED_QUESTIONS
from chicorycart.steering.limits import PROBE_INTERVAL_SECONDS
from chicorycart.steering.messages import encode_probe_answer
from chicorycart.steering.messages import TargetLoad


class LoadSource(Protocol):
    """Source of a host's load and responsiveness."""

    def is_host_unresponsive(self) -> bool:
        """Tell whether the host left an opening packet unanswered too long."""

    def describe_load(self) -> TargetLoad:
        """Return the load of the host."""


class TargetProber:
    """Probes targets that may be alive.

    An answer ends the suspension of a suspended target. A leaving target
    whose agent answers no more is gone, if other agents answer meanwhile.

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
            leaving
            for leaving in self.directory.list_leaving()
            if now - leaving.probed_at >= LEAVING_PROBE_SECONDS
        ]
        for leaving in due:
            self.probe_leaving(leaving)
        if due:
            self.probe_control()

    def probe_leaving(self, leaving: VanishedTarget) -> None:
        """Probe a leaving target, or discard it after too many probes.

        A probe does not count if no agent at all was heard since: the fault
        may be here.
        """
        agent = leaving.target.agent
        if self.health.was_heard_since(agent, leaving.probed_at):
            leaving.unanswered_probes = 0
        elif self.health.last_heard_at >= leaving.probed_at:
            leaving.unanswered_probes += 1
        now = self.health.clock.now()
        if leaving.unanswered_probes >= MAX_UNANSWERED_PROBES:
            self.discard(agent, "its agent is silent")
            return
        if (
            leaving.questions >= MIN_UNANSWERED_QUESTIONS
            and now - leaving.asked_at >= LEAVING_SILENCE_SECONDS
        ):
            self.discard(agent, "its host is silent")
            return
        leaving.probed_at = now
        self.sender.send(MessageKind.PROBE, b"", agent)

    def discard(self, agent: Address, reason: str) -> None:
        """Discard a leaving target whose host has ended."""
        self.directory.discard_leaving(agent, reason)
        self.health.forget(agent)

    def probe_control(self) -> None:
        """Probe a listed target, another one each time."""
        members = list(self.directory.members.values())
        if members:
            agent = members[self.controls % len(members)].target.agent
            self.controls += 1
            self.sender.send(MessageKind.PROBE, b"", agent)


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
