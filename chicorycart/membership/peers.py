"""Chooses the balancers that receive a round of gossip."""

from random import Random
from typing import Protocol

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.defaults import GOSSIP_PEERS
from chicorycart.membership.instances import Balancers


class PeerChoice(Protocol):
    """A way to choose gossip peers."""

    def choose(self) -> list[Address]:
        """Return the addresses to send the next round of gossip to."""


class FlatPeers:
    """Chooses among all balancers with equal probability.

    Parameters
    ----------
    balancers : Balancers
        The balancers on the instance list.
    own_address : int
        Packed address of the own process.
    random : Random
        Source of randomness for the choice.
    """

    __slots__ = ("balancers", "own_address", "random")

    def __init__(self, balancers: Balancers, own_address: int, random: Random):
        self.balancers = balancers
        self.own_address = own_address
        self.random = random

    def choose(self) -> list[Address]:
        """Return a few random balancers other than the own process."""
        listed = self.balancers.listed
        count = min(GOSSIP_PEERS + 1, len(listed))
        drawn = [b.data for b in self.random.sample(listed, count)]
        others = [a for a in drawn if pack_address(a) != self.own_address]
        return others[:GOSSIP_PEERS]
