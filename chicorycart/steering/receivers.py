"""Hands the messages of agents to what takes them."""

from collections.abc import Callable

from chicorycart.address import Address


class MessageReceiver:
    """Takes one kind of message.

    Parameters
    ----------
    take : callable
        Gets the body and the sender of each.
    """

    __slots__ = ("take",)

    def __init__(self, take: Callable[[bytes, Address], None]):
        self.take = take

    def receive(self, body: bytes, source: Address) -> None:
        """Take one message."""
        self.take(body, source)
