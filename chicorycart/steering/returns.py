"""Packets of callers that agents return to balancers."""

from enum import StrEnum

import capnp

from chicorycart.steering.errors import SteeringMessageError
from chicorycart.steering.messages import decode_load
from chicorycart.steering.messages import encode_load
from chicorycart.steering.messages import prefix_size
from chicorycart.steering.messages import SCHEMA
from chicorycart.steering.messages import split_body
from chicorycart.steering.messages import TargetLoad

MAX_POSITION = (1 << 63) - 1
"""Largest era and revision that the schema's fields can hold."""


class ReturnReason(StrEnum):
    """Why an agent returns a packet to a balancer."""

    NOT_HELD = "notHeld"
    REFUSED = "refused"
    BUSY = "busy"
    OTHER_SERVICE = "otherService"
    STOPPING = "stopping"
    COLD = "cold"
    EVACUATED = "evacuated"


class ReturnHeader:
    """Header of a caller's packet that an agent returns to a balancer.

    Attributes
    ----------
    reason : ReturnReason
        Why the packet is returned.
    load : TargetLoad
        Load of the agent's host.
    retry_ms : int
        Time in milliseconds until a cold host may get another opening.
    era, revision : int
        Position in the store of the notice by which the host's failure domain
        is evacuated; 0 for any other reason.
    service, asked : int
        Hashes of the names of the host's service and of that in the delivery,
        if they differ; 0 for any other reason, and from earlier versions.
    """

    __slots__ = (
        "reason",
        "load",
        "retry_ms",
        "era",
        "revision",
        "service",
        "asked",
    )

    def __init__(
        self,
        reason: ReturnReason,
        load: TargetLoad,
        retry_ms: int = 0,
        era: int = 0,
        revision: int = 0,
        service: int = 0,
        asked: int = 0,
    ):
        self.reason = reason
        self.load = load
        self.retry_ms = retry_ms
        self.era = era
        self.revision = revision
        self.service = service
        self.asked = asked


def encode_return(
    reason: ReturnReason,
    load: TargetLoad,
    packet: bytes,
    retry_ms: int = 0,
    era: int = 0,
    revision: int = 0,
) -> bytes:
    """Encode a returned packet: its header, with its size, and the packet."""
    message = SCHEMA.ReturnHeader.new_message(
        reason=reason.value,
        load=encode_load(load),
        retryMs=retry_ms,
        era=clamp_position(era),
        revision=clamp_position(revision),
    )
    return prefix_size(message.to_bytes()) + packet


def encode_other_service(
    load: TargetLoad, packet: bytes, service: int, asked: int
) -> bytes:
    """Encode a packet that is returned as that of another service.

    Parameters
    ----------
    load, packet
        As in `encode_return`.
    service, asked : int
        As in ReturnHeader.
    """
    message = SCHEMA.OtherServiceHeader.new_message(
        reason=ReturnReason.OTHER_SERVICE.value,
        load=encode_load(load),
        service=service,
        asked=asked,
    )
    return prefix_size(message.to_bytes()) + packet


def decode_return(body: bytes) -> tuple[ReturnHeader, bytes]:
    """Decode a returned packet into its header and the caller's packet.

    Raises
    ------
    SteeringMessageError
        If the header is truncated or does not match the schema.
    """
    data, packet = split_body(body)
    try:
        with SCHEMA.OtherServiceHeader.from_bytes(data) as message:
            reason = ReturnReason(str(message.reason))
            header = ReturnHeader(
                reason,
                decode_load(message),
                message.retryMs,
                message.era,
                message.revision,
                message.service,
                message.asked,
            )
            return header, packet
    except (capnp.KjException, RuntimeError, ValueError) as error:
        # RuntimeError: a reason that only a later version knows.
        raise SteeringMessageError(
            "returned packet: the header is not a ReturnHeader message"
        ) from error


def clamp_position(number: int) -> int:
    """Return an era or revision within what the schema's fields can hold."""
    return max(0, min(number, MAX_POSITION))
