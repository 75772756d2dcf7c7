"""The command line ``chicorycartd``: one daemon a process."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import run
from pathlib import Path
from signal import SIGINT
from signal import SIGTERM
from typing import Annotated
from typing import Protocol

from typer import echo
from typer import Exit
from typer import Option
from typer import Typer

from chicorycart.agent.daemon import Agent
from chicorycart.balancer.daemon import Balancer
from chicorycart.errors import ChicorycartError
from chicorycart.operation.logs import start_log
from chicorycart.settings.errors import SettingsError
from chicorycart.settings.load import load_agent_settings
from chicorycart.settings.load import load_balancer_settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

application = Typer(
    help="Run a daemon of chicorycart.",
    no_args_is_help=True,
    add_completion=False,
)
SettingsFile = Annotated[
    Path, Option("--settings", help="JSON file, comments allowed.")
]


class Daemon(Protocol):
    """A balancer or an agent."""

    async def run(self, stop: Event) -> None:
        """Serve until the event is set."""


@application.command()
def balancer(settings: SettingsFile) -> None:
    """Take callers' packets from the fabric and forward them."""
    try:
        loaded = load_balancer_settings(settings)
        start_log(loaded.daemon.log)
        run(serve(lambda: Balancer(loaded)))
    except ChicorycartError as error:
        fail(error)


@application.command()
def agent(settings: SettingsFile) -> None:
    """Own flows beside one target and run its requests."""
    try:
        loaded = load_agent_settings(settings)
        start_log(loaded.daemon.log)
        run(serve(lambda: Agent(loaded)))
    except ChicorycartError as error:
        fail(error)


async def serve(make_daemon) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    stop = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stop.set)
    daemon: Daemon = make_daemon()
    await daemon.run(stop)


def fail(error: ChicorycartError) -> None:
    """Print what is wrong and end the process."""
    echo(str(error), err=True)
    is_settings = isinstance(error, SettingsError)
    raise Exit(EXIT_BAD_SETTINGS if is_settings else EXIT_FAILED)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()
