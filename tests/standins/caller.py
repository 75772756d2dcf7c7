"""Stands in for an old caller: plain HTTP over one connection."""

from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import StreamReader
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
    def told(self) -> str:
        """What the caller can know: the status and the outcome."""
        if not self.status:
            return "connection closed"
        outcome = self.field("X-Request-Outcome")
        if outcome:
            return f"{self.status} {outcome}"
        return f"{self.status} {'whole' if self.is_whole else 'cut'}"


async def send(address: Address, *parts: bytes) -> Answer:
    """Send the parts over a new connection and read one answer."""
    reader, writer = await open_connection(*address)
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
        return await wait_for(read_answer(reader), ANSWER_SECONDS)
    finally:
        writer.close()


async def read_answer(reader: StreamReader) -> Answer:
    """Read one answer, as much as there is of it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    except (IncompleteReadError, ConnectionError):
        return Answer("", b"", False)
    if " 100 " in head.partition("\r\n")[0]:
        return await read_answer(reader)
    try:
        length = read_field(head, "Content-Length")
        if length is not None:
            return Answer(head, await reader.readexactly(int(length)), True)
        if read_field(head, "Transfer-Encoding") == "chunked":
            return Answer(head, await read_chunks(reader), True)
        return Answer(head, await reader.read(), True)
    except (IncompleteReadError, ConnectionError):
        return Answer(head, b"", False)


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
