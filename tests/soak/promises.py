"""Checks what callers, hosts and the operator of a soak saw."""

from asyncio import get_running_loop

STABLE_SECONDS = 4.0
"""As the platform's pages have it for the standard sites: time without a
disturbance after which bounds hold."""

APPLY_SECONDS = 3.0
DRAIN_SECONDS = 3.0
GRACE_SECONDS = 6.0
MEMORY_KB = 114 * 1024
"""Memory of the smallest machine of the users' deployments."""


class Promises:
    """Keeps what was seen, and the promises that it broke.

    Attributes
    ----------
    broken : list of str
        One line for each broken promise.
    disturbed : list of (float, float)
        Spans in which callers may wait, entries that lapsed included.
    detached : list of (float, float)
        Spans in which a process or its way to the store was disturbed.
    store_disturbed : list of (float, float)
        Those among them that the store as a whole suffered.
    allowed : dict of entry to list of (float, str or None)
        Services that each entry led to, with the time from which.
    draining : dict of str to float
        Time since when a host drains, by its name.
    """

    def __init__(self):
        self.broken = []
        self.disturbed = []
        self.detached = []
        self.store_disturbed = []
        self.allowed = {}
        self.draining = {}
        self.started_at = get_running_loop().time()

    @property
    def now(self):
        """Seconds since the start."""
        return get_running_loop().time() - self.started_at

    def break_promise(self, text):
        """Note a broken promise."""
        self.broken.append(f"{self.now:.2f} s: {text}")

    def disturb(self, seconds, detached_seconds, is_of_store=False):
        """Note a disturbance that begins now.

        Parameters
        ----------
        seconds : float
            Time in which callers may wait.
        detached_seconds : float
            Time of the disturbance itself.
        is_of_store : bool
            Whether the store as a whole suffers it.
        """
        now = self.now
        self.disturbed.append((now, now + seconds))
        self.detached.append((now, now + detached_seconds))
        if is_of_store:
            self.store_disturbed.append(self.detached[-1])

    def is_calm(self, since):
        """Tell whether callers are served at once from a time on until now."""
        return not overlaps(self.disturbed, since - STABLE_SECONDS, self.now)

    def is_in_touch(self):
        """Tell whether bounds hold now, also for what came before.

        STABLE_SECONDS after the end of a disturbance they do.
        """
        now = self.now
        return not overlaps(self.detached, now - STABLE_SECONDS, now)

    def was_store_stable(self, at):
        """Tell whether what the store acknowledged at a time has a bound."""
        return not overlaps(self.store_disturbed, at - STABLE_SECONDS, at)

    def configure(self, routes):
        """Note where each entry leads from now on."""
        for entry in {*self.allowed, *routes}:
            self.allowed.setdefault(entry, []).append(
                (self.now, routes.get(entry))
            )

    def check_answer(self, caller, answer):
        """Check that an answer belongs to a request of its caller."""
        if answer.partition(b":")[2] not in caller.bodies:
            self.break_promise(f"{caller.address} got {answer!r}")

    def check_reset(self, caller, owner):
        """Check that no flow is reset that its live host holds."""
        if owner is not None:
            self.break_promise(
                f"{caller.address} was reset, {owner.name} holds its flow"
            )

    def check_opening(self, host, entry):
        """Check that a host may be given a new flow."""
        now = self.now
        drained_at = self.draining.get(host.name)
        if drained_at is not None:
            since = now - drained_at
            if (
                since > DRAIN_SECONDS
                and self.is_in_touch()
                and self.was_store_stable(drained_at)
            ):
                self.break_promise(
                    f"{host.name} got a new flow {since:.1f} s into its drain"
                )
        services = self.allowed.get(entry, [])
        if host.service not in [service for _, service in services]:
            self.break_promise(f"{host.name} got a flow to {entry}")
            return
        changed_at, current = services[-1]
        late = now - changed_at
        if (
            current != host.service
            and late > APPLY_SECONDS
            and self.is_in_touch()
        ):
            self.break_promise(
                f"{host.name} got a flow to {entry} {late:.1f} s after it"
                f" went to {current}"
            )

    def check_ran(self, hosts):
        """Check that no request ran twice."""
        ran = {}
        for host in hosts:
            for body in host.ran:
                ran.setdefault(body, []).append(host.name)
        for body, names in ran.items():
            if len(names) > 1:
                self.break_promise(f"{body!r} ran at {', '.join(names)}")

    def check_exit(self, name, code, seconds):
        """Check that a process that was told to stop ended well."""
        if code != 0 or seconds > GRACE_SECONDS:
            self.break_promise(f"{name} ended with {code} in {seconds:.1f} s")

    def check_memory(self, name, kilobytes):
        """Check that a process never took more than a small machine has."""
        if kilobytes > MEMORY_KB:
            self.break_promise(f"{name} took {kilobytes} kB")


def overlaps(spans, start, end):
    """Tell whether one of some spans has a part between two times."""
    return any(begin < end and until > start for begin, until in spans)
