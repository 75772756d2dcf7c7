"""The body of a caller's request, kept while it may be sent again."""

from asyncio import timeout
from collections.abc import AsyncIterator

from chicorycart.defaults import BODY_IDLE_SECONDS
from chicorycart.defaults import MAX_REQUEST_BODY_BYTES
from chicorycart.defaults import REPLAY_BODY_BYTES
from chicorycart.requests.errors import BadRequestError
from chicorycart.requests.pipe import Pipe

REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413


class RequestBody:
    """Reads a body as it comes; its beginning can be read again.

    Attributes
    ----------
    pipe : Pipe
        Where the parts come from.
    is_complete : bool
        Whether all of it was read from the pipe.
    """

    __slots__ = (
        "pipe",
        "replay_chunks",
        "read_bytes",
        "is_complete",
        "exceeds_replay",
    )

    def __init__(self, pipe: Pipe):
        self.pipe = pipe
        self.replay_chunks: list[bytes] = []
        self.read_bytes = 0
        self.is_complete = False
        self.exceeds_replay = False

    @property
    def can_replay(self) -> bool:
        """Whether everything read so far is still kept."""
        return not self.exceeds_replay

    async def prefetch(self) -> None:
        """Read all of a small body, or the part that is kept of a large one.

        A caller that hangs in a small body so never holds a slot.
        """
        while not self.is_complete and self.read_bytes < REPLAY_BODY_BYTES:
            await self.read()

    async def read(self) -> bytes | None:
        """Read the next part; keep it as long as there is room."""
        try:
            async with timeout(BODY_IDLE_SECONDS):
                chunk = await self.pipe.get()
        except TimeoutError as error:
            raise BadRequestError(
                REQUEST_TIMEOUT, "the body did not come"
            ) from error
        if chunk is None:
            self.is_complete = True
            return None
        self.read_bytes += len(chunk)
        if self.read_bytes > MAX_REQUEST_BODY_BYTES:
            raise BadRequestError(CONTENT_TOO_LARGE, "the body is too large")
        if self.read_bytes - len(chunk) < REPLAY_BODY_BYTES:
            self.replay_chunks.append(chunk)
        else:
            self.exceeds_replay = True
            self.replay_chunks.clear()
        return chunk

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its beginning."""
        for chunk in list(self.replay_chunks):
            yield chunk
        while not self.is_complete:
            chunk = await self.read()
            if chunk is not None:
                yield chunk
