"""Gossips suspicions among the balancers, at a limited rate."""

from random import Random

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge

from chicorycart.address import Address
from chicorycart.defaults import GOSSIP_RECORDS
from chicorycart.defaults import GOSSIP_SECONDS
from chicorycart.defaults import HEARTBEAT_JITTER_SHARE
from chicorycart.links.datagrams import measure_datagram
from chicorycart.links.datagrams import MessageKind
from chicorycart.links.datagrams import Sender
from chicorycart.membership.messages import decode_suspicions
from chicorycart.membership.messages import encode_suspicions
from chicorycart.membership.messages import SuspicionMessage
from chicorycart.membership.messages import SuspicionRecord
from chicorycart.membership.pauses import PauseDetector
from chicorycart.membership.peers import PeerChoice
from chicorycart.membership.report_evaluator import ReportEvaluator
from chicorycart.membership.suspicions import SuspicionTable
from chicorycart.pace import TokenBucket


def measure_message(records: list[SuspicionRecord]) -> int:
    """Return the bytes on the wire of a message with these records."""
    body = encode_suspicions(SuspicionMessage(0, False, records))
    return measure_datagram(body)


EMPTY_RECORD = SuspicionRecord(0, 0, 0, 0.0, False)
MESSAGE_BYTES = measure_message([])
RECORD_BYTES = measure_message([EMPTY_RECORD]) - MESSAGE_BYTES


class Gossip:
    """Sends a balancer's newest suspicions to random other balancers.

    Parameters
    ----------
    own_address : int
        Packed address of the own process.
    suspicion_table : SuspicionTable
        Holds the suspicions of this balancer.
    report_evaluator : ReportEvaluator
        Processes the reports of agents.
    peers : PeerChoice
        Chooses the balancers to send to.
    sender : Sender
        Sends the messages.
    bucket : TokenBucket
        Limits the bytes of gossip per second.
    registry : CollectorRegistry
        Where the metrics are registered.
    """

    __slots__ = (
        "own_address",
        "suspicion_table",
        "report_evaluator",
        "peers",
        "sender",
        "bucket",
        "bytes_sent",
    )

    def __init__(
        self,
        own_address: int,
        suspicion_table: SuspicionTable,
        report_evaluator: ReportEvaluator,
        peers: PeerChoice,
        sender: Sender,
        bucket: TokenBucket,
        registry: CollectorRegistry,
    ):
        self.own_address = own_address
        self.suspicion_table = suspicion_table
        self.report_evaluator = report_evaluator
        self.peers = peers
        self.sender = sender
        self.bucket = bucket
        self.bytes_sent = Counter(
            "chicorycart_gossip_bytes",
            "Bytes of suspicions sent to balancers, headers included.",
            registry=registry,
        )
        suspected = Gauge(
            "chicorycart_suspected_agents",
            "Agents that are suspected to be dead.",
            registry=registry,
        )
        suspected.set_function(lambda: len(suspicion_table.suspected))

    async def run(self, detector: PauseDetector, random: Random) -> None:
        """Run one gossip round after another until cancelled."""
        detector.subscribe(self.report_evaluator)
        while True:
            jitter = random.uniform(-1, 1) * HEARTBEAT_JITTER_SHARE
            await detector.sleep(GOSSIP_SECONDS * (1 + jitter))
            self.step()

    def step(self) -> None:
        """Evaluate the reports, expire leases and send one gossip round."""
        self.report_evaluator.check()
        self.suspicion_table.expire()
        if not self.suspicion_table.pending_gossip:
            return
        for peer in self.peers.choose():
            self.send_to(peer)

    def send_to(self, peer: Address) -> None:
        """Send as many records to a peer as the rate limit allows."""
        self.bucket.refill()
        room = self.bucket.level - MESSAGE_BYTES
        count = min(GOSSIP_RECORDS, int(room // RECORD_BYTES))
        if count <= 0:
            return
        records = self.suspicion_table.pick_for_gossip(count)
        if not records:
            return
        size = MESSAGE_BYTES + len(records) * RECORD_BYTES
        self.bucket.try_acquire(size)
        self.bytes_sent.inc(size)
        message = SuspicionMessage(self.own_address, False, records)
        body = encode_suspicions(message)
        self.sender.send(MessageKind.SUSPICION, body, peer)

    def receive(self, body: bytes, source: Address) -> None:
        """Process the reports of an agent or the gossip of a balancer.

        Raises
        ------
        MembershipMessageError
            If the message is malformed or implausible.
        """
        message = decode_suspicions(body, source)
        for record in message.records:
            if message.is_report:
                self.report_evaluator.handle_report(message.sender, record)
            else:
                self.suspicion_table.merge(record)
