"""``python -m tests.soak`` plays seeds and keeps the logs of those that fail.

Exits with 1 if a promise was broken.
"""

from asyncio import current_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import run
from asyncio import Semaphore
from pathlib import Path
from signal import SIGTERM
import sys
from time import time
from typing import Annotated

from typer import echo
from typer import Exit
from typer import Option
from typer import Typer

from tests.soak.plan import BALANCERS
from tests.soak.plan import PLACES
from tests.soak.run import play

application = Typer(add_completion=False)


def keep(outcome, folder):
    """Write the steps, the broken promises and the logs of a seed."""
    place = folder / f"seed-{outcome.seed}"
    place.mkdir(parents=True, exist_ok=True)
    (place / "broken.txt").write_text(
        "\n".join([*map(str, outcome.steps), *outcome.broken, ""])
    )
    for name, written in outcome.output.items():
        (place / f"{name}.log").write_bytes(written)


async def play_all(seeds, jobs, folder, size):
    """Play seeds, some at a time; return how many broke a promise."""
    slots = Semaphore(jobs)
    failed = 0
    # Cancelled, every seed ends the processes that it started.
    get_running_loop().add_signal_handler(SIGTERM, current_task().cancel)

    async def play_one(seed):
        nonlocal failed
        async with slots:
            outcome = await play(seed, *size)
        text = f"{outcome.answered} of {outcome.asked} answered"
        echo(f"seed {seed}: {text}, {len(outcome.broken)} promises broken")
        if outcome.broken:
            failed += 1
            keep(outcome, folder)
            for line in outcome.broken:
                echo(f"    {line}")

    await gather(*map(play_one, seeds))
    return failed


@application.command()
def soak(
    count: Annotated[int, Option(help="Seeds to play.")] = 50,
    first: Annotated[
        int | None, Option(help="First seed; a fresh one if left out.")
    ] = None,
    jobs: Annotated[int, Option(help="Seeds played at a time.")] = 3,
    logs: Annotated[
        Path, Option(help="Folder for the logs of seeds that fail.")
    ] = Path("soak-logs"),
    balancers: Annotated[int, Option(help="Balancers of a seed.")] = BALANCERS,
    places: Annotated[
        int, Option(help="Hosts of a seed, each with its agent; 90 at most.")
    ] = PLACES,
) -> None:
    """Play seeds of random faults against the real processes."""
    start = int(time()) if first is None else first
    seeds = range(start, start + count)
    failed = run(play_all(seeds, jobs, logs, (balancers, places)))
    echo(f"{count - failed} seeds kept every promise, {failed} did not")
    if failed:
        raise Exit(1)


if __name__ == "__main__":
    sys.exit(application())
