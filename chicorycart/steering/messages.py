"""The messages between balancers and agents that steer flows."""

from enum import StrEnum
from functools import lru_cache
from pathlib import Path

import capnp

from chicorycart.steering.errors import SteeringMessageError

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
SIZE_BYTES = 2
HEADER_CACHE_ENTRIES = 4_096
"""Headers kept ready each way: services times limits, far fewer in use."""

FLOW_BYTES = 13
MAX_COUNT = 65_535
"""Largest number of requests in progress that a message carries."""


class ReturnReason(StrEnum):
    """Why an agent gives a packet back."""

    NOT_HELD = "notHeld"
    REFUSED = "refused"
    BUSY = "busy"
    OTHER_SERVICE = "otherService"
    STOPPING = "stopping"


class TargetLoad:
    """The work at one target as its agent sees it.

    Attributes
    ----------
    in_progress : int
        Requests without an answer, and flows that just opened.
    flows : int
        Open flows.
    mean_in_progress : float
        Mean of the same over the last seconds.
    """

    __slots__ = ("in_progress", "flows", "mean_in_progress")

    def __init__(self, in_progress: int, flows: int, mean_in_progress: float):
        self.in_progress = in_progress
        self.flows = flows
        self.mean_in_progress = mean_in_progress


class DeliveryHeader:
    """What a balancer tells an agent with a caller's packet.

    Attributes
    ----------
    service : int
        Hash of the name of the flow's service.
    limit : int
        Requests in progress at which an opening packet is declined; 0 for
        none.
    """

    __slots__ = ("service", "limit")

    def __init__(self, service: int, limit: int):
        self.service = service
        self.limit = limit


class FlowReport:
    """Tells a balancer that the agent's host holds a flow.

    Attributes
    ----------
    flow : bytes
        Five-tuple.
    is_accepted : bool
        Whether the host has just accepted it.
    sequence : int
        First sequence number of the host, if accepted.
    load : TargetLoad
        The work at the host.
    """

    __slots__ = ("flow", "is_accepted", "sequence", "load")

    def __init__(
        self, flow: bytes, is_accepted: bool, sequence: int, load: TargetLoad
    ):
        self.flow = flow
        self.is_accepted = is_accepted
        self.sequence = sequence
        self.load = load


class ReturnHeader:
    """What an agent tells a balancer with a packet that it gives back.

    Attributes
    ----------
    reason : ReturnReason
        Why the packet comes back.
    load : TargetLoad
        The work at the agent's host.
    """

    __slots__ = ("reason", "load")

    def __init__(self, reason: ReturnReason, load: TargetLoad):
        self.reason = reason
        self.load = load


@lru_cache(HEADER_CACHE_ENTRIES)
def encode_delivery_header(service: int, limit: int) -> bytes:
    """Return a delivery's header in wire form, its size before it."""
    message = SCHEMA.DeliveryHeader.new_message(service=service, limit=limit)
    return prefix_size(message.to_bytes())


def decode_delivery(body: bytes) -> tuple[DeliveryHeader, bytes]:
    """Read a delivery: its header and the caller's packet.

    Raises
    ------
    SteeringMessageError
        If the header is truncated or of another form.
    """
    header, packet = split_body(body)
    return decode_delivery_header(header), packet


@lru_cache(HEADER_CACHE_ENTRIES)
def decode_delivery_header(data: bytes) -> DeliveryHeader:
    """Read the header of a delivery."""
    try:
        with SCHEMA.DeliveryHeader.from_bytes(data) as message:
            return DeliveryHeader(message.service, message.limit)
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError("not a delivery") from error


def encode_report(report: FlowReport) -> bytes:
    """Return a flow report in wire form."""
    return SCHEMA.FlowReport.new_message(
        flow=report.flow,
        accepted=report.is_accepted,
        sequence=report.sequence,
        load=encode_load(report.load),
    ).to_bytes()


def decode_report(body: bytes) -> FlowReport:
    """Read a flow report.

    Raises
    ------
    SteeringMessageError
        If it is of another form.
    """
    try:
        with SCHEMA.FlowReport.from_bytes(body) as message:
            flow = bytes(message.flow)
            report = FlowReport(
                flow, message.accepted, message.sequence, decode_load(message)
            )
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError("not a flow report") from error
    if len(flow) != FLOW_BYTES:
        raise SteeringMessageError(f"flow of {len(flow)} bytes")
    return report


def encode_return(
    reason: ReturnReason, load: TargetLoad, packet: bytes
) -> bytes:
    """Return a packet that goes back to a balancer in wire form."""
    message = SCHEMA.ReturnHeader.new_message(
        reason=reason.value, load=encode_load(load)
    )
    return prefix_size(message.to_bytes()) + packet


def decode_return(body: bytes) -> tuple[ReturnHeader, bytes]:
    """Read a returned packet: its header and the caller's packet.

    Raises
    ------
    SteeringMessageError
        If the header is truncated or of another form.
    """
    data, packet = split_body(body)
    try:
        with SCHEMA.ReturnHeader.from_bytes(data) as message:
            reason = ReturnReason(str(message.reason))
            return ReturnHeader(reason, decode_load(message)), packet
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError("not a returned packet") from error


def encode_probe_answer(load: TargetLoad) -> bytes:
    """Return the answer to a probe in wire form."""
    return SCHEMA.ProbeAnswer.new_message(load=encode_load(load)).to_bytes()


def decode_probe_answer(body: bytes) -> TargetLoad:
    """Read the answer to a probe: the load of the agent's host.

    Raises
    ------
    SteeringMessageError
        If it is of another form.
    """
    try:
        with SCHEMA.ProbeAnswer.from_bytes(body) as message:
            return decode_load(message)
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError("not an answer to a probe") from error


def encode_load(load: TargetLoad) -> dict[str, int]:
    """Return a load by the names of the schema."""
    return {
        "inProgress": min(load.in_progress, MAX_COUNT),
        "flows": load.flows,
        "meanInProgress": load.mean_in_progress,
    }


def decode_load(message) -> TargetLoad:
    """Read the load of a message."""
    load = message.load
    return TargetLoad(load.inProgress, load.flows, load.meanInProgress)


def prefix_size(header: bytes) -> bytes:
    """Return a header with its size before it."""
    return len(header).to_bytes(SIZE_BYTES, "big") + header


def split_body(body: bytes) -> tuple[bytes, bytes]:
    """Return the header and what stands behind it.

    Raises
    ------
    SteeringMessageError
        If the header is truncated.
    """
    end = SIZE_BYTES + int.from_bytes(body[:SIZE_BYTES], "big")
    if len(body) < end or end == SIZE_BYTES:
        raise SteeringMessageError("truncated header")
    return body[SIZE_BYTES:end], body[end:]
