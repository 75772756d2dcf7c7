"""One end of a TCP connection whose segments travel as IP packets.

It stands in for a kernel: it has sequence numbers, acknowledgements and
resends, which the system itself has none of.
"""

from asyncio import Event
from asyncio import get_running_loop
from random import Random
from typing import Protocol

import dpkt
from dpkt.tcp import TH_ACK
from dpkt.tcp import TH_FIN
from dpkt.tcp import TH_PUSH
from dpkt.tcp import TH_RST
from dpkt.tcp import TH_SYN

from chicorycart.address import Address

SEGMENT_BYTES = 1400
WINDOW_BYTES = 65_535
RESEND_SECONDS = 0.2
MAX_RESENDS = 40
MAX_INITIAL_SEQUENCE = 1 << 30


class Application(Protocol):
    """What uses the connection."""

    def handle_data(self, data: bytes) -> None:
        """Take the next bytes in order."""

    def handle_end(self) -> None:
        """Learn that the other end sends no more."""

    def handle_reset(self) -> None:
        """Learn that the connection is gone."""

    def count_unread(self) -> int:
        """Return how many bytes taken still wait to be passed on."""


class Wire(Protocol):
    """Carries packets towards the other end."""

    def carry(self, packet: bytes) -> None:
        """Carry one IPv4 packet; it may be lost."""


def build_packet(
    source: Address, destination: Address, segment: dpkt.tcp.TCP
) -> bytes:
    """Wrap a TCP segment into an IPv4 packet with correct checksums."""
    segment.sport = source.port
    segment.dport = destination.port
    return build_ip(source, destination, dpkt.ip.IP_PROTO_TCP, segment)


def build_ip(
    source: Address, destination: Address, protocol: int, data: dpkt.Packet
) -> bytes:
    """Wrap a TCP segment or UDP datagram into an IPv4 packet."""
    ip = dpkt.ip.IP(
        src=bytes(map(int, source.host.split("."))),
        dst=bytes(map(int, destination.host.split("."))),
        p=protocol,
        data=data,
    )
    ip.len = len(ip)
    return bytes(ip)


class Connection:
    """One end of a connection.

    Parameters
    ----------
    local, remote : Address
        The two ends.
    wire : Wire
        Takes the packets.
    application : Application
        Takes the bytes.
    random : Random
        Chooses the first sequence number.
    """

    def __init__(
        self,
        local: Address,
        remote: Address,
        wire: Wire,
        application: Application,
        random: Random,
    ):
        self.local = local
        self.remote = remote
        self.wire = wire
        self.application = application
        self.first = random.randrange(MAX_INITIAL_SEQUENCE)
        self.acknowledged = self.first
        self.sent = self.first
        self.expected: int | None = None
        self.buffer = bytearray()
        self.early: dict[int, bytes] = {}
        self.peer_window = WINDOW_BYTES
        self.opened = Event()
        self.drained = Event()
        self.drained.set()
        self.ending = False
        self.end_sequence: int | None = None
        self.peer_ended = False
        self.peer_end: int | None = None
        self.closed = False
        self.resends = 0
        self.timer = None

    def open(self) -> None:
        """Send the first SYN."""
        self.sent = self.first + 1
        self.transmit(TH_SYN, self.first)
        self.arm()

    def write(self, data: bytes) -> None:
        """Queue bytes for the other end."""
        self.buffer += data
        self.drained.clear()
        self.push()

    def end(self) -> None:
        """Send no more after what is queued."""
        self.ending = True
        self.push()

    def reset(self) -> None:
        """Break the connection."""
        if not self.closed:
            self.transmit(TH_RST | TH_ACK, self.sent)
        self.close()

    def close(self) -> None:
        """Stop all timers and wake every waiter."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.drained.set()
        self.opened.set()

    def transmit(self, flags: int, sequence: int, data: bytes = b"") -> None:
        """Send one segment."""
        window = WINDOW_BYTES - self.application.count_unread()
        segment = dpkt.tcp.TCP(
            seq=sequence % (1 << 32),
            ack=(self.expected or 0) % (1 << 32),
            flags=flags,
            win=max(0, window),
            data=data,
        )
        self.wire.carry(build_packet(self.local, self.remote, segment))

    def push(self) -> None:
        """Send what the other end's window has room for."""
        if self.closed or not self.opened.is_set():
            return
        start = self.acknowledged
        limit = min(self.peer_window, WINDOW_BYTES)
        while self.end_sequence is None:
            offset = self.sent - start
            size = min(SEGMENT_BYTES, len(self.buffer) - offset)
            if size <= 0 or offset + size > limit:
                break
            chunk = bytes(self.buffer[offset : offset + size])
            self.transmit(TH_ACK | TH_PUSH, self.sent, chunk)
            self.sent += size
        self.push_end()
        self.arm()

    def push_end(self) -> None:
        """Send the FIN once every byte was sent."""
        all_sent = self.sent - self.acknowledged >= len(self.buffer)
        if self.ending and all_sent and self.end_sequence is None:
            self.end_sequence = self.sent
            self.transmit(TH_FIN | TH_ACK, self.sent)
            self.sent += 1

    def arm(self) -> None:
        """Start the resend timer if anything is unacknowledged."""
        waiting = self.sent > self.acknowledged or self.buffer
        if self.timer is None and waiting and not self.closed:
            self.timer = get_running_loop().call_later(
                RESEND_SECONDS, self.resend
            )

    def resend(self) -> None:
        """Send the oldest unacknowledged part again."""
        self.timer = None
        if self.closed:
            return
        self.resends += 1
        if self.resends > MAX_RESENDS:
            self.application.handle_reset()
            self.close()
            return
        if not self.opened.is_set():
            flags = TH_SYN if self.expected is None else TH_SYN | TH_ACK
            self.transmit(flags, self.first)
        elif self.buffer:
            self.transmit(
                TH_ACK, self.acknowledged, bytes(self.buffer[:SEGMENT_BYTES])
            )
        elif self.end_sequence is not None:
            self.transmit(TH_FIN | TH_ACK, self.end_sequence)
        self.arm()

    def handle_segment(self, segment: dpkt.tcp.TCP) -> None:
        """Take one segment from the other end."""
        if segment.flags & TH_RST:
            self.application.handle_reset()
            self.close()
            return
        if segment.flags & TH_SYN:
            self.handle_opening(segment)
            return
        if not self.opened.is_set() and not self.confirm_opening(segment):
            return
        self.handle_acknowledgement(segment)
        self.handle_payload(segment)

    def handle_opening(self, segment: dpkt.tcp.TCP) -> None:
        """Take a SYN, or the SYN-ACK that answers ours."""
        if segment.flags & TH_ACK:
            if segment.ack != self.first + 1:
                # Some other host answered a SYN of ours.
                return
            if self.expected is None:
                self.expected = segment.seq + 1
                self.acknowledged = self.first + 1
                self.opened.set()
                self.push()
            self.transmit(TH_ACK, self.sent)
        elif self.expected is None or not self.opened.is_set():
            self.expected = segment.seq + 1
            self.sent = self.first + 1
            self.transmit(TH_SYN | TH_ACK, self.first)
            self.arm()

    def confirm_opening(self, segment: dpkt.tcp.TCP) -> bool:
        """Take the ACK of our SYN-ACK; reset on another host's."""
        if self.expected is None:
            return False
        if segment.ack != self.first + 1:
            self.transmit(TH_RST, segment.ack)
            return False
        self.acknowledged = self.first + 1
        self.opened.set()
        return True

    def handle_acknowledgement(self, segment: dpkt.tcp.TCP) -> None:
        """Free what the other end has received."""
        self.peer_window = segment.win
        advance = segment.ack - self.acknowledged
        if 0 < advance <= self.sent - self.acknowledged:
            self.resends = 0
            self.acknowledged = segment.ack
            del self.buffer[:advance]
            if not self.buffer:
                self.drained.set()
        self.push()
        self.finish_if_done()

    def handle_payload(self, segment: dpkt.tcp.TCP) -> None:
        """Hand on bytes in order; keep those that came early."""
        if segment.flags & TH_FIN:
            self.peer_end = segment.seq + len(segment.data)
        if segment.data:
            self.early[segment.seq] = bytes(segment.data)
        while self.expected in self.early:
            data = self.early.pop(self.expected)
            self.expected += len(data)
            self.application.handle_data(data)
        if self.peer_end == self.expected and not self.peer_ended:
            self.peer_ended = True
            self.expected += 1
            self.application.handle_end()
        if segment.data or segment.flags & TH_FIN:
            self.early = {
                sequence: data
                for sequence, data in self.early.items()
                if sequence > self.expected
            }
            self.transmit(TH_ACK, self.sent)
        self.finish_if_done()

    def finish_if_done(self) -> None:
        """Close when both ends have ended and all is acknowledged."""
        if (
            self.end_sequence is not None
            and self.acknowledged > self.end_sequence
            and self.peer_ended
        ):
            self.close()
