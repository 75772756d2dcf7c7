"""Starts the balancer or the agent that the settings describe."""

from asyncio import get_running_loop
from asyncio import run
import gc
from os import getpid
from signal import SIGHUP

from logbook import Logger

from chicorycart.errors import ChicorycartError
from chicorycart.operation.logs import start_log
from chicorycart.operation.running import serve
from chicorycart.platform.segments import PlatformCodec
from chicorycart.platform.settings import load_platform_settings
from chicorycart.settings.model import LogSettings
from chicorycart.steering.settings import SteeringSettings

LOGGER = Logger("process")
EXIT_FAILED = 1


def make_daemon(settings: SteeringSettings):
    """Build an agent if the settings name a service, else a balancer."""
    codec = PlatformCodec(settings.fabric.port)
    # Only the modules of the role are imported, which shortens the start.
    if settings.service is not None:
        from chicorycart.steering.agent import RelayingAgent

        return RelayingAgent(settings, codec)
    from chicorycart.links.http import HttpClient
    from chicorycart.platform.store import MetadataStore
    from chicorycart.steering.balancer import SteeringBalancer
    from chicorycart.steering.limits import MAX_TRANSFER_SECONDS

    client = HttpClient([f"http://{settings.store}"], MAX_TRANSFER_SECONDS)
    store = MetadataStore(client)
    return SteeringBalancer(settings, codec, store)


async def run_daemon(settings: SteeringSettings) -> None:
    """Run the daemon until it is stopped."""
    daemon = make_daemon(settings)
    # Objects created so far live as long as the process, so garbage
    # collection skips them.
    gc.freeze()
    gc.enable()
    get_running_loop().add_signal_handler(SIGHUP, log_settings_changed)
    await serve(lambda: daemon)


def log_settings_changed() -> None:
    """Log that the settings changed; they apply from the next start."""
    LOGGER.info("event=settings_changed in_force={!r}", "at the next start")


def start() -> int:
    """Run the daemon until it is stopped; return the exit code."""
    start_log(LogSettings())
    try:
        settings = load_platform_settings()
        LOGGER.info("event=start name={} pid={}", settings.name, getpid())
        run(run_daemon(settings))
    except ChicorycartError as error:
        LOGGER.error("event=failed error={!r}", str(error))
        return EXIT_FAILED
    LOGGER.info("event=stop name={}", settings.name)
    return 0
