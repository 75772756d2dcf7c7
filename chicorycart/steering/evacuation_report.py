"""Shows operators which failure domains are evacuated."""

from typing import Any

from logbook import Logger

from chicorycart.steering.directory import Directory
from chicorycart.steering.evacuation import EvacuatedDomains
from chicorycart.steering.evacuation_state import Transition
from chicorycart.steering.flows import FlowCache

LOGGER = Logger("evacuation")


class EvacuationReport:
    """Logs evacuations and describes them on the status page.

    Parameters
    ----------
    evacuated : EvacuatedDomains
        The evacuations.
    directory : Directory
        Targets of each domain.
    flows : FlowCache
        Flows that this balancer knows.
    """

    __slots__ = ("evacuated", "directory", "flows")

    def __init__(
        self,
        evacuated: EvacuatedDomains,
        directory: Directory,
        flows: FlowCache,
    ):
        self.evacuated = evacuated
        self.directory = directory
        self.flows = flows
        evacuated.listeners.append(self.log)

    def log(self, transition: Transition) -> None:
        """Log that a domain was evacuated or taken back."""
        if transition.is_evacuated:
            LOGGER.info(
                "event=domain_evacuated domain={!r} revision={} targets={}"
                " open_flows={} source={}",
                transition.domain,
                transition.revision,
                self.count_targets(transition.domain),
                self.count_open_flows(transition.domain),
                transition.source,
            )
        else:
            LOGGER.info(
                "event=domain_restored domain={!r} revision={} seconds={:.1f}",
                transition.domain,
                transition.revision,
                transition.seconds,
            )

    def describe(self) -> list[dict[str, Any]]:
        """Return the evacuated domains for the status page."""
        described = []
        for domain in sorted(self.evacuated.current):
            state = self.evacuated.states.get(domain)
            is_stored = state is not None and state.is_evacuated
            known = state if is_stored else self.evacuated.heard[domain]
            described.append(
                {
                    "domain": domain,
                    "era": known.era,
                    "revision": known.revision,
                    "unconfirmed": is_stored and state.is_former,
                    "source": "store" if is_stored else "agent",
                    "open_flows": self.count_open_flows(domain),
                }
            )
        return described

    def count_targets(self, domain: str) -> int:
        """Return the number of known targets of a domain."""
        members = self.directory.members.values()
        return sum(member.target.domain == domain for member in members)

    def count_open_flows(self, domain: str) -> int:
        """Return the number of known flows that targets of a domain hold."""
        agents = {
            known.target.agent
            for known in (
                *self.directory.members.values(),
                *self.directory.vanished.list_all(),
            )
            if known.target.domain == domain
        }
        return sum(
            state.is_confirmed and state.agent in agents
            for state in self.flows.flows.values()
        )
