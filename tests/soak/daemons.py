"""Keeps one daemon running, as the platform does."""

from asyncio import get_running_loop
from asyncio import sleep
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM

RESTART_SECONDS = 0.5
STARTED = b"event=start"


class Daemon:
    """A process that is started again whenever it ends.

    Attributes
    ----------
    service : str or None
        Service of the host beside it; None for a balancer.
    store : str
        Where it finds the store.
    is_killed : bool
        Whether it got SIGKILL since its start.
    stopped_at : float or None
        Time from which it could follow a SIGTERM.
    """

    def __init__(self, testbed, name, ip, service, store):
        self.testbed = testbed
        self.name = name
        self.ip = ip
        self.service = service
        self.store = store
        self.is_killed = False
        self.stopped_at = None
        self.paused = 0
        self.seen = 0

    @property
    def process(self):
        """The process that runs now, or ran last."""
        return self.testbed.fleet.processes.get(self.name)

    async def run(self):
        """Start the process again and again."""
        fleet = self.testbed.fleet
        while True:
            self.seen = len(fleet.output.get(self.name, b""))
            self.is_killed = False
            self.stopped_at = None
            await fleet.start(self.name, self.ip, self.service, self.store)
            code = await self.process.wait()
            self.check_exit(code)
            await sleep(RESTART_SECONDS)

    def check_exit(self, code):
        """Check that the process ended because it was told to."""
        promises = self.testbed.promises
        if self.is_killed:
            return
        if self.stopped_at is None:
            if code == -SIGHUP and not self.has_started():
                return
            promises.break_promise(f"{self.name} ended by itself: {code}")
            return
        if code == -SIGTERM and not self.has_started():
            return
        seconds = get_running_loop().time() - self.stopped_at
        promises.check_exit(self.name, code, seconds)

    def has_started(self):
        """Tell whether the process ran its own first lines."""
        written = self.testbed.fleet.output.get(self.name, b"")
        return STARTED in written[self.seen :]

    def is_alive(self):
        """Tell whether the process runs or is paused."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send the process a signal, if it is there."""
        if not self.is_alive():
            return
        if number == SIGKILL:
            self.is_killed = True
        elif number == SIGTERM and self.stopped_at is None:
            self.stopped_at = get_running_loop().time()
        self.process.send_signal(number)

    async def pause(self, seconds):
        """Stop the process for some time."""
        self.paused += 1
        self.signal(SIGSTOP)
        await sleep(seconds)
        self.paused -= 1
        if not self.paused:
            if self.stopped_at is not None:
                self.stopped_at = get_running_loop().time()
            self.signal(SIGCONT)

    def read_peak(self):
        """Return the most memory that the process took, in kB."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1])
        except OSError:
            # The process has just ended.
            return 0
        return 0
