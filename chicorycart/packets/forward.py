"""The message that carries a caller's packet between processes."""

from pathlib import Path

import capnp

from chicorycart.packets.errors import PacketError

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))


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
    message = SCHEMA.Forward.new_message(
        version=forward.version,
        service=forward.service,
        chain=forward.chain,
        position=forward.position,
        hops=forward.hops,
        placed=forward.placed,
        packet=forward.packet,
        unsettled=forward.unsettled,
    )
    return message.to_bytes()


def decode_forward(body: bytes) -> Forward:
    """Read a message in wire form.

    Raises
    ------
    PacketError
        If it is not a `Forward` whose position lies within its chain.
    """
    try:
        with SCHEMA.Forward.from_bytes(body) as message:
            forward = Forward(
                message.version,
                message.service,
                list(message.chain),
                bytes(message.packet),
                message.position,
                message.hops,
                message.placed,
                message.unsettled,
            )
    except (capnp.KjException, ValueError) as error:
        raise PacketError("not a forwarded packet") from error
    if forward.position >= len(forward.chain):
        raise PacketError("position beyond the end of the chain")
    return forward
