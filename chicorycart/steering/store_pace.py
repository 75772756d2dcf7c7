"""How often a balancer calls the store, by the platform's bounds."""

from chicorycart.steering.limits import GATHER_BOUND_SHARE
from chicorycart.steering.limits import GATHER_SECONDS
from chicorycart.steering.limits import MIN_WATCH_SECONDS
from chicorycart.steering.limits import WATCH_BOUND_SHARE
from chicorycart.steering.limits import WATCH_SECONDS
from chicorycart.steering.settings import Bounds


def limit_watch_seconds(bounds: Bounds) -> float:
    """Return how long the store may hold one watch open.

    It leaves enough of the platform's tightest bound to apply a change, so
    that also a connection that went silent is replaced in time.
    """
    return max(
        MIN_WATCH_SECONDS,
        min(WATCH_SECONDS, WATCH_BOUND_SHARE * find_tightest(bounds)),
    )


def limit_gather_seconds(bounds: Bounds) -> float:
    """Return the pause between two calls of the store."""
    return max(GATHER_SECONDS, GATHER_BOUND_SHARE * find_tightest(bounds))


def find_tightest(bounds: Bounds) -> float:
    """Return the shortest time in which a change must be in force."""
    return min(
        bounds.apply_seconds,
        bounds.drain_seconds,
        bounds.evacuate_seconds or bounds.drain_seconds,
    )
