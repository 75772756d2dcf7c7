"""Hands the messages of agents to what takes them."""

from collections.abc import Callable

from chicorycart.address import Address


class MessageReceiver:
    """Takes one kind of message.

    Parameters
    ----------
    handler : callable
        Gets the body and the sender of each.
    """

    __slots__ = ("handler",)

    def __init__(self, handler: Callable[[bytes, Address], None]):
        self.handler = handler

    def receive(self, body: bytes, source: Address) -> None:
        """Take one message."""
        self.handler(body, source)
