"""Runs one daemon until a signal ends it."""

from asyncio import Event
from asyncio import get_running_loop
from collections.abc import Callable
from signal import SIGINT
from signal import SIGTERM
from typing import Protocol


class Daemon(Protocol):
    """A balancer or an agent."""

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""


async def serve(make_daemon: Callable[[], Daemon]) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    stop = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stop.set)
    await make_daemon().run(stop)
