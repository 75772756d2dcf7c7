"""Heartbeat and suspicion messages, and their encoding."""

from math import isfinite
from pathlib import Path

import capnp

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import unpack_address
from chicorycart.membership.errors import MembershipMessageError
from chicorycart.placement.load import Load

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
NO_SERVICE = 0
TENTHS_PER_SECOND = 10
MAX_TENTHS = 65_535


class Heartbeat:
    """The state that a process sends to others about once per second.

    Attributes
    ----------
    sender : int
        Packed address on which the sender receives datagrams.
    service : int
        Identifier of its service, `NO_SERVICE` for a balancer.
    incarnation : int
        Orders the restarts of the sender, see `Incarnation`.
    sequence : int
        Orders the heartbeats of one incarnation.
    version : int
        Configuration version in force at the sender.
    load : Load
        Load of its target.
    wants_answer : bool
        Whether the receiver answers at once with its own heartbeat.
    """

    __slots__ = (
        "sender",
        "service",
        "incarnation",
        "sequence",
        "version",
        "load",
        "wants_answer",
    )

    def __init__(
        self,
        sender: int,
        service: int,
        incarnation: int,
        sequence: int,
        version: int,
        load: Load,
        wants_answer: bool = False,
    ):
        self.sender = sender
        self.service = service
        self.incarnation = incarnation
        self.sequence = sequence
        self.version = version
        self.load = load
        self.wants_answer = wants_answer


class SuspicionRecord:
    """A suspicion of one agent, or the refutation of one, with a lease.

    Attributes
    ----------
    suspect : int
        Packed address of the agent.
    incarnation : int
        The incarnation that is suspected, or that was seen alive.
    renewal : int
        Orders the records of one incarnation.
    remaining : float
        Seconds until the record expires.
    is_suspected : bool
        False if the record refutes earlier suspicions.
    """

    __slots__ = (
        "suspect",
        "incarnation",
        "renewal",
        "remaining",
        "is_suspected",
    )

    def __init__(
        self,
        suspect: int,
        incarnation: int,
        renewal: int,
        remaining: float,
        is_suspected: bool,
    ):
        self.suspect = suspect
        self.incarnation = incarnation
        self.renewal = renewal
        self.remaining = remaining
        self.is_suspected = is_suspected


class SuspicionMessage:
    """The records in one datagram.

    Attributes
    ----------
    sender : int
        Packed address of the sender.
    is_report : bool
        Whether the records are the sender's own observations.
    records : list of SuspicionRecord
        The suspicions and refutations.
    """

    __slots__ = ("sender", "is_report", "records")

    def __init__(
        self, sender: int, is_report: bool, records: list[SuspicionRecord]
    ):
        self.sender = sender
        self.is_report = is_report
        self.records = records


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the encoded message."""
    load = heartbeat.load
    message = SCHEMA.Heartbeat.new_message(
        sender=heartbeat.sender,
        service=heartbeat.service,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        version=heartbeat.version,
        strength=load.capacity,
        inProgress=load.in_progress,
        queued=load.queued,
        takesNewWork=load.takes_new_work,
        wantsAnswer=heartbeat.wants_answer,
    )
    return message.to_bytes()


def decode_heartbeat(body: bytes, source: Address) -> Heartbeat:
    """Decode and validate a message.

    Raises
    ------
    MembershipMessageError
        If it is not a heartbeat, if it names another host as its sender
        than it came from, or if its capacity is not a finite positive number.
    """
    try:
        with SCHEMA.Heartbeat.from_bytes(body) as message:
            heartbeat = Heartbeat(
                message.sender,
                message.service,
                message.incarnation,
                message.sequence,
                message.version,
                Load(
                    message.inProgress,
                    message.queued,
                    message.strength,
                    message.takesNewWork,
                ),
                message.wantsAnswer,
            )
    except (capnp.KjException, ValueError) as error:
        raise MembershipMessageError(
            "body is not an encoded heartbeat"
        ) from error
    capacity = heartbeat.load.capacity
    if not isfinite(capacity) or capacity <= 0:
        raise MembershipMessageError(
            f"heartbeat capacity must be finite and above 0, not {capacity}"
        )
    check_sender(heartbeat.sender, source)
    return heartbeat


def encode_suspicions(message: SuspicionMessage) -> bytes:
    """Return the encoded message."""
    wire = SCHEMA.Suspicions.new_message(
        sender=message.sender, isReport=message.is_report
    )
    records = wire.init("records", len(message.records))
    for slot, record in zip(records, message.records, strict=True):
        slot.suspect = record.suspect
        slot.incarnation = record.incarnation
        slot.renewal = record.renewal
        slot.remaining = to_tenths(record.remaining)
        slot.isSuspected = record.is_suspected
    return wire.to_bytes()


def decode_suspicions(body: bytes, source: Address) -> SuspicionMessage:
    """Decode and validate a message.

    Raises
    ------
    MembershipMessageError
        If it is not such a message, if it names another host as its sender
        than it came from, or if a record holds an invalid address.
    """
    try:
        with SCHEMA.Suspicions.from_bytes(body) as wire:
            message = SuspicionMessage(
                wire.sender,
                wire.isReport,
                [
                    SuspicionRecord(
                        slot.suspect,
                        slot.incarnation,
                        slot.renewal,
                        slot.remaining / TENTHS_PER_SECOND,
                        slot.isSuspected,
                    )
                    for slot in wire.records
                ],
            )
    except (capnp.KjException, ValueError) as error:
        raise MembershipMessageError(
            "body is not an encoded Suspicions message"
        ) from error
    check_sender(message.sender, source)
    for record in message.records:
        check_address(record.suspect)
    return message


def to_tenths(seconds: float) -> int:
    """Return whole tenths of a second, limited to the 16-bit field."""
    return min(MAX_TENTHS, max(0, int(seconds * TENTHS_PER_SECOND)))


def check_sender(sender: int, source: Address) -> None:
    """Raise if a datagram came from another host than its sender names."""
    host = check_address(sender).host
    if host != source.host:
        raise MembershipMessageError(
            f"{source.host} sent a message whose sender field is {host}"
        )


def check_address(number: int) -> Address:
    """Return the address that a number packs; raise if it is invalid."""
    try:
        return unpack_address(number)
    except AddressError as error:
        raise MembershipMessageError(str(error)) from error
