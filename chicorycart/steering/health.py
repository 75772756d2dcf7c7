"""What traffic tells a balancer of each target: load and silence."""

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.operation.events import EventLog
from chicorycart.steering.limits import MAX_LOAD_AGE_SECONDS
from chicorycart.steering.limits import MAX_SUSPENSION_SECONDS
from chicorycart.steering.limits import SUSPENSION_SECONDS
from chicorycart.steering.messages import TargetLoad


class TargetHealth:
    """What is known of one target.

    Attributes
    ----------
    load : TargetLoad or None
        Its load as its agent reported it last.
    load_at : float
        Time of that report.
    sent : int
        Opening flows sent to it since then.
    failures : int
        Opening flows in a row that it gave no word of.
    suspended_until : float
        Time until which it gets no opening flows while others can.
    """

    __slots__ = ("load", "load_at", "sent", "failures", "suspended_until")

    def __init__(self):
        self.load: TargetLoad | None = None
        self.load_at = 0.0
        self.sent = 0
        self.failures = 0
        self.suspended_until = 0.0


class HealthTable:
    """Health of all targets by the address of their agents.

    Parameters
    ----------
    clock : Clock
        Measures suspensions.
    events : EventLog
        Logs each change of belief.
    """

    __slots__ = ("clock", "events", "targets")

    def __init__(self, clock: Clock, events: EventLog):
        self.clock = clock
        self.events = events
        self.targets: dict[Address, TargetHealth] = {}

    def find(self, agent: Address) -> TargetHealth:
        """Return what is known of a target."""
        health = self.targets.get(agent)
        if health is None:
            health = self.targets[agent] = TargetHealth()
        return health

    def record_offer(self, agent: Address) -> None:
        """Take note of an opening flow that was sent."""
        self.find(agent).sent += 1

    def record_answer(self, agent: Address, load: TargetLoad) -> None:
        """Take note of any word of a target that is well."""
        health = self.find(agent)
        health.load = load
        health.load_at = self.clock.now()
        health.sent = 0
        if health.failures:
            self.events.record(
                "target_heard", "agent={} silences={}", agent, health.failures
            )
            health.failures = 0
            health.suspended_until = 0.0

    def suspend(self, agent: Address, reason: str) -> None:
        """Suspend a target that gave no word, or told that it is down."""
        health = self.find(agent)
        now = self.clock.now()
        if now < health.suspended_until:
            return
        seconds = min(
            SUSPENSION_SECONDS * 2**health.failures, MAX_SUSPENSION_SECONDS
        )
        health.failures += 1
        health.suspended_until = now + seconds
        self.events.record(
            "target_suspended",
            "agent={} reason={!r} silences={} seconds={}",
            agent,
            reason,
            health.failures,
            seconds,
        )

    def is_suspended(self, agent: Address) -> bool:
        """Tell whether a target gets no opening flows for now."""
        health = self.targets.get(agent)
        return health is not None and self.clock.now() < health.suspended_until

    def list_suspended(self) -> list[Address]:
        """Return the agents whose targets are suspended now."""
        now = self.clock.now()
        return [
            agent
            for agent, health in self.targets.items()
            if now < health.suspended_until
        ]

    def is_busy(self, agent: Address, slots: int) -> bool:
        """Tell whether a target surely works on as much as it can at once."""
        work = self.find_current_load(agent)
        return work is not None and work >= slots

    def has_room(self, agent: Address, limit: int) -> bool:
        """Tell whether a target may have less work than a limit.

        One flow at a time is offered to a target whose load was told too
        long ago to know.
        """
        work = self.find_current_load(agent)
        if work is None:
            health = self.targets.get(agent)
            return health is None or health.sent == 0
        return work < limit

    def find_current_load(self, agent: Address) -> int | None:
        """Return the work of a target if its load was told just now."""
        health = self.targets.get(agent)
        if (
            health is None
            or health.load is None
            or self.clock.now() - health.load_at >= MAX_LOAD_AGE_SECONDS
        ):
            return None
        return health.load.in_progress + health.sent

    def estimate_load(self, agent: Address) -> float:
        """Return the work that a target has and will have.

        That is its requests in progress, with the flows sent since they
        were told, and those that its long flows bring on average.
        """
        health = self.targets.get(agent)
        if health is None:
            return 0.0
        if health.load is None:
            return health.sent
        load = health.load
        return load.in_progress + load.mean_in_progress + health.sent

    def forget(self, agent: Address) -> None:
        """Drop what is known of a target that is gone."""
        self.targets.pop(agent, None)
