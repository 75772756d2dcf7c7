"""Body of a request, buffered so that it can be sent again."""

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
    """A body that is streamed; the first `REPLAY_BODY_BYTES` are buffered.

    Attributes
    ----------
    pipe : Pipe
        Source of the chunks.
    replay_chunks : list of bytes
        Chunks read so far, empty once the body exceeds the buffer.
    read_bytes : int
        Bytes read so far.
    is_complete : bool
        Whether the body was read to its end.
    exceeds_replay : bool
        Whether the body exceeds the buffer, so that it cannot be replayed.
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
        """Whether `chunks` can yield the body from its beginning."""
        return not self.exceeds_replay

    async def prefetch(self) -> None:
        """Fill the replay buffer: read all of a small body.

        It is called before a slot is taken, so that a caller that stalls in
        a small body holds none.
        """
        while not self.is_complete and self.read_bytes < REPLAY_BODY_BYTES:
            await self.read()

    async def read(self) -> bytes | None:
        """Read the next chunk, and buffer it if there is room.

        Raises
        ------
        BadRequestError
            If no chunk arrives within `BODY_IDLE_SECONDS` or the body is
            larger than `MAX_REQUEST_BODY_BYTES`.
        """
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
        """Yield the body: buffered chunks first, then the rest as it comes."""
        for chunk in list(self.replay_chunks):
            yield chunk
        while not self.is_complete:
            chunk = await self.read()
            if chunk is not None:
                yield chunk
