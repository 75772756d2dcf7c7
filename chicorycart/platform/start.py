"""Starts a balancer or an agent on the platform."""

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
    """Return the daemon that the settings describe."""
    codec = PlatformCodec(settings.fabric.port)
    # Only what the role needs is loaded, so that it serves sooner.
    if settings.service is not None:
        from chicorycart.steering.agent import RelayingAgent

        return RelayingAgent(settings, codec)
    from chicorycart.links.http import HttpSource
    from chicorycart.platform.store import MetadataStore
    from chicorycart.steering.balancer import SteeringBalancer

    store = MetadataStore(HttpSource([f"http://{settings.store}"]))
    return SteeringBalancer(settings, codec, store)


async def run_daemon(settings: SteeringSettings) -> None:
    """Run the daemon that the settings describe until it is told to stop."""
    daemon = make_daemon(settings)
    # What is loaded stays; the collector need not look at it again.
    gc.freeze()
    gc.enable()
    get_running_loop().add_signal_handler(SIGHUP, log_settings_changed)
    await serve(lambda: daemon)


def log_settings_changed() -> None:
    """Log that the settings changed; they are read at the next start."""
    LOGGER.info("event=settings_changed in_force={!r}", "at the next start")


def start() -> int:
    """Run until told to stop; return the exit code."""
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
