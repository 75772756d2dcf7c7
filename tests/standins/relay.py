"""Plays the bytes of a real TCP connection into one of segments."""

from asyncio import IncompleteReadError
from asyncio import StreamReader
from asyncio import StreamWriter
from contextlib import suppress

from tests.standins.segments import Connection

READ_BYTES = 65_536


class Relay:
    """The application of a `Connection`: a real TCP connection.

    Attributes
    ----------
    was_reset : bool
        Whether the connection of segments was broken.
    """

    def __init__(self):
        self.writer: StreamWriter | None = None
        self.waiting: list[bytes] = []
        self.ended = False
        self.was_reset = False

    def attach(self, writer: StreamWriter) -> None:
        """Write from now on to the real connection."""
        self.writer = writer
        for data in self.waiting:
            writer.write(data)
        self.waiting.clear()
        if self.ended:
            self.handle_end()

    def handle_data(self, data: bytes) -> None:
        """Write the bytes to the real connection."""
        if self.writer is None:
            self.waiting.append(data)
        elif not self.writer.is_closing():
            self.writer.write(data)

    def handle_end(self) -> None:
        """Close the sending side of the real connection."""
        self.ended = True
        if self.writer is not None and not self.writer.is_closing():
            with suppress(OSError, RuntimeError):
                self.writer.write_eof()

    def handle_reset(self) -> None:
        """Break the real connection."""
        self.was_reset = True
        if self.writer is not None:
            self.writer.transport.abort()

    def count_unread(self) -> int:
        """Return how many bytes the real connection still holds."""
        if self.writer is None:
            return sum(map(len, self.waiting))
        return self.writer.transport.get_write_buffer_size()


async def pump(reader: StreamReader, connection: Connection) -> None:
    """Send what the real connection brings until it ends."""
    try:
        while not connection.closed:
            data = await reader.read(READ_BYTES)
            if not data:
                connection.end()
                return
            connection.write(data)
            await connection.drained.wait()
    except (OSError, IncompleteReadError):
        connection.reset()
