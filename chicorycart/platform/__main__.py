"""Entry point of a balancer or an agent on the platform."""

import gc
from signal import SIG_IGN
from signal import SIGHUP
from signal import signal
import sys


def main() -> int:
    """Run the daemon until it is stopped; return the exit code."""
    # The platform sends SIGHUP when settings change; its default action would
    # kill a process that is still importing modules.
    signal(SIGHUP, SIG_IGN)
    # Garbage collection during imports takes a tenth of the start time and
    # frees nothing.
    gc.disable()
    from chicorycart.platform.start import start

    return start()


if __name__ == "__main__":
    sys.exit(main())
