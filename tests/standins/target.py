"""Stands in for a target: an HTTP server with slots and faults."""

from asyncio import Semaphore
from asyncio import sleep
from collections import Counter

from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from chicorycart.address import Address

DIAGRAM_BYTES = 2_000_000
DIAGRAM_CHUNK = 50_000
FEED_SECONDS = 0.05


class StandInTarget:
    """A target of one service.

    Attributes
    ----------
    work_seconds : float
        Time that one request takes in its slot.
    runs : Counter
        How often each booking was run.
    """

    def __init__(
        self,
        service: str,
        name: str,
        slots: int,
        work_seconds: float = 0.01,
    ):
        self.service = service
        self.name = name
        self.slots = Semaphore(slots)
        self.work_seconds = work_seconds
        self.in_progress = 0
        self.runs: Counter[str] = Counter()
        self.server = None

    def listen(self, address: Address) -> None:
        """Serve on an address."""
        application = Application(
            [
                ("/bookings/(.+)", BookingHandler, {"target": self}),
                ("/diagram", DiagramHandler, {"target": self}),
                ("/feed", FeedHandler, {"target": self}),
            ],
            log_function=lambda handler: None,
        )
        self.server = application.listen(address.port, address.host)

    def close(self) -> None:
        """Stop serving."""
        if self.server is not None:
            self.server.stop()


class TargetHandler(RequestHandler):
    """Names the target in every answer."""

    def initialize(self, target: StandInTarget) -> None:
        """Take the target."""
        self.target = target
        self.set_header("X-Target", target.name)
        self.set_header("X-Service", target.service)


class BookingHandler(TargetHandler):
    """Runs a booking, which must not run twice."""

    async def post(self, booking: str) -> None:
        """Run the booking and answer with its name."""
        async with self.target.slots:
            self.target.in_progress += 1
            self.target.runs[booking] += 1
            await sleep(self.target.work_seconds)
            self.target.in_progress -= 1
        self.finish(f"booked {booking}\n")


class DiagramHandler(TargetHandler):
    """Sends a large answer."""

    async def get(self) -> None:
        """Send the diagram in parts."""
        for _ in range(DIAGRAM_BYTES // DIAGRAM_CHUNK):
            self.write(b"d" * DIAGRAM_CHUNK)
            await self.flush()
            await sleep(self.target.work_seconds)


class FeedHandler(TargetHandler):
    """Sends a line again and again until the caller leaves."""

    async def get(self) -> None:
        """Send numbered lines, as many as asked for."""
        lines = int(self.get_query_argument("lines", "1000000"))
        try:
            for number in range(lines):
                self.write(f"{number}\n")
                await self.flush()
                await sleep(FEED_SECONDS)
        except StreamClosedError:
            return
