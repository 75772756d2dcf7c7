"""Adapter from message handlers to the receivers of a link."""

from collections.abc import Callable

from chicorycart.address import Address


class MessageReceiver:
    """Passes each message of one kind to a handler function.

    Parameters
    ----------
    handler : callable
        Called with the body and the sender of each message.
    """

    __slots__ = ("handler",)

    def __init__(self, handler: Callable[[bytes, Address], None]):
        self.handler = handler

    def receive(self, body: bytes, source: Address) -> None:
        """Pass one message to the handler."""
        self.handler(body, source)
