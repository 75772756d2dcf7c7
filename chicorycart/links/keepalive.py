"""Finds out that a connection between two processes has gone silent."""

from asyncio import timeout
from collections.abc import Awaitable
from collections.abc import Callable

from chicorycart.clock import Clock
from chicorycart.defaults import KEEPALIVE_SECONDS
from chicorycart.defaults import KEEPALIVE_TIMEOUT_SECONDS
from chicorycart.links.errors import SilentLinkError
from chicorycart.membership.pauses import PauseDetector


class Keepalive:
    """Sends heartbeats on a connection and measures the peer's silence.

    The owner of the connection calls `note_received` for whatever arrives
    and runs `watch` beside its reading; when that raises, it closes the
    connection and opens a new one.

    Parameters
    ----------
    clock : Clock
        Measures the silence.
    send_heartbeat : callable
        Writes one heartbeat to the connection.
    """

    __slots__ = ("clock", "send_heartbeat", "last_contact_at")

    def __init__(
        self, clock: Clock, send_heartbeat: Callable[[], Awaitable[None]]
    ):
        self.clock = clock
        self.send_heartbeat = send_heartbeat
        self.last_contact_at = clock.now()

    def note_received(self) -> None:
        """Take note that the peer was heard."""
        self.last_contact_at = self.clock.now()

    async def watch(self, detector: PauseDetector) -> None:
        """Send heartbeats until the peer is silent for too long.

        Raises
        ------
        SilentLinkError
            If nothing was heard within the timeout.
        """
        while True:
            await self.send_in_time()
            if await detector.sleep(KEEPALIVE_SECONDS):
                self.note_received()
            silence = self.clock.now() - self.last_contact_at
            if silence > KEEPALIVE_TIMEOUT_SECONDS:
                raise SilentLinkError(f"peer silent for {silence:.1f} s")

    async def send_in_time(self) -> None:
        """Send one heartbeat; a connection that takes none is silent."""
        try:
            async with timeout(KEEPALIVE_TIMEOUT_SECONDS):
                await self.send_heartbeat()
        except TimeoutError as error:
            raise SilentLinkError("peer takes no heartbeat") from error
