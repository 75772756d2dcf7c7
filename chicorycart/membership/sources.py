"""Decides from which addresses datagrams are accepted."""

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
    """Holds the addresses of listed instances and of configured agents.

    An address that is removed from both stays known for as long as it sends
    datagrams, since the list lags and may be wrong, and since an agent that
    left the configuration still owns flows. It is forgotten after
    `DEPARTED_SOURCE_SECONDS` of silence.

    Parameters
    ----------
    clock : Clock
        Measures the silence of removed addresses.

    Attributes
    ----------
    listed : set of str
        Addresses on the instance list.
    configured : Counter of str
        Number of configured targets by the address of their agent.
    departed : OrderedDict of str to float
        Time of the removal of each address or of its last datagram since,
        oldest first.
    """

    __slots__ = ("clock", "listed", "configured", "services", "departed")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.listed: set[str] = set()
        self.configured: Counter[str] = Counter()
        self.services: dict[str, Service] = {}
        self.departed: OrderedDict[str, float] = OrderedDict()

    def is_known(self, host: str) -> bool:
        """Return whether datagrams from an address are accepted."""
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
        """Update the agents' addresses to a new configuration.

        Only changed services are processed, since there are thousands and
        most changes concern a single one.
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
        self.add_departed(departed)

    def change_instances(self, instances: list[Instance]) -> None:
        """Update the instances' addresses to a new list."""
        before = self.listed
        self.listed = {instance.data.host for instance in instances}
        self.add_departed(before)

    def add_departed(self, before: Iterable[str]) -> None:
        """Remember the removed addresses, up to `MAX_DEPARTED_SOURCES`."""
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
