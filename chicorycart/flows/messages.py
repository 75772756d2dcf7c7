"""Encodes and decodes the messages of agents on the owners of flows."""

from pathlib import Path

import capnp

from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.defaults import MAX_LEASE_SECONDS
from chicorycart.flows.buckets import BITMAP_BYTES
from chicorycart.flows.buckets import pack_bitmap
from chicorycart.flows.buckets import unpack_bitmap
from chicorycart.flows.errors import FlowError
from chicorycart.units import MILLISECONDS

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
FLOW_BYTES = 13
SPARSE_BUCKET_BYTES = 2


class OwnerRecord:
    """The buckets in which one agent owns displaced flows.

    Attributes
    ----------
    service : int
        Identifier of the service.
    owner : int
        Packed address of the agent that owns the flows.
    incarnation, sequence : int
        Order the records of one owner; the higher pair is newer.
    lease_seconds : float
        Time after which the record expires unless a newer one arrives.
    buckets : frozenset of int
        Buckets in which the owner has at least one displaced flow.
    """

    __slots__ = (
        "service",
        "owner",
        "incarnation",
        "sequence",
        "lease_seconds",
        "buckets",
    )

    def __init__(
        self,
        service: int,
        owner: int,
        incarnation: int,
        sequence: int,
        lease_seconds: float,
        buckets: frozenset[int],
    ):
        self.service = service
        self.owner = owner
        self.incarnation = incarnation
        self.sequence = sequence
        self.lease_seconds = lease_seconds
        self.buckets = buckets

    def is_newer_than(self, other: "OwnerRecord") -> bool:
        """Return whether this record is newer than another of the owner."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.sequence > other.sequence


class OwnerQuery:
    """A query for the owner of a flow, or for an agent's owner record.

    Attributes
    ----------
    service : int
        Identifier of the service.
    requester : int
        Packed address of the agent that sends the query.
    flow : bytes or None
        The flow whose owner is requested; None requests the owner record
        of the receiver.
    number : int
        Distinguishes the queries of one agent for the same flow.
    """

    __slots__ = ("service", "requester", "flow", "number")

    def __init__(
        self, service: int, requester: int, flow: bytes | None, number: int = 0
    ):
        self.service = service
        self.requester = requester
        self.flow = flow
        self.number = number


class OwnerAnswer:
    """The answer to a query for the owner of a flow.

    Attributes
    ----------
    service : int
        Identifier of the service.
    agent : int
        Packed address of the agent that answers.
    flow : bytes
        The flow of the query.
    owner : int or None
        Packed address of its owner, None if the agent knows none.
    number : int
        Number of the query.
    """

    __slots__ = ("service", "agent", "flow", "owner", "number")

    def __init__(
        self,
        service: int,
        agent: int,
        flow: bytes,
        owner: int | None,
        number: int,
    ):
        self.service = service
        self.agent = agent
        self.flow = flow
        self.owner = owner
        self.number = number


def encode_record(record: OwnerRecord) -> bytes:
    """Encode the record, with the buckets as a list or the shorter bitmap."""
    message = SCHEMA.OwnerRecord.new_message(
        service=record.service,
        owner=record.owner,
        incarnation=record.incarnation,
        sequence=record.sequence,
        leaseMilliseconds=int(record.lease_seconds * MILLISECONDS),
    )
    if len(record.buckets) * SPARSE_BUCKET_BYTES < BITMAP_BYTES:
        message.buckets.sparse = sorted(record.buckets)
    else:
        message.buckets.bitmap = pack_bitmap(record.buckets)
    return message.to_bytes()


def decode_record(body: bytes) -> OwnerRecord:
    """Decode an owner record.

    Raises
    ------
    FlowError
        If the message is malformed or has values out of range.
    """
    try:
        with SCHEMA.OwnerRecord.from_bytes(body) as message:
            record = OwnerRecord(
                message.service,
                message.owner,
                message.incarnation,
                message.sequence,
                message.leaseMilliseconds / MILLISECONDS,
                read_buckets(message.buckets),
            )
    except (capnp.KjException, ValueError) as error:
        raise FlowError("owner record: malformed message") from error
    if record.lease_seconds > MAX_LEASE_SECONDS:
        raise FlowError(
            f"owner record: lease of {record.lease_seconds} s is above the"
            " maximum"
        )
    return record


def read_buckets(message) -> frozenset[int]:
    """Decode the set of buckets from a list or a bitmap."""
    if message.which() == "bitmap":
        return unpack_bitmap(bytes(message.bitmap))
    buckets = frozenset(message.sparse)
    if buckets and max(buckets) >= BUCKETS_PER_SERVICE:
        raise FlowError(
            f"owner record: bucket {max(buckets)} is beyond the last bucket"
        )
    return buckets


def encode_query(query: OwnerQuery) -> bytes:
    """Encode the query."""
    message = SCHEMA.OwnerQuery.new_message(
        service=query.service, number=query.number, asker=query.requester
    )
    if query.flow is None:
        message.records = None
    else:
        message.flow = query.flow
    return message.to_bytes()


def decode_query(body: bytes) -> OwnerQuery:
    """Decode a query.

    Raises
    ------
    FlowError
        If the message is malformed.
    """
    try:
        with SCHEMA.OwnerQuery.from_bytes(body) as message:
            is_flow = message.which() == "flow"
            flow = read_flow(message.flow) if is_flow else None
            return OwnerQuery(
                message.service, message.asker, flow, message.number
            )
    except (capnp.KjException, ValueError) as error:
        raise FlowError("owner query: malformed message") from error


def encode_answer(answer: OwnerAnswer) -> bytes:
    """Encode the answer."""
    message = SCHEMA.OwnerAnswer.new_message(
        service=answer.service,
        agent=answer.agent,
        flow=answer.flow,
        owner=answer.owner or 0,
        number=answer.number,
    )
    return message.to_bytes()


def decode_answer(body: bytes) -> OwnerAnswer:
    """Decode an answer.

    Raises
    ------
    FlowError
        If the message is malformed.
    """
    try:
        with SCHEMA.OwnerAnswer.from_bytes(body) as message:
            return OwnerAnswer(
                message.service,
                message.agent,
                read_flow(message.flow),
                message.owner or None,
                message.number,
            )
    except (capnp.KjException, ValueError) as error:
        raise FlowError("owner answer: malformed message") from error


def read_flow(data: bytes) -> bytes:
    """Return the five-tuple after checking its length.

    Raises
    ------
    FlowError
        If it is not `FLOW_BYTES` long.
    """
    if len(data) != FLOW_BYTES:
        raise FlowError(f"flow of {len(data)} bytes, expected 13 bytes")
    return bytes(data)
