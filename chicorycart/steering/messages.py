"""Messages between balancers and agents about the flows of hosts."""

from functools import lru_cache
from math import inf
from pathlib import Path

import capnp

from chicorycart.steering.errors import SteeringMessageError

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
SIZE_BYTES = 2
HEADER_CACHE_ENTRIES = 4_096
"""Cached headers for encoding and for decoding each; there is one for every
pair of service and limit, of which far fewer are in use. Cold times come in
steps of 0.1 s."""

FLOW_BYTES = 13
MAX_COUNT = 65_535
"""Largest number of requests in progress that the schema's field can hold, and
largest limit of openings a second."""

MAX_COLD_MS = 2**32 - 1
"""Longest cold time that the schema's field can hold."""

NO_COLD_TIME = (0, 0)
"""Cold time and limit in the header of a delivery to a warm host."""


class TargetLoad:
    """Load of one target as its agent measures it.

    Attributes
    ----------
    in_progress : int
        Requests without an answer, and flows that were just opened.
    flows : int
        Open flows.
    mean_in_progress : float
        Mean of `in_progress` over the last seconds.
    work_ms : float
        Mean time of work on a request in milliseconds; 0 if unknown.
    failed_share : float
        Share of the last requests that the host failed, from 0 to 1.
    """

    __slots__ = (
        "in_progress",
        "flows",
        "mean_in_progress",
        "work_ms",
        "failed_share",
    )

    def __init__(
        self,
        in_progress: int,
        flows: int,
        mean_in_progress: float,
        work_ms: float = 0.0,
        failed_share: float = 0.0,
    ):
        self.in_progress = in_progress
        self.flows = flows
        self.mean_in_progress = mean_in_progress
        self.work_ms = work_ms
        self.failed_share = failed_share


class DeliveryHeader:
    """Header of a caller's packet that a balancer sends to an agent.

    Attributes
    ----------
    service : int
        Hash of the name of the flow's service.
    limit : int
        Requests in progress from which an opening packet is declined; 0 for
        no limit.
    asks_owner : bool
        Whether the balancer searches for the owner of the flow, so that the
        agent reports again if its host holds it.
    cold_ms : int
        Rest of the host's cold time in milliseconds; 0 if the balancer takes
        it as warm.
    cold_per_second : int
        Openings that the cold host may get in a second.
    """

    __slots__ = (
        "service",
        "limit",
        "asks_owner",
        "cold_ms",
        "cold_per_second",
    )

    def __init__(
        self,
        service: int,
        limit: int,
        asks_owner: bool = False,
        cold_ms: int = 0,
        cold_per_second: int = 0,
    ):
        self.service = service
        self.limit = limit
        self.asks_owner = asks_owner
        self.cold_ms = cold_ms
        self.cold_per_second = cold_per_second


class FlowReport:
    """Report of an agent to a balancer that its host holds a flow.

    Attributes
    ----------
    flow : bytes
        Five-tuple.
    is_accepted : bool
        Whether the host has just accepted it.
    sequence : int
        Initial sequence number of the host, if it has just accepted.
    load : TargetLoad
        Load of the host.
    """

    __slots__ = ("flow", "is_accepted", "sequence", "load")

    def __init__(
        self, flow: bytes, is_accepted: bool, sequence: int, load: TargetLoad
    ):
        self.flow = flow
        self.is_accepted = is_accepted
        self.sequence = sequence
        self.load = load


@lru_cache(HEADER_CACHE_ENTRIES)
def encode_delivery_header(
    service: int,
    limit: int,
    asks_owner: bool = False,
    cold: tuple[int, int] = NO_COLD_TIME,
) -> bytes:
    """Encode the header of a delivery, prefixed with its size.

    Parameters
    ----------
    service, limit, asks_owner
        As in DeliveryHeader.
    cold : tuple of int, optional
        Rest of the host's cold time in milliseconds, and its limit.
    """
    fields = {"service": service, "limit": limit, "asksOwner": asks_owner}
    if cold == NO_COLD_TIME:
        message = SCHEMA.WarmDeliveryHeader.new_message(**fields)
    else:
        message = SCHEMA.DeliveryHeader.new_message(
            **fields, coldMs=cold[0], coldPerSecond=cold[1]
        )
    return prefix_size(message.to_bytes())


def decode_delivery(body: bytes) -> tuple[DeliveryHeader, bytes]:
    """Decode a delivery into its header and the caller's packet.

    Raises
    ------
    SteeringMessageError
        If the header is truncated or does not match the schema.
    """
    header, packet = split_body(body)
    return decode_delivery_header(header), packet


@lru_cache(HEADER_CACHE_ENTRIES)
def decode_delivery_header(data: bytes) -> DeliveryHeader:
    """Decode the header of a delivery."""
    try:
        with SCHEMA.DeliveryHeader.from_bytes(data) as message:
            return DeliveryHeader(
                message.service,
                message.limit,
                message.asksOwner,
                message.coldMs,
                message.coldPerSecond,
            )
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError(
            "delivery: the header is not a DeliveryHeader message"
        ) from error


def encode_report(report: FlowReport) -> bytes:
    """Encode a flow report."""
    return SCHEMA.FlowReport.new_message(
        flow=report.flow,
        accepted=report.is_accepted,
        sequence=report.sequence,
        load=encode_load(report.load),
    ).to_bytes()


def decode_report(body: bytes) -> FlowReport:
    """Decode a flow report.

    Raises
    ------
    SteeringMessageError
        If the body is not a flow report, or its flow is not a five-tuple.
    """
    try:
        with SCHEMA.FlowReport.from_bytes(body) as message:
            flow = bytes(message.flow)
            report = FlowReport(
                flow, message.accepted, message.sequence, decode_load(message)
            )
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError(
            "flow report: the body is not a FlowReport message"
        ) from error
    if len(flow) != FLOW_BYTES:
        raise SteeringMessageError(
            f"flow report: the flow has {len(flow)} bytes, expected 13"
        )
    return report


def encode_probe_answer(load: TargetLoad) -> bytes:
    """Encode the answer to a probe."""
    return SCHEMA.ProbeAnswer.new_message(load=encode_load(load)).to_bytes()


def decode_probe_answer(body: bytes) -> TargetLoad:
    """Decode the answer to a probe: the load of the agent's host.

    Raises
    ------
    SteeringMessageError
        If the body is not a probe answer.
    """
    try:
        with SCHEMA.ProbeAnswer.from_bytes(body) as message:
            return decode_load(message)
    except (capnp.KjException, ValueError) as error:
        raise SteeringMessageError(
            "probe answer: the body is not a ProbeAnswer message"
        ) from error


def encode_load(load: TargetLoad) -> dict[str, float]:
    """Return the fields of a load under the names of the schema."""
    return {
        "inProgress": min(load.in_progress, MAX_COUNT),
        "flows": load.flows,
        "meanInProgress": load.mean_in_progress,
        "workMs": load.work_ms,
        "failedShare": load.failed_share,
    }


def decode_load(message) -> TargetLoad:
    """Return the load in a decoded message.

    Figures of work out of range count as unknown.
    """
    load = message.load
    work_ms = load.workMs
    failed_share = load.failedShare
    return TargetLoad(
        load.inProgress,
        load.flows,
        load.meanInProgress,
        work_ms if 0.0 < work_ms < inf else 0.0,
        failed_share if 0.0 < failed_share <= 1.0 else 0.0,
    )


def prefix_size(header: bytes) -> bytes:
    """Return a header prefixed with its size."""
    return len(header).to_bytes(SIZE_BYTES, "big") + header


def split_body(body: bytes) -> tuple[bytes, bytes]:
    """Split a message body into its header and the packet after it.

    Raises
    ------
    SteeringMessageError
        If the body is shorter than the size prefix and the header together,
        or the header is empty.
    """
    end = SIZE_BYTES + int.from_bytes(body[:SIZE_BYTES], "big")
    if len(body) < end or end == SIZE_BYTES:
        raise SteeringMessageError(
            "delivery or returned packet: header truncated or empty"
        )
    return body[SIZE_BYTES:end], body[end:]
