"""Measures flows that break while targets, agents and balancers change.

``python -m measure.churn`` prints the figures as JSON.
"""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import sleep
from collections.abc import Callable
from json import dumps
from random import Random

from chicorycart.configuration.model import TargetState
from chicorycart.defaults import SETTLING_SECONDS
from chicorycart.links.datagrams import MessageKind
from chicorycart.packets.forward import decode_forward
from measure.baselines import Method
from measure.baselines import NoRecords
from measure.baselines import Ours
from measure.baselines import pick_first
from measure.baselines import pick_modulo
from measure.baselines import PickedTarget
from tests.standins.fleet import BalancerNode
from tests.standins.fleet import Caller
from tests.standins.fleet import Fleet
from tests.standins.fleet import Suspects
from tests.standins.virtual import VirtualLoop

AGENTS = 7
BALANCERS = 3
CALLERS = 150
FIRST_PORT = 20_000
SECONDS = 1_800
CHANGE_SECONDS = 30.0
SKEW_SECONDS = 9.0
SUSPICION_SECONDS = 3.5
LAST_ANSWERS_SECONDS = 60.0
MIN_ACTIVE = 4
SEEDS = (1, 2)

METHODS: dict[str, Callable[[Fleet], Method]] = {
    "hash modulo": lambda fleet: PickedTarget(pick_modulo),
    "rendezvous, one choice": lambda fleet: PickedTarget(pick_first),
    "four candidates, no records": NoRecords,
    "ours": Ours,
}


class ChurnFleet(Fleet):
    """A fleet whose daemons a method prepares, and whose hops are counted."""

    def __init__(self, make_method: Callable[[Fleet], Method], seed: int):
        super().__init__(seed=seed)
        self.method = make_method(self)
        self.killed: set[int] = set()
        self.suspects = Suspects()
        self.packets = 0
        self.forwards = 0
        self.send = self.wire.send
        self.wire.send = self.count_and_send

    def count_and_send(self, source, data, destination) -> None:
        """Count a forwarded packet and carry the datagram."""
        if data[0] == MessageKind.FORWARD:
            self.forwards += 1
            self.packets += decode_forward(data[1:]).hops == 1
        self.send(source, data, destination)

    def start_agent(self, number: int) -> None:
        """Start an agent as the method has it."""
        super().start_agent(number)
        service_agents = self.agents[number].ownership.delivery.service_agents
        service_agents.suspicions = self.suspects
        self.method.prepare_agent(self.agents[number])

    def start_balancer(self, number: int) -> None:
        """Start a balancer, or start it again, as the method has it."""
        node = BalancerNode(self, number)
        self.method.prepare_balancer(node)
        for killed in self.killed:
            node.suspect(killed)
        self.balancers[f"b-{number}"] = node

    def kill(self, number: int) -> None:
        """Stop an agent and its host for good."""
        self.killed.add(number)
        self.pause(number)
        get_running_loop().call_later(
            SUSPICION_SECONDS, self.suspect_killed, number
        )

    def suspect_killed(self, number: int) -> None:
        """Let every daemon suspect an agent."""
        for balancer in self.balancers.values():
            balancer.suspect(number)
        self.suspects.names.add(f"t-{number}")

    def spread(self, random: Random) -> None:
        """Publish the states; daemons learn them at different times."""
        self.publish()
        version = self.versions[-1]
        for node in self.list_nodes():
            get_running_loop().call_later(
                random.uniform(0, SKEW_SECONDS),
                node.store.put_in_force,
                version,
            )


class Churn:
    """The changes of one run, the same ones for every method.

    Parameters
    ----------
    fleet : ChurnFleet
        What changes.
    seed : int
        Seed of the changes.
    """

    __slots__ = ("fleet", "random", "planned", "restarts")

    def __init__(self, fleet: ChurnFleet, seed: int):
        self.fleet = fleet
        self.random = Random(seed)
        self.planned = 0
        self.restarts = 0

    async def run(self) -> None:
        """Make a change at intervals until the end."""
        changes = [
            self.drain,
            self.drain,
            self.resume,
            self.restart_agent,
            self.replace_balancer,
        ]
        steps = int(SECONDS / CHANGE_SECONDS)
        kill_steps = {steps // 2, steps * 3 // 4}
        for step in range(steps):
            await sleep(CHANGE_SECONDS)
            if step in kill_steps:
                self.kill()
            else:
                self.random.choice(changes)()

    def list_active(self) -> list[int]:
        """Return the targets that take new work and live."""
        return [
            number
            for number, state in self.fleet.states.items()
            if state is TargetState.ACTIVE and number not in self.fleet.killed
        ]

    def drain(self) -> None:
        """Drain a target, unless few are left."""
        active = self.list_active()
        if len(active) > MIN_ACTIVE:
            number = self.random.choice(active)
            self.fleet.states[number] = TargetState.DRAINING
            self.planned += 1
            self.fleet.spread(self.random)

    def resume(self) -> None:
        """Let a draining target take new work again."""
        draining = [
            number
            for number, state in self.fleet.states.items()
            if state is TargetState.DRAINING
        ]
        if draining:
            number = self.random.choice(draining)
            self.fleet.states[number] = TargetState.ACTIVE
            self.planned += 1
            self.fleet.spread(self.random)

    def restart_agent(self) -> None:
        """Restart the agent of a target; its host and flows live on."""
        live = [n for n in self.fleet.agents if n not in self.fleet.killed]
        self.fleet.start_agent(self.random.choice(live))
        self.restarts += 1

    def replace_balancer(self) -> None:
        """Put a new balancer in the place of another."""
        self.fleet.start_balancer(self.random.randint(1, BALANCERS))
        self.restarts += 1

    def kill(self) -> None:
        """Kill a target with its agent, without notice."""
        self.fleet.kill(self.random.choice(self.list_active()))


class Outcome:
    """What became of the flows of one run.

    Attributes
    ----------
    flows, lost, broken : int
        All flows; those whose own target died; others that ended.
    extra_hops : float
        Times that a packet was passed on, on average.
    control_bytes : float
        Bytes of control a second and agent.
    changes, restarts : int
        Planned changes and restarts that were made.
    """

    __slots__ = (
        "flows",
        "lost",
        "broken",
        "extra_hops",
        "control_bytes",
        "changes",
        "restarts",
    )

    def __init__(self, fleet: ChurnFleet, churn: Churn):
        ended = [c for c in fleet.callers.values() if is_broken(c)]
        lost = [c for c in ended if is_on_killed(fleet, c)]
        self.flows = len(fleet.callers)
        self.lost = len(lost)
        self.broken = len(ended) - len(lost)
        self.extra_hops = fleet.forwards / fleet.packets - 1
        self.control_bytes = fleet.wire.control_bytes / SECONDS / AGENTS
        self.changes = churn.planned
        self.restarts = churn.restarts


def is_broken(caller: Caller) -> bool:
    """Tell whether a caller was reset or has a line without its answer."""
    lines = caller.answers.decode().split()
    return caller.was_reset or lines != caller.asked


def is_on_killed(fleet: ChurnFleet, caller: Caller) -> bool:
    """Tell whether only killed hosts know the connection."""
    owners = fleet.find_owners(caller.address.port)
    return bool(owners) and fleet.killed.issuperset(owners)


async def beat(method: Method) -> None:
    """Let agents hear loads once a second, if the method uses them."""
    while isinstance(method, Ours):
        method.beat()
        await sleep(1.0)


async def keep_feed(fleet: ChurnFleet, number: int) -> None:
    """Open a feed at its time and ask for more until the end."""
    start = number * SECONDS / 2 / CALLERS
    await sleep(start)
    caller = fleet.call(FIRST_PORT + number)
    await fleet.keep_feed(caller, SECONDS - start)


async def run_churn(
    make_method: Callable[[Fleet], Method], seed: int
) -> Outcome:
    """Run feeds through the changes under one method."""
    fleet = ChurnFleet(make_method, seed)
    fleet.start(AGENTS, 0)
    for number in range(1, BALANCERS + 1):
        fleet.start_balancer(number)
    tasks = [create_task(beat(fleet.method))]
    await sleep(SETTLING_SECONDS + 1)
    churn = Churn(fleet, seed)
    tasks.append(create_task(churn.run()))
    tasks += [create_task(keep_feed(fleet, n)) for n in range(CALLERS)]
    await sleep(SECONDS + LAST_ANSWERS_SECONDS)
    outcome = Outcome(fleet, churn)
    for task in tasks:
        task.cancel()
    fleet.close()
    return outcome


def measure_method(
    make_method: Callable[[Fleet], Method],
) -> dict[str, float]:
    """Return the figures of all seeds together."""
    outcomes = []
    for seed in SEEDS:
        with Runner(loop_factory=VirtualLoop) as runner:
            outcomes.append(runner.run(run_churn(make_method, seed)))
    flows = sum(o.flows for o in outcomes)
    count = len(outcomes)
    return {
        "flows": flows,
        "planned_changes": sum(o.changes for o in outcomes),
        "restarts": sum(o.restarts for o in outcomes),
        "own_target_died": sum(o.lost for o in outcomes),
        "broken_per_thousand": round(
            sum(o.broken for o in outcomes) * 1_000 / flows, 1
        ),
        "extra_hops": round(sum(o.extra_hops for o in outcomes) / count, 3),
        "control_bytes_a_second": round(
            sum(o.control_bytes for o in outcomes) / count, 1
        ),
    }


def measure_churn() -> dict[str, dict[str, float]]:
    """Return the figures by method."""
    return {name: measure_method(make) for name, make in METHODS.items()}


if __name__ == "__main__":
    print(dumps(measure_churn(), indent=2))
