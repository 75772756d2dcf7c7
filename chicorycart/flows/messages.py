"""Messages that agents of one service exchange about owners of flows."""

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
    """The displaced flows of one owner, by bucket.

    Attributes
    ----------
    service : int
        Identifier of the service.
    owner : int
        Packed address of the agent that owns the flows.
    incarnation, sequence : int
        Order the records of one owner; the higher pair is the newer.
    lease_seconds : float
        Time after which the record lapses unless it is refreshed.
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
        """Tell whether this record was made after the other one."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.sequence > other.sequence


class OwnerQuery:
    """A question to another agent of the service.

    Attributes
    ----------
    service : int
        Identifier of the service.
    requester : int
        Packed address of the agent that asks.
    flow : bytes or None
        The flow whose owner is sought; None asks for the owner record.
    number : int
        Tells the questions of one agent on a flow apart.
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
    """What an agent knows about the owner of a flow.

    Attributes
    ----------
    service : int
        Identifier of the service.
    agent : int
        Packed address of the agent that answers.
    flow : bytes
        The flow that was asked about.
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
    """Return the record in wire form, with the shorter set of buckets."""
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
    """Read an owner record.

    Raises
    ------
    FlowError
        If it is no record, or one with impossible values.
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
        raise FlowError("not an owner record") from error
    if record.lease_seconds > MAX_LEASE_SECONDS:
        raise FlowError(f"lease of {record.lease_seconds} s is too long")
    return record


def read_buckets(message) -> frozenset[int]:
    """Read the set of buckets in either form."""
    if message.which() == "bitmap":
        return unpack_bitmap(bytes(message.bitmap))
    buckets = frozenset(message.sparse)
    if buckets and max(buckets) >= BUCKETS_PER_SERVICE:
        raise FlowError(f"bucket {max(buckets)} does not exist")
    return buckets


def encode_query(query: OwnerQuery) -> bytes:
    """Return the query in wire form."""
    message = SCHEMA.OwnerQuery.new_message(
        service=query.service, number=query.number, asker=query.requester
    )
    if query.flow is None:
        message.records = None
    else:
        message.flow = query.flow
    return message.to_bytes()


def decode_query(body: bytes) -> OwnerQuery:
    """Read a query.

    Raises
    ------
    FlowError
        If it is none.
    """
    try:
        with SCHEMA.OwnerQuery.from_bytes(body) as message:
            is_flow = message.which() == "flow"
            flow = read_flow(message.flow) if is_flow else None
            return OwnerQuery(
                message.service, message.asker, flow, message.number
            )
    except (capnp.KjException, ValueError) as error:
        raise FlowError("not an owner query") from error


def encode_answer(answer: OwnerAnswer) -> bytes:
    """Return the answer in wire form."""
    message = SCHEMA.OwnerAnswer.new_message(
        service=answer.service,
        agent=answer.agent,
        flow=answer.flow,
        owner=answer.owner or 0,
        number=answer.number,
    )
    return message.to_bytes()


def decode_answer(body: bytes) -> OwnerAnswer:
    """Read an answer.

    Raises
    ------
    FlowError
        If it is none.
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
        raise FlowError("not an owner answer") from error


def read_flow(data: bytes) -> bytes:
    """Return the five-tuple.

    Raises
    ------
    FlowError
        If it has another length.
    """
    if len(data) != FLOW_BYTES:
        raise FlowError(f"a flow of {len(data)} bytes")
    return bytes(data)
