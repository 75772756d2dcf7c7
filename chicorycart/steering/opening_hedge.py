"""State of an opening packet that may go to a second target as well."""

from asyncio import TimerHandle

from chicorycart.address import Address


class OpeningHedge:
    """The first offer of an opening packet, and its hedge if one was sent.

    Attributes
    ----------
    first : Address
        Agent of the first target.
    copies : int
        Retransmissions of the opening packet up to that offer.
    offered_at : float
        Time of the first offer.
    second : Address or None
        Agent of the second target, once the packet was offered to it.
    sent_at : float
        Time of that offer.
    is_only_offer : bool
        Whether the first target failed, so that only the second is awaited.
    timer : TimerHandle or None
        Runs until the hedge is due.
    """

    __slots__ = (
        "first",
        "copies",
        "offered_at",
        "second",
        "sent_at",
        "is_only_offer",
        "timer",
    )

    def __init__(self, first: Address, copies: int, offered_at: float):
        self.first = first
        self.copies = copies
        self.offered_at = offered_at
        self.second: Address | None = None
        self.sent_at = 0.0
        self.is_only_offer = False
        self.timer: TimerHandle | None = None

    def stop_timer(self) -> None:
        """Cancel a hedge that was not sent yet."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
