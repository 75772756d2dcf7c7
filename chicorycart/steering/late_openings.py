"""Tells which waiting opening packets cannot be answered in time any more."""

from chicorycart.steering.choice import TargetChoice
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.health import HealthTable
from chicorycart.steering.limits import QUEUE_PER_SLOT


class LateOpenings:
    """Compares what is left of a timeout with the expected time to an answer.

    Parameters
    ----------
    choice : TargetChoice
        Chooses targets.
    health : HealthTable
        Load and times of work of each target.
    """

    __slots__ = ("choice", "health")

    def __init__(self, choice: TargetChoice, health: HealthTable):
        self.choice = choice
        self.health = health

    def is_too_late(self, state: SteeredFlow) -> bool:
        """Tell whether no answer is expected before a route's timeout.

        The targets are only ranked if one whose slots and queue are full
        would be too late.
        """
        waited = self.health.clock.now() - state.arrived_at
        left = state.level.timeout_seconds - waited
        shortest = self.health.times.find_shortest(state.service)
        if shortest * (QUEUE_PER_SLOT + 1) <= left:
            return False
        member = self.choice.choose(
            state.service, state.flow, (), state.level.aim_seconds
        )
        return (
            member is not None and self.health.estimate_seconds(member) > left
        )
