"""Waits for the work of a stopping daemon to end."""

from asyncio import sleep
from asyncio import timeout
from collections.abc import Callable

from logbook import Logger

from chicorycart.defaults import STOP_POLL_SECONDS

LOGGER = Logger("stop")


async def wait_until(
    is_done: Callable[[], bool], seconds: float | None
) -> bool:
    """Wait until the work is done.

    Parameters
    ----------
    is_done : callable
        Tells whether any work is left.
    seconds : float or None
        Bound that the operator set; None waits for as long as it takes.

    Returns
    -------
    bool
        Whether the work was done within the bound.
    """
    try:
        async with timeout(seconds):
            while True:
                if is_done():
                    return True
                await sleep(STOP_POLL_SECONDS)
    except TimeoutError:
        LOGGER.warning("event=stop_bound_reached seconds={}", seconds)
        return False
