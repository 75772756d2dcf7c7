"""Encodes and decodes the message that forwards a caller's packet.

A message is the configuration version (8 bytes), the size of the header
(2 bytes), the header as a Cap'n Proto message, and the unchanged packet.
Most headers repeat, so both sides cache recently used ones. The version is
not part of the header, because it changes often and would make every cached
header useless.
"""

from functools import lru_cache
from pathlib import Path
from struct import Struct

import capnp

from chicorycart.defaults import FORWARD_HEADER_CACHE_ENTRIES
from chicorycart.defaults import MAX_FORWARD_HEADER_BYTES
from chicorycart.packets.errors import PacketError

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
VERSION_BYTES = 8
SIZE_BYTES = 2
PREAMBLE = Struct(">QH")


class ForwardHeader:
    """The decoded header of a forwarded packet.

    Instances are cached and shared, so they must not be modified.

    Attributes
    ----------
    service, position, hops, placed, unsettled
        As in `Forward`.
    chain : tuple of int
        Packed addresses of the agents to try, in order.
    """

    __slots__ = (
        "service",
        "chain",
        "position",
        "hops",
        "placed",
        "unsettled",
    )

    def __init__(
        self,
        service: int,
        chain: tuple[int, ...],
        position: int,
        hops: int,
        placed: bool,
        unsettled: bool,
    ):
        self.service = service
        self.chain = chain
        self.position = position
        self.hops = hops
        self.placed = placed
        self.unsettled = unsettled


class Forward:
    """A caller's packet that is forwarded along the chain of its flow.

    Attributes
    ----------
    version : int
        Configuration version from which the chain was built.
    service : int
        Identifier of the service.
    chain : list of int
        Packed addresses of the agents to try, in order.
    position : int
        Index in the chain of the agent that the packet is sent to.
    hops : int
        Times that the packet has been sent, by the balancer or an agent.
    placed : bool
        Whether another agent chose the receiving agent for a new flow.
    packet : bytes
        The whole IPv4 packet.
    unsettled : bool
        Whether an agent that forwarded the packet may not know the owner
        of the flow yet, for want of a configuration version or a record.
    """

    __slots__ = (
        "version",
        "service",
        "chain",
        "position",
        "hops",
        "placed",
        "packet",
        "unsettled",
    )

    def __init__(
        self,
        version: int,
        service: int,
        chain: list[int],
        packet: bytes,
        position: int = 0,
        hops: int = 0,
        placed: bool = False,
        unsettled: bool = False,
    ):
        self.version = version
        self.service = service
        self.chain = chain
        self.packet = packet
        self.position = position
        self.hops = hops
        self.placed = placed
        self.unsettled = unsettled


def encode_forward(forward: Forward) -> bytes:
    """Encode the message."""
    header = encode_header(
        forward.service,
        tuple(forward.chain),
        forward.position,
        forward.hops,
        forward.placed,
        forward.unsettled,
    )
    return encode_version(forward.version) + header + forward.packet


def encode_version(version: int) -> bytes:
    """Encode the version, which precedes the header with its size."""
    return version.to_bytes(VERSION_BYTES, "big")


@lru_cache(FORWARD_HEADER_CACHE_ENTRIES)
def encode_header(
    service: int,
    chain: tuple[int, ...],
    position: int = 0,
    hops: int = 0,
    placed: bool = False,
    unsettled: bool = False,
) -> bytes:
    """Encode a header, preceded by its size."""
    message = SCHEMA.ForwardHeader.new_message(
        service=service,
        chain=chain,
        position=position,
        hops=hops,
        placed=placed,
        unsettled=unsettled,
    )
    header = message.to_bytes()
    return len(header).to_bytes(SIZE_BYTES, "big") + header


def decode_forward(body: bytes) -> Forward:
    """Decode a message.

    Raises
    ------
    PacketError
        If the header is truncated, longer than `MAX_FORWARD_HEADER_BYTES`
        or not a `ForwardHeader`, or if its position is outside the chain.
    """
    if len(body) < PREAMBLE.size:
        raise PacketError("forwarded packet: truncated before the header")
    version, size = PREAMBLE.unpack_from(body)
    end = PREAMBLE.size + size
    if not 0 < size <= MAX_FORWARD_HEADER_BYTES or end > len(body):
        raise PacketError(
            "forwarded packet: header size is 0, above the maximum or"
            " longer than the message"
        )
    header = decode_header(body[PREAMBLE.size : end])
    return Forward(
        version,
        header.service,
        list(header.chain),
        body[end:],
        header.position,
        header.hops,
        header.placed,
        header.unsettled,
    )


@lru_cache(FORWARD_HEADER_CACHE_ENTRIES)
def decode_header(data: bytes) -> ForwardHeader:
    """Decode a header.

    Raises
    ------
    PacketError
        If it is not a `ForwardHeader` or its position is outside the chain.
    """
    try:
        with SCHEMA.ForwardHeader.from_bytes(data) as message:
            header = ForwardHeader(
                message.service,
                tuple(message.chain),
                message.position,
                message.hops,
                message.placed,
                message.unsettled,
            )
    except (capnp.KjException, ValueError) as error:
        raise PacketError(
            "forwarded packet: header is not a ForwardHeader"
        ) from error
    if header.position >= len(header.chain):
        raise PacketError("forwarded packet: position is outside the chain")
    return header
