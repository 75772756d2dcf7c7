"""Load and suspension of each target, as a balancer learns from traffic."""

from chicorycart.address import Address
from chicorycart.clock import Clock
from chicorycart.operation.events import EventLog
from chicorycart.steering.limits import MAX_LOAD_AGE_SECONDS
from chicorycart.steering.limits import MAX_SUSPENSION_SECONDS
from chicorycart.steering.limits import RATE_SECONDS
from chicorycart.steering.limits import SUSPENSION_SECONDS
from chicorycart.steering.members import Member
from chicorycart.steering.messages import TargetLoad
from chicorycart.steering.work_times import MILLISECONDS
from chicorycart.steering.work_times import WorkTimes


class TargetHealth:
    """Load and suspension of one target.

    Attributes
    ----------
    load : TargetLoad or None
        Load that its agent reported last.
    load_at : float
        Time of that report.
    sent : int
        Opening flows offered to it since that report.
    failures : int
        Suspensions in a row, without an answer between them.
    suspended_until : float
        Time until which it gets no opening flows while another target can
        take them.
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
        Logs each suspension and its end.

    Attributes
    ----------
    targets : dict of Address to TargetHealth
        Health of the targets that were offered flows or heard.
    times : WorkTimes
        Median time of work of each service's targets.
    """

    __slots__ = ("clock", "events", "targets", "times")

    def __init__(self, clock: Clock, events: EventLog):
        self.clock = clock
        self.events = events
        self.targets: dict[Address, TargetHealth] = {}
        self.times = WorkTimes(clock)

    def find(self, agent: Address) -> TargetHealth:
        """Return the health of a target; adds an entry if it has none."""
        health = self.targets.get(agent)
        if health is None:
            health = self.targets[agent] = TargetHealth()
        return health

    def record_offer(self, agent: Address) -> None:
        """Count an opening flow that was offered to a target."""
        self.find(agent).sent += 1

    def withdraw_offer(self, agent: Address, offered_at: float) -> None:
        """Count an offer no longer that its target has not reported on."""
        health = self.find(agent)
        if health.sent and health.load_at < offered_at:
            health.sent -= 1

    def record_answer(self, agent: Address, load: TargetLoad) -> None:
        """Record the load that a live target reported; end its suspension."""
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

    def was_heard_since(self, agent: Address, since: float) -> bool:
        """Tell whether an agent sent a message after some time."""
        health = self.targets.get(agent)
        return (
            health is not None
            and health.load is not None
            and health.load_at >= since
        )

    def suspend(self, agent: Address, reason: str) -> None:
        """Suspend a target that did not answer or is stopping.

        The time doubles with each suspension in a row, up to a limit.
        """
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
        """Tell whether a target is suspended now."""
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
        """Tell whether all slots of a target are known to be in use."""
        work = self.find_current_load(agent)
        return work is not None and work >= slots

    def has_room(self, agent: Address, limit: int) -> bool:
        """Tell whether a target may have less work than a limit.

        A target whose last load report is out of date gets one flow at a
        time.
        """
        work = self.find_current_load(agent)
        if work is None:
            health = self.targets.get(agent)
            return health is None or health.sent == 0
        return work < limit

    def find_current_load(self, agent: Address) -> int | None:
        """Return the work of a target, if its load report is recent.

        That is its requests in progress and the flows offered since.
        """
        health = self.targets.get(agent)
        if (
            health is None
            or health.load is None
            or self.clock.now() - health.load_at >= MAX_LOAD_AGE_SECONDS
        ):
            return None
        return health.load.in_progress + health.sent

    def estimate_load(self, agent: Address) -> float:
        """Return the expected work of a target.

        That is its requests in progress, the flows offered since they were
        reported, and its mean number of requests in progress, which stands
        for the requests to come on its open flows.
        """
        health = self.targets.get(agent)
        if health is None:
            return 0.0
        if health.load is None:
            return health.sent
        load = health.load
        return load.in_progress + load.mean_in_progress + health.sent

    def find_recent_rate(self, agent: Address) -> TargetLoad | None:
        """Return a target's last report if its times of work still count."""
        health = self.targets.get(agent)
        if health is None or self.clock.now() - health.load_at >= RATE_SECONDS:
            return None
        return health.load

    def find_work_ms(self, agent: Address) -> float:
        """Return a target's time of work in ms; 0 if unknown or too old."""
        load = self.find_recent_rate(agent)
        return load.work_ms if load is not None else 0.0

    def refresh_times(self, service: str, members: list[Member]) -> None:
        """Refresh the median time of work of a service if it is due."""
        if self.times.is_due(service):
            agents = [member.target.agent for member in members]
            self.times.refresh(service, map(self.find_work_ms, agents))

    def estimate_time(self, member: Member, aim_seconds: float = 0.0) -> float:
        """Return the expected time to a target's answer to a new flow.

        Parameters
        ----------
        member : Member
            The target.
        aim_seconds : float, optional
            Delay of a caller whose request fails, in seconds.

        Returns
        -------
        float
            In units of the median time of work of the target's service, so
            that it is the work per slot, with the flow, where all targets are
            alike.
        """
        agent = member.target.agent
        service = member.listing.service
        work = (self.estimate_load(agent) + 1) / member.target.slots
        middle = self.times.find_median(service)
        load = self.find_recent_rate(agent)
        if not middle or load is None:
            return work
        delay = load.failed_share * aim_seconds * MILLISECONDS / middle
        return work * self.times.find_ratio(service, load.work_ms) + delay

    def estimate_seconds(self, member: Member) -> float:
        """Return the least time in seconds to a target's answer to a flow.

        That is the work that it surely has, with the flow; 0 if its time of
        work is unknown.
        """
        agent = member.target.agent
        work = (self.find_current_load(agent) or 0) + 1
        slots = member.target.slots
        return max(work / slots, 1) * self.find_work_ms(agent) / MILLISECONDS

    def forget(self, agent: Address) -> None:
        """Drop the entry of a target that is gone."""
        self.targets.pop(agent, None)
