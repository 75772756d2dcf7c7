"""Stands in for an old caller: plain HTTP over one connection."""

from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import wait_for

from chicorycart.address import Address
from tests.standins.faulty import read_field

ANSWER_SECONDS = 20.0


class Answer:
    """What a caller got.

    Attributes
    ----------
    status : int
        0 if the connection ended before an answer.
    is_whole : bool
        Whether the body is as long as the head says.
    """

    def __init__(self, head: str, body: bytes, is_whole: bool):
        self.head = head
        self.body = body
        self.is_whole = is_whole
        self.status = int(head.split()[1]) if head else 0

    def field(self, name: str) -> str | None:
        """Return a header field of the answer."""
        return read_field(self.head, name)

    @property
    def summary(self) -> str:
        """What the caller can know: the status and the outcome."""
        if not self.status:
            return "connection closed"
        outcome = self.field("X-Request-Outcome")
        if outcome:
            return f"{self.status} {outcome}"
        return f"{self.status} {'whole' if self.is_whole else 'cut'}"


class CallerConnection:
    """A connection of a caller that sends requests and reads answers."""

    def __init__(self, reader: StreamReader, writer: StreamWriter):
        self.reader = reader
        self.writer = writer

    async def send(self, request: bytes) -> None:
        """Send a request, or a part of one."""
        self.writer.write(request)
        await self.writer.drain()

    async def receive_answer(self, is_head: bool = False) -> Answer:
        """Read one answer."""
        reading = read_answer(self.reader, is_head)
        return await wait_for(reading, ANSWER_SECONDS)

    def close(self) -> None:
        """Leave."""
        self.writer.close()


async def connect(address: Address, source: str | None = None):
    """Open a connection, from a given IP number if wanted."""
    local = None if source is None else (source, 0)
    return CallerConnection(*await open_connection(*address, local_addr=local))


async def send(
    address: Address, request: bytes, source: str | None = None
) -> Answer:
    """Send a request over a new connection and read its answer."""
    connection = await connect(address, source)
    try:
        await connection.send(request)
        return await connection.receive_answer(request.startswith(b"HEAD"))
    finally:
        connection.close()


async def read_answer(reader: StreamReader, is_head: bool = False) -> Answer:
    """Read one answer, as much as there is of it; skip interim ones."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    except (IncompleteReadError, ConnectionError):
        return Answer("", b"", False)
    if head.split()[1] == "100":
        return await read_answer(reader, is_head)
    if is_head or head.split()[1] in ("204", "304"):
        return Answer(head, b"", True)
    try:
        return Answer(head, await read_body(reader, head), True)
    except (IncompleteReadError, ConnectionError):
        return Answer(head, b"", False)


async def read_body(reader: StreamReader, head: str) -> bytes:
    """Read a body to the end that its head announces."""
    length = read_field(head, "Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    if read_field(head, "Transfer-Encoding") == "chunked":
        return await read_chunks(reader)
    return await reader.read()


async def read_chunks(reader: StreamReader) -> bytes:
    """Read a chunked body."""
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


def build_request(
    path: str, method: str = "POST", body: bytes = b"", **fields: str
) -> bytes:
    """Return a request; underscores in the names of fields are dashes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: entry"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in fields.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
