"""Single-chunk buffer between two connections, with back-pressure."""

from asyncio import Event

from chicorycart.requests.errors import RequestError


class Pipe:
    """A body in transit from one connection to another.

    It holds at most one chunk, so `put` waits until the chunk before was
    taken by `get`.
    """

    __slots__ = ("chunk", "is_ended", "error", "readable", "writable")

    def __init__(self):
        self.chunk: bytes | None = None
        self.is_ended = False
        self.error: RequestError | None = None
        self.readable = Event()
        self.writable = Event()
        self.writable.set()

    async def put(self, chunk: bytes) -> None:
        """Add a chunk once the buffer is empty; drop it after the end."""
        await self.writable.wait()
        if self.is_ended:
            return
        self.writable.clear()
        self.chunk = chunk
        self.readable.set()

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_ended = True
        self.readable.set()

    def fail(self, error: RequestError) -> None:
        """Mark the body as truncated; `get` raises the error."""
        if not self.is_ended:
            self.error = error
            self.end()

    def discard(self) -> None:
        """Drop later chunks, so that `put` no longer waits."""
        self.end()
        self.writable.set()

    async def get(self) -> bytes | None:
        """Return the next chunk, or None at the end of a complete body.

        Raises
        ------
        RequestError
            If the body is truncated.
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
