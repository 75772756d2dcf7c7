"""Reads which connections the kernel of the own instance holds."""

from ipaddress import IPv4Address
from pathlib import Path

from chicorycart.agent.errors import HostError
from chicorycart.flows.messages import FLOW_BYTES

CONNECTION_FILES = (Path("/proc/net/tcp"), Path("/proc/net/tcp6"))
OPEN_STATES = frozenset(("01", "03", "04", "05", "08"))
"""Established, SYN received, both FIN waits and close wait."""

TCP = b"\x06"
MAPPED_PREFIX = "0000000000000000FFFF0000"
LOCAL_COLUMN = 1
REMOTE_COLUMN = 2
STATE_COLUMN = 3


class KernelConnections:
    """The open TCP connections of the instance, as Linux lists them.

    Parameters
    ----------
    files : tuple of Path
        The kernel's lists.
    """

    __slots__ = ("files",)

    def __init__(self, files: tuple[Path, ...] = CONNECTION_FILES):
        self.files = files

    def list_flows(self, entry: tuple[str, int, int]) -> list[bytes]:
        """Return the flows of callers at an entry (host, port, protocol).

        Raises
        ------
        HostError
            If a list cannot be read.
        """
        host, port, _ = entry
        end = IPv4Address(host).packed + port.to_bytes(2, "big")
        flows = [flow for file in self.files for flow in read_flows(file)]
        return [flow for flow in flows if flow.endswith(end)]


def read_flows(file: Path) -> list[bytes]:
    """Return the flow of every open IPv4 connection in one list."""
    try:
        lines = file.read_text(encoding="ascii").splitlines()
    except FileNotFoundError:
        return []
    except (OSError, ValueError) as error:
        raise HostError(f"cannot read {file}: {error}") from error
    flows = (read_flow(line.split()) for line in lines[1:])
    return [flow for flow in flows if len(flow) == FLOW_BYTES]


def read_flow(columns: list[str]) -> bytes:
    """Return the five-tuple of one line; empty if it is none of ours."""
    if len(columns) <= STATE_COLUMN:
        return b""
    if columns[STATE_COLUMN] not in OPEN_STATES:
        return b""
    try:
        remote = read_end(columns[REMOTE_COLUMN])
        return TCP + remote + read_end(columns[LOCAL_COLUMN])
    except ValueError:
        return b""


def read_end(text: str) -> bytes:
    """Return address and port; the kernel writes addresses reversed."""
    address, _, port = text.partition(":")
    address = address.removeprefix(MAPPED_PREFIX)
    return bytes.fromhex(address)[::-1] + int(port, 16).to_bytes(2, "big")
