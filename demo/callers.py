"""Callers of the demo and what each of them saw."""

from tests.standins.target import DIAGRAM_BYTES
from tests.standins.testbed import Testbed

OK = 200


class Seen:
    """What one caller saw.

    Attributes
    ----------
    caller : str
        What the caller did.
    is_whole : bool
        Whether it got its whole answer from its own service.
    detail : str
        Which target answered, or what went wrong.
    """

    __slots__ = ("caller", "is_whole", "detail")

    def __init__(self, caller: str, is_whole: bool, detail: str):
        self.caller = caller
        self.is_whole = is_whole
        self.detail = detail

    def __str__(self) -> str:
        verdict = "ok    " if self.is_whole else "BROKEN"
        return f"{verdict} {self.caller}: {self.detail}"


def judge(caller: str, service: str, size: int, response) -> Seen:
    """Compare an answer with what the caller should get."""
    if response.code != OK:
        return Seen(caller, False, f"{response.code} {response.error}")
    target = response.headers.get("X-Target", "?")
    is_whole = (
        len(response.body) == size
        and response.headers.get("X-Service") == service
    )
    return Seen(caller, is_whole, f"{len(response.body)} bytes from {target}")


async def book(testbed: Testbed, service: str, booking: str) -> Seen:
    """Book once, and check that it ran once."""
    response = await testbed.book(service, booking)
    caller = f"booking {booking} at {service}"
    seen = judge(caller, service, len(f"booked {booking}\n"), response)
    runs = sum(target.runs[booking] for target in testbed.targets.values())
    if runs != 1:
        return Seen(caller, False, f"ran {runs} times")
    return seen


async def download(testbed: Testbed, service: str) -> Seen:
    """Download a diagram or picture."""
    response = await testbed.request(service, "/diagram")
    return judge(f"download from {service}", service, DIAGRAM_BYTES, response)


async def read_feed(testbed: Testbed, service: str, lines: int) -> Seen:
    """Read a feed of a number of lines."""
    response = await testbed.request(service, f"/feed?lines={lines}")
    size = sum(len(f"{number}\n") for number in range(lines))
    return judge(f"feed of {service}", service, size, response)
