"""Stands in for a target that fails at a chosen step of a request."""

from asyncio import CancelledError
from asyncio import current_task
from asyncio import Event
from asyncio import IncompleteReadError
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import wait
from collections import Counter
from enum import StrEnum

from chicorycart.address import Address

LATE_SECONDS = 0.6
SETTLE_SECONDS = 10.0
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbooked\n"
SHED = b"HTTP/1.1 503 Busy\r\nX-Request-Outcome: not-run\r\n"


class Fault(StrEnum):
    """What goes wrong, and at which step of a request."""

    NONE = "none"
    REFUSE = "connection refused"
    CLOSE_CONNECTED = "killed after connect"
    READ_NOTHING = "reads no body"
    CLOSE_MID_BODY = "killed in mid-body"
    CLOSE_BEFORE_RUN = "killed after body, before running"
    SHED = "sheds"
    HANG_BEFORE_RUN = "hangs before running"
    CLOSE_AFTER_RUN = "killed after running"
    HANG_AFTER_RUN = "hangs after running"
    LATE = "answers late"
    NONSENSE = "answers nonsense"
    CUT = "killed in mid-answer"
    SILENT_MID_ANSWER = "silent in mid-answer, then killed"
    DOUBLE = "answers twice"
    INTERIM = "answers 102 first"


ANSWERS = {
    Fault.NONSENSE: b"200 fine\r\n\r\n",
    Fault.CUT: WHOLE[:-3],
    Fault.SILENT_MID_ANSWER: WHOLE[:-3],
    Fault.DOUBLE: WHOLE + WHOLE,
    Fault.INTERIM: b"HTTP/1.1 102 Processing\r\n\r\n" + WHOLE,
}


class FaultyTarget:
    """A target whose next requests all meet one fault.

    Attributes
    ----------
    fault : Fault
        What goes wrong.
    runs : Counter
        How often each path was run.
    heads : list of str
        The requests as they came, without their bodies.
    cancelled : int
        Requests whose connection was closed while the target hung.
    has_run, is_hanging : Event
        Set once a request was run, or hangs.
    canned : bytes
        What a request is answered with if nothing fails.
    """

    def __init__(self, address: Address):
        self.address = address
        self.fault = Fault.NONE
        self.runs: Counter[str] = Counter()
        self.heads: list[str] = []
        self.cancelled = 0
        self.is_closing = Event()
        self.has_run = Event()
        self.is_hanging = Event()
        self.canned = WHOLE
        self.server = None
        self.tasks = set()

    async def listen(self) -> None:
        """Serve, unless connections are to be refused."""
        if self.fault is not Fault.REFUSE:
            self.server = await start_server(self.take, *self.address)

    async def set_fault(self, fault: Fault) -> None:
        """Let the requests from now on meet a fault."""
        self.close()
        self.is_closing = Event()
        self.fault = fault
        await self.listen()

    async def take(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Take one connection."""
        self.tasks.add(current_task())
        try:
            await self.serve(reader, writer)
        except (ConnectionError, IncompleteReadError, CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(current_task())

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Take one request as far as the fault lets it."""
        if self.fault is Fault.CLOSE_CONNECTED:
            return
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        self.heads.append(head)
        length = int(read_field(head, "Content-Length") or 0)
        if self.fault is Fault.READ_NOTHING:
            self.is_hanging.set()
            writer.transport.pause_reading()
            await self.is_closing.wait()
            return
        if self.fault is Fault.CLOSE_MID_BODY:
            await reader.readexactly(length // 2)
            return
        await reader.readexactly(length)
        if self.fault is Fault.CLOSE_BEFORE_RUN:
            return
        if self.fault is Fault.SHED:
            writer.write(SHED + b"Content-Length: 0\r\n\r\n")
            return
        if self.fault is Fault.HANG_BEFORE_RUN:
            await self.hang(reader)
            return
        self.runs[head.split()[1]] += 1
        self.has_run.set()
        await self.answer(reader, writer)

    async def answer(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer a request that was run, as the fault has it."""
        if self.fault is Fault.CLOSE_AFTER_RUN:
            return
        if self.fault is Fault.HANG_AFTER_RUN:
            await self.hang(reader)
            return
        if self.fault is Fault.LATE:
            await sleep(LATE_SECONDS)
        writer.write(ANSWERS.get(self.fault, self.canned))
        await writer.drain()
        if self.fault is Fault.SILENT_MID_ANSWER:
            await sleep(LATE_SECONDS)

    async def hang(self, reader: StreamReader) -> None:
        """Do nothing until the other end closes the connection."""
        self.is_hanging.set()
        await reader.read()
        self.cancelled += 1

    async def settle(self) -> None:
        """Wait until no request is at the target any more."""
        if self.tasks:
            _, pending = await wait(self.tasks, timeout=SETTLE_SECONDS)
            assert not pending, "a request was never cancelled"

    def close(self) -> None:
        """Stop listening."""
        self.is_closing.set()
        if self.server is not None:
            self.server.close()
            self.server = None


def read_field(head: str, name: str) -> str | None:
    """Return the value of a header field."""
    for line in head.split("\r\n")[1:]:
        field, _, value = line.partition(":")
        if field.lower() == name.lower():
            return value.strip()
    return None
