"""Services of hosts as their own agents tell them."""

from chicorycart.address import Address
from chicorycart.configuration.model import hash_name
from chicorycart.steering.directory import Directory
from chicorycart.steering.entry_services import find_service
from chicorycart.steering.returns import ReturnHeader


class ServedServices:
    """Corrects what the entries in the store tell of an agent's service.

    Several entries may name one address: that of a host, one of another
    program, and one of a former host. A packet that is declined as that of
    another service was not offered to the host, which may hold its flow.

    Parameters
    ----------
    directory : Directory
        Known targets; its `told_services` are updated.
    """

    __slots__ = ("directory",)

    def __init__(self, directory: Directory):
        self.directory = directory

    def correct(self, agent: Address, header: ReturnHeader) -> bool:
        """Learn an agent's service from a packet that it declined.

        Returns
        -------
        bool
            Whether to ask the agent again: another service is known for it
            than the one under which it was asked.
        """
        known = find_service(self.directory, agent)
        if known is None or hash_name(known) != header.service:
            service = self.find_name(header.service)
            if service is not None:
                known = self.directory.told_services[agent.host] = service
        return known is not None and hash_name(known) != header.asked

    def find_name(self, service_id: int) -> str | None:
        """Return the name of a service by its hash, if an entry has it."""
        directory = self.directory
        names = {e.listing.service for e in directory.unused.list_readable()}
        names |= directory.configured_services
        names.update(
            vanished.listing.service
            for vanished in directory.vanished.list_all()
        )
        return next((n for n in names if hash_name(n) == service_id), None)
