"""Carries a body from its reader to its writer, with back-pressure."""

from asyncio import Event

from chicorycart.requests.errors import RequestError


class Pipe:
    """Holds at most one part of a body; the reader waits for the writer."""

    __slots__ = ("chunk", "is_ended", "error", "readable", "writable")

    def __init__(self):
        self.chunk: bytes | None = None
        self.is_ended = False
        self.error: RequestError | None = None
        self.readable = Event()
        self.writable = Event()
        self.writable.set()

    async def put(self, chunk: bytes) -> None:
        """Pass on one part, once the part before it was taken."""
        await self.writable.wait()
        if self.is_ended:
            return
        self.writable.clear()
        self.chunk = chunk
        self.readable.set()

    def end(self) -> None:
        """Say that the body is whole."""
        self.is_ended = True
        self.readable.set()

    def fail(self, error: RequestError) -> None:
        """Say that the rest of the body will not come."""
        if not self.is_ended:
            self.error = error
            self.end()

    def discard(self) -> None:
        """Drop whatever still comes, so that its reader can go on."""
        self.end()
        self.writable.set()

    async def get(self) -> bytes | None:
        """Return the next part, None at the end of a whole body.

        Raises
        ------
        RequestError
            If the body broke off.
        """
        while self.chunk is None:
            if self.error is not None:
                raise self.error
            if self.is_ended:
                return None
            self.readable.clear()
            await self.readable.wait()
        chunk = self.chunk
        self.chunk = None
        self.writable.set()
        return chunk
