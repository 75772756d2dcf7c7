"""Chooses the balancers that a round of gossip goes to."""

from random import Random
from typing import Protocol

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.defaults import GOSSIP_PEERS
from chicorycart.membership.instances import Balancers


class PeerChoice(Protocol):
    """Something that chooses peers."""

    def choose(self) -> list[Address]:
        """Return where the next round of gossip goes."""


class FlatPeers:
    """Chooses among all balancers alike.

    Parameters
    ----------
    balancers : Balancers
        The balancers on the instance list.
    own : int
        Packed address of the own process.
    random : Random
        Makes the choice.
    """

    __slots__ = ("balancers", "own", "random")

    def __init__(self, balancers: Balancers, own: int, random: Random):
        self.balancers = balancers
        self.own = own
        self.random = random

    def choose(self) -> list[Address]:
        """Return a few random balancers other than the own process."""
        listed = self.balancers.listed
        count = min(GOSSIP_PEERS + 1, len(listed))
        drawn = [b.data for b in self.random.sample(listed, count)]
        others = [a for a in drawn if pack_address(a) != self.own]
        return others[:GOSSIP_PEERS]
