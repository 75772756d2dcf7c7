"""Measures what hedged opening packets do to the time to open a flow.

``python -m measure.opening_hedges`` prints the figures as JSON. Balancers and
agents run on virtual time; some of the offers reach their agents late.
"""

from asyncio import gather
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import sleep
from json import dumps
from random import Random
from typing import Any

from chicorycart.address import Address
from chicorycart.platform.segments import HEADER
from chicorycart.platform.segments import SYN
from chicorycart.units import MILLISECONDS
from tests.standins.endpoints import read_head
from tests.standins.steered import LINK_PORT
from tests.standins.steered import SteeredFleet
from tests.standins.virtual import VirtualLoop

HOSTS = 10
BALANCERS = 2
FLOWS = 4_000
FLOWS_PER_SECOND = 400
USUAL_SECONDS = (0.0005, 0.003)
LATE_SECONDS = (0.02, 0.045)
LATE_SHARES = (0.0, 0.03, 0.3)
HEDGE_SHARES = (0.0, 0.1)
SEEDS = (1, 2, 3)
QUANTILES = (0.5, 0.95, 0.99, 0.999)
NOT_OPENED_SECONDS = 9.0


class LateOffers:
    """Delays a share of the opening packets that balancers deliver.

    Parameters
    ----------
    fleet : SteeredFleet
        Its network sets the delays.
    late_share : float
        Share that takes `LATE_SECONDS`, 0 to 1.
    random : Random
        Draws delays.

    Attributes
    ----------
    offers : int
        Opening packets delivered.
    """

    __slots__ = ("fleet", "late_share", "random", "offers")

    def __init__(self, fleet: SteeredFleet, late_share: float, random: Random):
        self.fleet = fleet
        self.late_share = late_share
        self.random = random
        self.offers = 0

    def __call__(
        self, source: Address, data: bytes, destination: Address
    ) -> bool:
        """Set the delay of a datagram; none is lost."""
        packet = data[-HEADER.size :]
        is_delivery = (
            source.port == destination.port == LINK_PORT
            and source.host.startswith("10.1.")
            and len(packet) == HEADER.size
        )
        if is_delivery and read_head(packet)[2] & SYN:
            self.offers += 1
            is_late = self.random.random() < self.late_share
            bounds = LATE_SECONDS if is_late else USUAL_SECONDS
            delay = self.random.uniform(*bounds)
            self.fleet.network.delays[source, destination] = delay
        return False


async def run_once(
    late_share: float, hedge_share: float, seed: int
) -> dict[str, Any]:
    """Open flows at a steady rate; return quantiles in ms and counts."""
    fleet = SteeredFleet(HOSTS, BALANCERS, seed, hedge_share)
    offers = LateOffers(fleet, late_share, Random(seed))
    fleet.network.faults.append(offers)
    await fleet.settle()
    times = []

    async def ask(number: int) -> None:
        await sleep(number / FLOWS_PER_SECOND)
        caller = fleet.make_caller()
        began = get_running_loop().time()
        if not await caller.open():
            times.append(NOT_OPENED_SECONDS)
            return
        times.append(get_running_loop().time() - began)
        await caller.ask(b"q%d" % number)
        await caller.close()

    await gather(*(ask(number) for number in range(FLOWS)))
    hedges = count_hedges(fleet)
    await fleet.close()
    times.sort()
    return {
        **{
            f"p{100 * share:g}_ms": round(
                MILLISECONDS * times[int(share * (len(times) - 1))], 1
            )
            for share in QUANTILES
        },
        "offers": offers.offers,
        "hedges": hedges,
    }


def count_hedges(fleet: SteeredFleet) -> dict[str, int]:
    """Return the hedges of all balancers by outcome."""
    counts: dict[str, int] = {}
    for balancer in fleet.balancers.values():
        if balancer.settings.hedge_share:
            outcomes = balancer.steerer.placer.policy.outcomes
            for outcome, count in outcomes.counts.items():
                counts[str(outcome)] = (
                    counts.get(str(outcome), 0) + count.value
                )
    return counts


def main() -> None:
    """Print the figures of each share of late offers and of hedges."""
    figures = []
    for late_share in LATE_SHARES:
        for hedge_share in HEDGE_SHARES:
            for seed in SEEDS:
                with Runner(loop_factory=VirtualLoop) as runner:
                    result = runner.run(
                        run_once(late_share, hedge_share, seed)
                    )
                figures.append(
                    {
                        "late_share": late_share,
                        "hedge_share": hedge_share,
                        "seed": seed,
                        **result,
                    }
                )
    print(dumps(figures, indent=2))


if __name__ == "__main__":
    main()
