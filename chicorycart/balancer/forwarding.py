"""Sends each packet of a caller to the first agent of its flow's chain."""

from collections import OrderedDict

from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.address import unpack_address
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Service
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import CHAIN_CACHE_ENTRIES
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.operation.decisions import DecisionLog
from chicorycart.packets.errors import PacketError
from chicorycart.packets.forward import encode_forward
from chicorycart.packets.forward import Forward
from chicorycart.packets.ipv4 import hash_flow
from chicorycart.packets.ipv4 import parse_packet
from chicorycart.placement.chain import bucket_of
from chicorycart.placement.chain import build_chain
from chicorycart.placement.chain import Suspicions


class ChainCache:
    """Chains by service and bucket, built when first needed.

    Parameters
    ----------
    store : ConfigurationStore
        Gives the service's current and replaced states.
    suspicions : Suspicions
        Moves suspected agents to the end of a chain.
    """

    __slots__ = ("store", "suspicions", "chains")

    def __init__(self, store: ConfigurationStore, suspicions: Suspicions):
        self.store = store
        self.suspicions = suspicions
        self.chains: OrderedDict[tuple[int, int], list[int]] = OrderedDict()

    def clear(self) -> None:
        """Forget all chains, since what they depend on has changed."""
        self.chains.clear()

    def find(self, service: Service, bucket: int) -> list[int]:
        """Return the packed addresses of the chain of a bucket."""
        key = (service.identifier, bucket)
        chain = self.chains.get(key)
        if chain is None:
            chain = self.build(service, bucket)
            self.chains[key] = chain
            if len(self.chains) > CHAIN_CACHE_ENTRIES:
                self.chains.popitem(last=False)
        return chain

    def build(self, service: Service, bucket: int) -> list[int]:
        """Build the chain of a bucket anew."""
        replaced = self.store.list_replaced(service.name)
        targets = build_chain(service, replaced, bucket, self.suspicions)
        return [pack_address(target.agent) for target in targets]


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

    __slots__ = ("store", "chains", "sender", "decisions", "packets")

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
        self.packets = Counter(
            "chicorycart_balancer_packets",
            "Packets from the fabric, by what became of them.",
            ["outcome"],
            registry=registry,
        )
        store.subscribe(self)

    def change_configuration(self, configuration: Configuration) -> None:
        """Drop the chains that another version gave."""
        self.chains.clear()

    def take(self, data: bytes, source: Address) -> None:
        """Forward one packet of a caller."""
        try:
            packet = parse_packet(data)
        except PacketError:
            self.packets.labels("malformed").inc()
            return
        configuration = self.store.current
        service = configuration.by_entry.get(packet.entry)
        if service is None:
            self.packets.labels("no service").inc()
            return
        flow_hash = hash_flow(packet.flow)
        chain = self.chains.find(service, bucket_of(flow_hash))
        forward = Forward(
            configuration.version, service.identifier, chain, data, hops=1
        )
        self.sender.send(
            MessageKind.FORWARD,
            encode_forward(forward),
            unpack_address(chain[0]),
        )
        self.packets.labels("forwarded").inc()
        self.decisions.record(
            packet.flow,
            flow_hash,
            configuration.version,
            chain,
            f"{chain[0]:x}",
            "first of chain",
        )
