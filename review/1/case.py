"""An entry that cannot be read ends the following of the store."""

from asyncio import sleep
from pathlib import Path
import sys
from time import monotonic

from standins.lab import BOUNDS
from standins.lab import Lab
from standins.lab import run_case

OLD_PORT = 8080
KEPT_PORT = 8443
NEW_PORT = 9443
UNREADABLE = b"[" * 2_000
MARGIN_SECONDS = 1.0
REQUESTS = 20


async def play(lab: Lab) -> list[str]:
    """Write the entry, change the configuration, then restart everything."""
    await lab.start([OLD_PORT, KEPT_PORT])
    served = await ask(lab, KEPT_PORT, "before")
    if served < REQUESTS:
        raise RuntimeError(f"only {served} requests served before")
    if lab.has_trouble:
        lab.store.put("servers/notes", UNREADABLE)
        lab.record.write("another writer: an entry that cannot be read")
    await sleep(2.0)
    acknowledged = lab.configure(2, [KEPT_PORT, NEW_PORT])
    bound = BOUNDS["configApplyMs"] / 1000
    await sleep(acknowledged + bound + MARGIN_SECONDS - monotonic())
    return [*await check_config(lab), *await check_recovery(lab)]


async def check_config(lab: Lab) -> list[str]:
    """Ask for the added and for the dropped route at each balancer."""
    broken = []
    for name, ip in lab.balancers.items():
        if not await lab.ask_once(NEW_PORT, f"added-{name}", ip):
            broken.append(f"CONFIG: {name} refuses the route that was added")
        if await lab.ask_once(OLD_PORT, f"dropped-{name}", ip):
            broken.append(f"CONFIG: {name} serves the route that was dropped")
    return broken


async def check_recovery(lab: Lab) -> list[str]:
    """Kill all processes, start them again and ask after the bound."""
    names = [*lab.balancers, *lab.agents]
    await lab.kill(names)
    await sleep(1.0)
    for name in names:
        await lab.start_daemon(name)
    await sleep(BOUNDS["recoverS"] + MARGIN_SECONDS)
    served = await ask(lab, KEPT_PORT, "after")
    lab.record.write(f"after the restart {served} of {REQUESTS} served")
    if 4 * served < REQUESTS:
        return [f"RECOVER: {served} of {REQUESTS} requests served"]
    return []


async def ask(lab: Lab, port: int, label: str) -> int:
    """Send requests one after the other; return how many were served."""
    served = 0
    for number in range(REQUESTS):
        served += await lab.ask_once(port, f"{label}-{number}")
    return served


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent, 2, 3))
