"""An IPv4 address with a port, as sockets and messages use it."""

from functools import lru_cache
from ipaddress import AddressValueError
from ipaddress import IPv4Address
from typing import NamedTuple

from chicorycart.defaults import PACKED_ADDRESS_CACHE_ENTRIES
from chicorycart.errors import ChicorycartError

PORT_BITS = 16
MAX_PORT = 65_535


class AddressError(ChicorycartError):
    """A text that is not an IPv4 address with a port."""


class Address(NamedTuple):
    """A host and a port; a tuple because sockets take it as it is.

    Attributes
    ----------
    host : str
        IPv4 address in dotted form.
    port : int
        Port, 0 to 65535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Read ``A.B.C.D:PORT``.

    Raises
    ------
    AddressError
        If the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > MAX_PORT:
        raise AddressError(f"{text!r}: expected A.B.C.D:PORT")
    try:
        return Address(str(IPv4Address(host)), int(port))
    except AddressValueError as error:
        raise AddressError(f"{text!r}: expected A.B.C.D:PORT") from error


def pack_address(address: Address) -> int:
    """Return the address as one integer, host above port."""
    return int(IPv4Address(address.host)) << PORT_BITS | address.port


@lru_cache(PACKED_ADDRESS_CACHE_ENTRIES)
def unpack_address(number: int) -> Address:
    """Reverse `pack_address`.

    Raises
    ------
    AddressError
        If the number is out of range.
    """
    try:
        host = IPv4Address(number >> PORT_BITS)
    except AddressValueError as error:
        raise AddressError(f"{number}: not a packed address") from error
    return Address(str(host), number & MAX_PORT)
