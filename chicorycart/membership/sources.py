"""Whose system datagrams are taken."""

from collections import Counter
from collections import OrderedDict
from collections.abc import Iterable

from chicorycart.clock import Clock
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Service
from chicorycart.defaults import DEPARTED_SOURCE_SECONDS
from chicorycart.defaults import MAX_DEPARTED_SOURCES
from chicorycart.membership.instances import Instance


class KnownSources:
    """Addresses of instances on the list and of agents in the configuration.

    An address that left both stays known for as long as it is heard, since
    the list lags and may be wrong, and an agent that left the configuration
    still owns flows.

    Parameters
    ----------
    clock : Clock
        Ages the addresses that left.
    """

    __slots__ = ("clock", "listed", "configured", "services", "departed")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.listed: set[str] = set()
        self.configured: Counter[str] = Counter()
        self.services: dict[str, Service] = {}
        self.departed: OrderedDict[str, float] = OrderedDict()

    def is_known(self, host: str) -> bool:
        """Tell whether an instance of the system has this address."""
        if host in self.listed or host in self.configured:
            return True
        last_contact_at = self.departed.get(host)
        if last_contact_at is None:
            return False
        now = self.clock.now()
        if now - last_contact_at > DEPARTED_SOURCE_SECONDS:
            del self.departed[host]
            return False
        self.departed[host] = now
        self.departed.move_to_end(host)
        return True

    def change_configuration(self, configuration: Configuration) -> None:
        """Take the agents of a configuration that came into force.

        Only services that changed are gone over, since there are thousands
        and most changes are of one.
        """
        before = self.services
        self.services = configuration.services
        departed = [
            host
            for name, service in before.items()
            if self.services.get(name) is not service
            for host in list_hosts(service)
        ]
        for name, service in self.services.items():
            if before.get(name) is not service:
                self.configured.update(list_hosts(service))
        self.configured.subtract(departed)
        for host in departed:
            if not self.configured[host]:
                del self.configured[host]
        self.note_departed(departed)

    def change_instances(self, instances: list[Instance]) -> None:
        """Take the addresses of an instance list."""
        before = self.listed
        self.listed = {instance.data.host for instance in instances}
        self.note_departed(before)

    def note_departed(self, before: Iterable[str]) -> None:
        """Keep the addresses that are no longer listed, within a bound."""
        now = self.clock.now()
        for host in before:
            if host not in self.listed and host not in self.configured:
                self.departed[host] = now
                self.departed.move_to_end(host)
        while len(self.departed) > MAX_DEPARTED_SOURCES:
            self.departed.popitem(last=False)


def list_hosts(service: Service) -> list[str]:
    """Return the addresses of the agents of a service."""
    return [target.agent.host for target in service.targets]
