"""Heartbeats and timeout of a connection between two processes."""

from asyncio import timeout
from collections.abc import Awaitable
from collections.abc import Callable

from chicorycart.clock import Clock
from chicorycart.defaults import KEEPALIVE_SECONDS
from chicorycart.defaults import KEEPALIVE_TIMEOUT_SECONDS
from chicorycart.links.errors import SilentLinkError
from chicorycart.membership.pauses import PauseDetector


class Keepalive:
    """Sends heartbeats on a connection and detects a silent peer.

    The owner of the connection calls `record_contact` for everything that
    it receives and runs `watch` concurrently; when `watch` raises, the owner
    closes the connection and opens a new one.

    Parameters
    ----------
    clock : Clock
        Clock of the timeout.
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

    def record_contact(self) -> None:
        """Record that something was received from the peer."""
        self.last_contact_at = self.clock.now()

    async def watch(self, detector: PauseDetector) -> None:
        """Send heartbeats until the peer sends nothing for too long.

        A pause of the own process restarts the timeout: what the peer sent
        meanwhile has not been read yet.

        Raises
        ------
        SilentLinkError
            If nothing was received, or no heartbeat could be written,
            within `KEEPALIVE_TIMEOUT_SECONDS`.
        """
        while True:
            await self.send_with_timeout()
            if await detector.sleep(KEEPALIVE_SECONDS):
                self.record_contact()
            silence = self.clock.now() - self.last_contact_at
            if silence > KEEPALIVE_TIMEOUT_SECONDS:
                raise SilentLinkError(
                    f"nothing received from the peer for {silence:.1f} s"
                )

    async def send_with_timeout(self) -> None:
        """Write one heartbeat, within the timeout.

        The write blocks while the buffers of the connection are full.
        """
        try:
            async with timeout(KEEPALIVE_TIMEOUT_SECONDS):
                await self.send_heartbeat()
        except TimeoutError as error:
            raise SilentLinkError(
                "writing a heartbeat to the peer timed out"
            ) from error
