"""The two users' services and a private piece of the loopback range."""

from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from typing import Any

from chicorycart.address import Address

LOCK_PORT = 6999
FIRST_NETWORK = 20
LAST_NETWORK = 250
ENTRY_PORT = 8080
FABRIC_PORT = 6000
DATA_PORT = 7001
CONTROL_PORT = 7002
DECAPSULATION_PORT = 7003
GATEWAY_PORT = 8081
BACKEND_PORT = 9000
PLATFORM_PORT = 8500


class Network:
    """A part ``127.N`` of the loopback range that only one world uses."""

    def __init__(self):
        self.lock = socket(AF_INET, SOCK_STREAM)
        for number in range(FIRST_NETWORK, LAST_NETWORK):
            try:
                self.lock.bind((f"127.{number}.0.1", LOCK_PORT))
            except OSError:
                continue
            self.number = number
            return
        raise RuntimeError("every part of the loopback range is in use")

    def place(self, group: int, member: int, port: int) -> Address:
        """Return an address for the member of a group."""
        return Address(f"127.{self.number}.{group}.{member}", port)

    def release(self) -> None:
        """Let others use this part."""
        self.lock.close()


class HostPlan:
    """One instance of a target and what listens on it."""

    def __init__(self, network: Network, group: int, member: int):
        self.member = member
        self.data = network.place(group, member, DATA_PORT)
        self.control = network.place(group, member, CONTROL_PORT)
        self.decapsulation = network.place(group, member, DECAPSULATION_PORT)
        self.gateway = network.place(group, member, GATEWAY_PORT)
        self.backend = network.place(group, member, BACKEND_PORT)


class ServicePlan:
    """One service of a user.

    Attributes
    ----------
    weights : list of float
        Published strength of each host; their count is that of the hosts.
    """

    def __init__(
        self,
        network: Network,
        number: int,
        name: str,
        region: str,
        weights: list[float],
        slots: int,
        kind: str = "http",
    ):
        self.name = name
        self.region = region
        self.weights = weights
        self.slots = slots
        self.kind = kind
        self.entry = network.place(4, number, ENTRY_PORT)
        self.hosts = [
            HostPlan(network, 10 + number, member + 1)
            for member in range(len(weights))
        ]

    def target_name(self, member: int) -> str:
        """Return the name of the target on the n-th host, from 0."""
        return f"{self.name}-{member + 1}"

    def domain(self, member: int) -> str:
        """Return the failure domain of the n-th host, from 0."""
        return f"{self.region}-{'abc'[member % 3]}"

    def publish_gateway(self, host: HostPlan) -> dict[str, str]:
        """Return where mates forward requests to; packets have none."""
        return {"gateway": str(host.gateway)} if self.kind == "http" else {}

    def publish(self) -> dict[str, Any]:
        """Return the service as the platform publishes it."""
        return {
            "entry": {"address": str(self.entry), "protocol": "tcp"},
            "kind": self.kind,
            "targets": [
                {
                    "name": self.target_name(member),
                    "agent": str(host.data),
                    **self.publish_gateway(host),
                    "domain": self.domain(member),
                    "weight": self.weights[member],
                    "slots": self.slots,
                }
                for member, host in enumerate(self.hosts)
            ],
        }


UNEVEN_SEVEN = [1.0, 2.0, 4.0, 1.0, 2.0, 4.0, 3.0]
UNEVEN_THREE = [1.0, 2.0, 4.0]


def plan_users(network: Network) -> list[ServicePlan]:
    """Return the services of both users as the brief sizes them."""
    return [
        ServicePlan(network, 1, "dispatch", "riga", UNEVEN_SEVEN, 2),
        ServicePlan(network, 2, "catalogue", "riga", UNEVEN_THREE, 2),
        ServicePlan(network, 3, "bookings", "wales", UNEVEN_SEVEN, 4),
        ServicePlan(network, 4, "photos", "wales", UNEVEN_THREE, 4),
    ]


def plan_small(network: Network) -> list[ServicePlan]:
    """Return two small services, enough for a scenario."""
    return [
        ServicePlan(network, 1, "dispatch", "riga", UNEVEN_THREE, 2),
        ServicePlan(network, 2, "catalogue", "riga", [1.0, 1.0], 2),
    ]
