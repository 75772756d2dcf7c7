"""Notices that the fabric sends no more packets."""

from typing import Protocol

from chicorycart.clock import Clock
from chicorycart.defaults import FABRIC_IDLE_SECONDS


class CountedSocket(Protocol):
    """A socket that counts what it reads.

    Attributes
    ----------
    received : int
        Datagrams read so far.
    """

    received: int


class IdleDetector:
    """Watches a socket for silence.

    Parameters
    ----------
    clock : Clock
        Measures the silence.
    socket : CountedSocket
        What is watched.
    """

    __slots__ = ("clock", "socket", "received", "since")

    def __init__(self, clock: Clock, socket: CountedSocket):
        self.clock = clock
        self.socket = socket
        self.received = socket.received
        self.since = clock.now()

    def is_idle(self) -> bool:
        """Tell whether nothing was read for the time of silence."""
        if self.socket.received != self.received:
            self.received = self.socket.received
            self.since = self.clock.now()
        return self.clock.now() - self.since >= FABRIC_IDLE_SECONDS
