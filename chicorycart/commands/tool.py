"""The command line ``chicorycart``: looks at a running system, changes none.

Exit codes: 0 done, 1 something did not answer, 2 a file or an argument is at
fault, 3 what was asked for does not exist.
"""

from asyncio import run
from asyncio import sleep
from collections.abc import Coroutine
from enum import StrEnum
from json import dumps
from pathlib import Path
from typing import Annotated
from typing import Any

from typer import Argument
from typer import echo
from typer import Exit
from typer import Option
from typer import Typer

from chicorycart.address import AddressError
from chicorycart.address import parse_address
from chicorycart.commands.errors import BadInputError
from chicorycart.commands.errors import CommandError
from chicorycart.commands.errors import EXIT_UNREACHABLE
from chicorycart.commands.errors import NotFoundError
from chicorycart.commands.errors import UnreachableError
from chicorycart.commands.explain import explain_flow
from chicorycart.commands.preview import preview_patch
from chicorycart.commands.preview import read_value
from chicorycart.commands.reading import ask_daemon
from chicorycart.commands.reading import ask_daemons
from chicorycart.commands.reading import read_configuration
from chicorycart.commands.reading import read_control_addresses
from chicorycart.commands.reading import read_json_file
from chicorycart.commands.trace import trace_flow
from chicorycart.defaults import DRAIN_POLL_SECONDS
from chicorycart.settings.errors import SettingsError
from chicorycart.settings.load import load_agent_settings
from chicorycart.settings.load import load_balancer_settings

application = Typer(
    help="Look at a running chicorycart; nothing is changed.",
    no_args_is_help=True,
    add_completion=False,
)
AsJson = Annotated[bool, Option("--json", help="Print JSON.")]
PlatformBase = Annotated[
    str, Option("--platform", help="Base address of the platform.")
]


class FileKind(StrEnum):
    """What a file is checked as."""

    BALANCER = "balancer"
    AGENT = "agent"
    SERVICES = "services"


@application.command()
def check(
    kind: Annotated[FileKind, Argument(help="What the file is.")],
    path: Annotated[Path, Argument(help="The file.")],
    as_json: AsJson = False,
) -> None:
    """Check settings of a daemon, or services as a patch has them."""
    faults = find_file_faults(kind, path)
    if as_json:
        echo(dumps({"file": str(path), "faults": faults}))
    else:
        echo("\n".join(faults) or f"{path}: no faults", err=bool(faults))
    if faults:
        raise Exit(BadInputError.exit_code)


def find_file_faults(kind: FileKind, path: Path) -> list[str]:
    """Return one line for each fault of a file."""
    try:
        if kind is FileKind.BALANCER:
            load_balancer_settings(path)
        elif kind is FileKind.AGENT:
            load_agent_settings(path)
        else:
            return find_service_faults(path)
    except SettingsError as error:
        return error.faults
    return []


def find_service_faults(path: Path) -> list[str]:
    """Return one line for each service of a file that is at fault."""
    faults = []
    try:
        values = read_json_file(path)
        if not isinstance(values, dict):
            return [f"{path}: an object of services by name is needed"]
    except BadInputError as error:
        return [str(error)]
    for name, value in values.items():
        try:
            read_value(name, value)
        except BadInputError as error:
            faults.append(f"{path}: {error}")
    return faults


@application.command()
def trace(
    flow: Annotated[str, Argument(help="tcp:CALLER:PORT>ENTRY:PORT")],
    paths: Annotated[list[Path], Argument(help="Outputs of processes.")],
) -> None:
    """Show what every process logged on a flow, in order."""
    try:
        lines = trace_flow(flow, paths)
    except CommandError as error:
        echo(str(error), err=True)
        raise Exit(error.exit_code) from error
    echo("\n".join(lines))


@application.command()
def status(
    addresses: Annotated[
        list[str], Argument(help="Control addresses, A.B.C.D:PORT.")
    ],
    as_json: AsJson = False,
) -> None:
    """Show name, readiness and version of daemons."""
    asked = [read_address(text) for text in addresses]
    answers = perform(ask_daemons(asked, "/status"))
    if as_json:
        described = [
            answer.value or {"error": answer.error} for answer in answers
        ]
        echo(dumps(dict(zip(addresses, described, strict=True))))
    else:
        for answer in answers:
            value = answer.value or {"error": answer.error}
            line = " ".join(f"{key}={item}" for key, item in value.items())
            echo(f"{answer.address} {line}")
    if any(answer.value is None for answer in answers):
        raise Exit(EXIT_UNREACHABLE)


@application.command()
def explain(
    flow: Annotated[str, Argument(help="tcp:SOURCE:PORT>ENTRY:PORT")],
    platform: PlatformBase,
    as_json: AsJson = False,
) -> None:
    """Show which targets a flow may go to, and which one owns it."""
    explained = perform(explain_flow(flow, platform))
    if as_json:
        echo(dumps(explained))
        return
    names = ", ".join(c["target"] for c in explained["candidates"])
    owners = ", ".join(explained["owners"]) or "nobody"
    echo(f"service {explained['service']}, bucket {explained['bucket']}")
    echo(f"candidates at version {explained['version']}: {names}")
    echo(f"owned by {owners}")


@application.command()
def preview(
    patch: Annotated[Path, Argument(help="Services by name, as JSON.")],
    platform: PlatformBase,
    as_json: AsJson = False,
) -> None:
    """Show what a patch would move, without submitting it."""
    values = perform_read(patch)
    configuration = perform(read_configuration(platform))
    try:
        changes = preview_patch(configuration, values)
    except CommandError as error:
        fail(error)
    described = [change.describe() for change in changes]
    if as_json:
        echo(dumps({"version": configuration.version, "services": described}))
        return
    for change in described:
        echo(f"{change['service']}: {change['moved']:.1%} of new flows move")
        for name, shares in change["targets"].items():
            echo(f"  {name}: {shares['before']:.1%} -> {shares['after']:.1%}")


@application.command()
def drain(
    target: Annotated[str, Argument(help="Name of the target.")],
    platform: PlatformBase,
    follow: Annotated[
        bool, Option("--follow", help="Look on until nothing is left.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show what a target still works on."""
    perform(watch_drain(target, platform, follow, as_json))


async def watch_drain(
    target: str, platform: str, follow: bool, as_json: bool
) -> None:
    """Print the work left at a target, once or until it is gone."""
    controls = await read_control_addresses(platform)
    if target not in controls:
        raise NotFoundError(f"{target}: not on the instance list")
    while True:
        answer = await ask_daemon(controls[target], "/status")
        if answer.value is None:
            raise UnreachableError(f"{target}: {answer.error}")
        left = answer.value
        echo(dumps(left) if as_json else describe_left(target, left))
        if not follow or is_empty(left):
            return
        await sleep(DRAIN_POLL_SECONDS)


def describe_left(target: str, left: dict[str, Any]) -> str:
    """Return one line on the work left at a target."""
    return (
        f"{target}: {left['flows']} flows, {left.get('requests', 0)} requests"
    )


def is_empty(left: dict[str, Any]) -> bool:
    """Tell whether nothing is left at a target."""
    return not left["flows"] and not left.get("requests", 0)


def read_address(text: str):
    """Read an address given as an argument."""
    try:
        return parse_address(text)
    except AddressError as error:
        fail(BadInputError(str(error)))


def perform_read(path: Path) -> Any:
    """Read a file; end the process if it is at fault."""
    try:
        return read_json_file(path)
    except CommandError as error:
        fail(error)


def perform(work: Coroutine) -> Any:
    """Run a coroutine; end the process on its errors."""
    try:
        return run(work)
    except CommandError as error:
        fail(error)


def fail(error: CommandError) -> None:
    """Print what is wrong and end the process."""
    echo(str(error), err=True)
    raise Exit(error.exit_code)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()
