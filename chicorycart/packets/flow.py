"""Hashing and formatting of flows.

The key of a flow is its five-tuple in 13 bytes: protocol (1), source address
(4) and port (2), destination address (4) and port (2), in network order.
"""

from socket import inet_ntoa
from socket import IPPROTO_TCP
from socket import IPPROTO_UDP

from xxhash import xxh64_intdigest


def hash_flow(flow: bytes) -> int:
    """Return the 64-bit hash of a flow; it is the same in every process."""
    return xxh64_intdigest(flow)


def is_udp(flow: bytes) -> bool:
    """Return whether the flow is UDP, which has no opening packet."""
    return flow[0] == IPPROTO_UDP


def describe_flow(flow: bytes) -> str:
    """Format the flow as ``tcp:SOURCE:PORT>DESTINATION:PORT``."""
    protocol = "tcp" if flow[0] == IPPROTO_TCP else "udp"
    source = f"{inet_ntoa(flow[1:5])}:{int.from_bytes(flow[5:7], 'big')}"
    target = f"{inet_ntoa(flow[7:11])}:{int.from_bytes(flow[11:13], 'big')}"
    return f"{protocol}:{source}>{target}"
