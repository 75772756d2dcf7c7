"""Probes of suspended targets, and the agents' answers to them."""

from asyncio import sleep
from typing import Protocol

from chicorycart.address import Address
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.steering.directory import Directory
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import PROBE_INTERVAL_SECONDS
from chicorycart.steering.messages import encode_probe_answer
from chicorycart.steering.messages import TargetLoad


class LoadSource(Protocol):
    """Source of a host's load and responsiveness."""

    def is_host_unresponsive(self) -> bool:
        """Tell whether the host left an opening packet unanswered too long."""

    def describe_load(self) -> TargetLoad:
        """Return the load of the host."""


class SuspensionProber:
    """Probes suspended targets, whose answers end the suspension.

    Parameters
    ----------
    directory : Directory
        Known targets; entries of others are dropped instead of probed.
    health : HealthTable
        Tells which targets are suspended.
    sender : Sender
        Sends to agents.
    """

    __slots__ = ("directory", "health", "sender")

    def __init__(
        self,
        directory: Directory,
        health: HealthTable,
        sender: Sender,
    ):
        self.directory = directory
        self.health = health
        self.sender = sender

    async def run(self) -> None:
        """Probe periodically until cancelled."""
        while True:
            await sleep(PROBE_INTERVAL_SECONDS)
            self.probe_once()

    def probe_once(self) -> None:
        """Send one probe to each suspended target."""
        for agent in self.health.list_suspended():
            if self.directory.is_known(agent.host):
                self.sender.send(MessageKind.PROBE, b"", agent)
            else:
                self.health.forget(agent)


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
