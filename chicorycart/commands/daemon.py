"""The command line ``chicorycartd``: one daemon a process."""

from asyncio import run
from pathlib import Path
from typing import Annotated

from typer import echo
from typer import Exit
from typer import Option
from typer import Typer

from chicorycart.agent.daemon import Agent
from chicorycart.balancer.daemon import Balancer
from chicorycart.errors import ChicorycartError
from chicorycart.operation.logs import start_log
from chicorycart.operation.running import serve
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
