"""Entries of another service on the machines of hosts hide the hosts."""

from asyncio import gather
from asyncio import sleep
from pathlib import Path
import sys

from standins.clients import Client
from standins.lab import Lab
from standins.lab import run_case

PORT = 8443
FLOWS = 12
EXPORTER_PORT = 9300
PAUSE_SECONDS = 0.8
ROUNDS_BEFORE = 2
ROUNDS_AFTER = 8


async def play(lab: Lab) -> list[str]:
    """Open flows, write the entries, and roll the balancers."""
    await lab.start([PORT])
    clients = [lab.make_client(PORT) for _ in range(FLOWS)]
    opened = await gather(*(client.open() for client in clients))
    if not all(opened):
        raise RuntimeError("not every flow was opened")
    await ask_rounds(lab, clients, "before", ROUNDS_BEFORE)
    if any(client.reset_by for client in clients):
        raise RuntimeError("a flow was reset before the disruption")
    if lab.has_trouble:
        ip = next(iter(lab.agents.values()))
        lab.store.put_json("servers/exporter", describe(ip))
        lab.record.write(f"another writer: an exporter on machine {ip}")
    await sleep(2.0)
    await gather(
        roll_all(lab), ask_rounds(lab, clients, "after", ROUNDS_AFTER)
    )
    served = 0
    for number in range(FLOWS):
        served += await lab.ask_once(PORT, f"new-{number}")
    lab.record.write(f"{served} of {FLOWS} new flows served")
    broken = [
        f"FLOW: {client.flow} was reset by the system, its host lives"
        for client in clients
        if client.reset_by == "system"
    ]
    return broken + [t for client in clients for t in client.foreign]


def describe(ip: str) -> dict:
    """Return the entry of an exporter beside a host."""
    return {
        "service": "exporter",
        "address": f"{ip}:{EXPORTER_PORT}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }


async def roll_all(lab: Lab) -> None:
    """Stop and start the balancers one after the other."""
    for name in lab.balancers:
        await lab.roll(name)
        await sleep(1.0)


async def ask_rounds(
    lab: Lab, clients: list[Client], label: str, rounds: int
) -> None:
    """Send requests on every open flow, with pauses."""
    for number in range(rounds):
        await gather(
            *(
                client.ask(f"{label}-{number}-{client.flow.client_port}")
                for client in clients
                if client.reset_by is None
            )
        )
        await sleep(PAUSE_SECONDS)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent, 2, 3))
