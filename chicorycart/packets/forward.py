"""The message that carries a caller's packet between processes.

A message is the configuration version in eight bytes, the size of its
header in two, the header as a Cap'n Proto message, and the packet as it
came. Headers repeat, so both sides keep those that they used last; the
version stands apart, since it alone changes often.
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
    """What a forwarded packet carries besides the packet; never changed.

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
    """A caller's packet on its way along the chain of its flow.

    Attributes
    ----------
    version : int
        Configuration version that gave the chain.
    service : int
        Identifier of the service.
    chain : list of int
        Packed addresses of the agents to try, in order.
    position : int
        Index of the agent that this copy is sent to.
    hops : int
        Times that the packet has been sent.
    placed : bool
        Whether an earlier agent chose this one for the opening flow.
    packet : bytes
        The whole IPv4 packet.
    unsettled : bool
        Whether an agent that had the packet may not know the owner yet.
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
    """Return the message in wire form."""
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
    """Return what goes before the header."""
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
    """Return a header in wire form, with its size before it."""
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
    """Read a message in wire form.

    Raises
    ------
    PacketError
        If its header is truncated, too long or no `ForwardHeader`, or if
        its position lies beyond its chain.
    """
    if len(body) < PREAMBLE.size:
        raise PacketError("shorter than a preamble")
    version, size = PREAMBLE.unpack_from(body)
    end = PREAMBLE.size + size
    if not 0 < size <= MAX_FORWARD_HEADER_BYTES or end > len(body):
        raise PacketError("impossible size of a header")
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
    """Read a header in wire form.

    Raises
    ------
    PacketError
        If it is not a `ForwardHeader` whose position lies within its chain.
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
        raise PacketError("not a forwarded packet") from error
    if header.position >= len(header.chain):
        raise PacketError("position beyond the end of the chain")
    return header
