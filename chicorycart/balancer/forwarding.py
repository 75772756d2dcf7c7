"""Sends each packet of a caller to the first agent of its flow's chain."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.address import Address
from chicorycart.balancer.chains import ChainCache
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.operation.decisions import DecisionLog
from chicorycart.packets.errors import PacketError
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.forward import encode_version
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement.chain import bucket_of


class Forwarder:
    """Takes packets from the fabric and forwards them.

    Parameters
    ----------
    store : ConfigurationStore
        The configuration in force.
    chains : ChainCache
        Gives the chain of each bucket.
    sender : Sender
        Sends to the agents.
    decisions : DecisionLog
        Logs where packets went.
    registry : CollectorRegistry
        Where the counters are registered.
    """

    __slots__ = (
        "store",
        "chains",
        "sender",
        "decisions",
        "forwarded",
        "malformed",
        "unserved",
        "untargeted",
    )

    def __init__(
        self,
        store: ConfigurationStore,
        chains: ChainCache,
        sender: Sender,
        decisions: DecisionLog,
        registry: CollectorRegistry,
    ):
        self.store = store
        self.chains = chains
        self.sender = sender
        self.decisions = decisions
        packets = Counter(
            "chicorycart_balancer_packets",
            "Packets from the fabric, by what became of them.",
            ["outcome"],
            registry=registry,
        )
        self.forwarded = packets.labels("forwarded")
        self.malformed = packets.labels("malformed")
        self.unserved = packets.labels("no service")
        self.untargeted = packets.labels("no target")

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Forward one packet of a caller."""
        try:
            packet = parse_packet(data)
        except PacketError:
            self.malformed.inc()
            return
        configuration = self.store.current
        service = configuration.by_entry.get(packet.entry)
        if service is None:
            self.unserved.inc()
            return
        flow_hash = hash_flow(packet.flow)
        route = self.chains.find(service, bucket_of(flow_hash))
        if route.first is None:
            self.untargeted.inc()
            return
        version = configuration.version
        body = encode_version(version) + route.header + data
        self.sender.send(MessageKind.FORWARD, body, route.first)
        self.forwarded.inc()
        if self.decisions.covers(flow_hash):
            self.decisions.record(
                packet.flow,
                flow_hash,
                version,
                route.chain,
                f"{route.chain[0]:x}",
                "first of chain",
            )
