"""Steps of the scenarios on heartbeats and suspicions."""

from asyncio import get_running_loop
from asyncio import sleep

from behave import given
from behave import then
from behave import when

from chicorycart.address import Address
from chicorycart.address import pack_address
from chicorycart.balancer.forwarding import ChainCache
from chicorycart.configuration.model import hash_name
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.links.datagrams import MessageKind
from chicorycart.membership.messages import encode_heartbeat
from chicorycart.membership.messages import Heartbeat
from chicorycart.membership.peer_agents import PeerAgentChange
from chicorycart.placement.load import Load
from tests.membership.fleet import Fleet
from tests.membership.fleet import SERVICE

SETTLE_SECONDS = 5
STEP_SECONDS = 0.1
SET_BACK_START_SECONDS = 0.5
BUCKETS = 64


class ChangeRecorder:
    """Records the changes of peer agents and suspicions at one process."""

    def __init__(self, fleet, name):
        self.changes = []
        self.suspicions = 0
        membership = fleet.nodes[name].membership
        if name in fleet.targets:
            membership.agent_table.subscribe(self)
        else:
            membership.suspicions.subscribe(self)

    def change_peer_agent(self, peer_agent, change):
        self.changes.append((peer_agent.agent, change))

    def clear(self):
        self.suspicions += 1


def run_for(context, seconds):
    context.run(sleep(seconds))


def wait_until(context, condition, seconds):
    async def poll():
        for _ in range(round(seconds / STEP_SECONDS)):
            if condition():
                return
            await sleep(STEP_SECONDS)
        assert condition(), f"condition not met within {seconds} s"

    context.run(poll())


def all_suspect(context, names):
    fleet = context.fleet
    return all(fleet.suspects_of(b) == names for b in fleet.live_balancers())


def call(context, function, *arguments):
    async def run():
        return function(*arguments)

    return context.run(run())


@given(
    "{agents:d} agents of one service and {balancers:d} balancers that"
    " know each other"
)
def start_fleet(context, agents, balancers):
    context.fleet = Fleet(agents, balancers)
    call(context, context.fleet.start_all)
    context.cleanups.callback(call, context, context.fleet.close)
    run_for(context, SETTLE_SECONDS)
    context.recorders = {
        name: ChangeRecorder(context.fleet, name)
        for name in context.fleet.nodes
    }
    chains = call(context, list_chains, context.fleet, "b-1")
    context.chains_before = {
        name: sum(context.fleet.pack(name) in chain for chain in chains)
        for name in context.fleet.targets
    }
    check_no_suspect(context, STEP_SECONDS)


@when('agent "{name}" is killed')
def kill(context, name):
    call(context, context.fleet.kill, name)


@when("every agent is killed")
def kill_all(context):
    for name in context.fleet.targets.keys() & context.fleet.nodes.keys():
        kill(context, name)


@when("{count:d} agents are killed at once")
def kill_many(context, count):
    context.killed = set(list(context.fleet.targets)[-count:])
    for name in context.killed:
        kill(context, name)


@when('"{name}" learns of {count:d} dead agents at once')
def learn_many(context, name, count):
    suspicion_table = context.fleet.nodes[name].membership.suspicions

    def learn():
        for number in range(count):
            agent = Address(f"10.0.{number // 250}.{number % 250 + 1}", 7001)
            suspicion_table.suspect(pack_address(agent), 1)

    call(context, learn)


@then("every balancer suspects {count:d} agents")
def check_count(context, count):
    for name in context.fleet.balancers:
        suspicion_table = context.fleet.nodes[name].membership.suspicions
        assert len(suspicion_table.suspected) == count, len(
            suspicion_table.suspected
        )


@when('agent "{name}" starts again')
def start_again(context, name):
    call(context, context.fleet.start, name)


@when('agent "{name}" starts again with its clock set back')
def start_set_back(context, name):
    call(context, context.fleet.start, name, SET_BACK_START_SECONDS)


@when("{seconds:d} s of virtual time pass")
def let_pass(context, seconds):
    run_for(context, seconds)


@when(
    'agent "{name}" is paused for {seconds:d} s and {reads} what was sent'
    " to it"
)
def pause_agent(context, name, seconds, reads):
    pause(context, name, seconds, reads == "loses")


@when('balancer "{name}" is paused for {seconds:d} s')
def pause_balancer(context, name, seconds):
    pause(context, name, seconds, False)


def pause(context, name, seconds, drops_incoming):
    socket = context.fleet.nodes[name].socket
    socket.pause()
    call(context, wake_later, socket, seconds, drops_incoming)


def wake_later(socket, seconds, drops_incoming):
    get_running_loop().call_later(seconds, socket.wake, drops_incoming)


@when("all datagrams are recorded")
def record(context):
    context.fleet.network.is_recorded = True


@when("all recorded datagrams arrive once more")
def replay(context):
    context.fleet.network.is_recorded = False
    assert context.fleet.network.journal
    call(context, context.fleet.network.replay)


@when("all recorded datagrams among balancers arrive once more")
def replay_gossip(context):
    network = context.fleet.network
    balancers = {b.data for b in context.fleet.balancers.values()}
    network.journal = [
        datagram
        for datagram in network.journal
        if balancers.issuperset(datagram[1:])
    ]
    replay(context)


@when('agent "{name}" is cut off from all others')
def cut_off(context, name):
    context.fleet.network.sides[context.fleet.targets[name].agent.host] = 1


@when('agent "{name}" is cut off from the other agents only')
def cut_from_agents(context, name):
    own = context.fleet.targets[name].agent.host
    for target in context.fleet.targets.values():
        pairs = {(own, target.agent.host), (target.agent.host, own)}
        context.fleet.network.cut_hosts |= pairs


@when('failure domain "{domain}" is cut off from the others')
def cut_domain(context, domain):
    fleet = context.fleet
    context.cut_agents = {
        name for name, t in fleet.targets.items() if t.domain == domain
    }
    context.cut_balancers = {
        name for name, b in fleet.balancers.items() if b.domain == domain
    }
    for name in context.cut_agents | context.cut_balancers:
        fleet.network.sides[fleet.nodes[name].socket.address.host] = 1


@when("the network heals")
def heal(context):
    context.fleet.network.sides.clear()


@when("datagrams arrive {copies:d} times and up to {seconds:d} s late")
def disorder(context, copies, seconds):
    context.fleet.network.copies = copies
    context.fleet.network.jitter_seconds = float(seconds)


@when('"{name}" sends invalid heartbeats')
def send_invalid(context, name):
    fleet = context.fleet
    own = fleet.pack(name)
    other = fleet.pack("t-3")
    service = hash_name(SERVICE)
    loads = [Load(0, 0, 0.0), Load(0, 0, float("nan")), Load(0, 0, -1.0)]
    context.invalid = [
        encode_heartbeat(Heartbeat(own, service, 1 << 60, 1, 1, load))
        for load in loads
    ]
    forged = Heartbeat(other, service, 1 << 60, 1, 1, Load(0, 0, 1.0))
    context.invalid.append(encode_heartbeat(forged))
    context.invalid.append(b"not a heartbeat")
    for body in context.invalid:
        call(
            context,
            fleet.nodes[name].link.send,
            MessageKind.HEARTBEAT,
            body,
            fleet.targets["t-2"].agent,
        )
    run_for(context, STEP_SECONDS)


@then("each of them is refused and changes nothing")
def check_invalid(context):
    dropped = context.fleet.nodes["t-2"].link.main.dropped
    refused = dropped.labels("malformed")._value.get()
    assert refused == len(context.invalid), refused
    assert context.fleet.peer_agent("t-2", "t-1").incarnation < 1 << 60
    assert context.fleet.peer_agent("t-2", "t-3").incarnation < 1 << 60


@then('its peer agents suspect "{name}" within {seconds:d} s')
def check_peer_agents(context, name, seconds):
    peer_agents = [n for n in list_agents(context) if n != name]
    agent = context.fleet.pack(name)
    assert peer_agents
    wait_until(
        context,
        lambda: all(
            context.fleet.peer_agents_of(peer_agent).is_lapsed(agent)
            for peer_agent in peer_agents
        ),
        seconds,
    )


@then('no peer agent knows a load of "{name}"')
def check_no_load(context, name):
    for peer_agent in list_agents(context):
        table = context.fleet.peer_agents_of(peer_agent)
        loads = {
            other: call(context, table.load_of, context.fleet.pack(other))
            for other in context.fleet.targets
            if other != peer_agent
        }
        assert loads.pop(name) is None
        assert all(load.in_progress == 7 for load in loads.values())


@then('every balancer suspects only "{name}" within {seconds:d} s')
def check_only_suspect(context, name, seconds):
    wait_until(context, lambda: all_suspect(context, {name}), seconds)


@then("no balancer suspects an agent within {seconds:d} s")
def check_no_suspect(context, seconds):
    wait_until(context, lambda: all_suspect(context, set()), seconds)


@then("no balancer suspected an agent")
def check_never_suspected(context):
    for name in context.fleet.balancers:
        assert context.recorders[name].suspicions == 0, name


@then(
    "no balancer sends more than {limit:d} bytes in any of the next"
    " {seconds:d} s, at most {gossip_limit:d} of them gossip"
)
def check_budget(context, limit, seconds, gossip_limit):
    nodes = [context.fleet.nodes[name] for name in context.fleet.balancers]
    for _ in range(seconds):
        before = [count_sent(node) for node in nodes]
        run_for(context, 1)
        for node, (all_before, gossip_before) in zip(
            nodes, before, strict=True
        ):
            all_now, gossip_now = count_sent(node)
            assert all_now - all_before <= limit, all_now - all_before
            gossip = gossip_now - gossip_before
            assert gossip <= gossip_limit, gossip
    assert all(min(count_sent(node)) > 0 for node in nodes)


def count_sent(node):
    gossip = node.socket.kind_bytes[MessageKind.SUSPICION]
    return node.socket.sent_bytes, gossip


@then("every balancer suspects the killed agents, and only those")
def check_killed(context):
    suspects_of = context.fleet.suspects_of
    for name in context.fleet.balancers:
        assert call(context, suspects_of, name) == context.killed


@then(
    "no balancer keeps a record, and each notified subscribers that"
    " suspicions lapsed"
)
def check_forgotten(context):
    for name in context.fleet.balancers:
        suspicion_table = context.fleet.nodes[name].membership.suspicions
        assert not suspicion_table.records, name
        assert not suspicion_table.pending_gossip, name
        notified = context.recorders[name].suspicions
        assert notified >= 2, notified
        assert notified % 2 == 0, notified


@then('"{name}" suspected none of its peer agents')
def check_no_lapse(context, name):
    changes = [change for _, change in context.recorders[name].changes]
    assert PeerAgentChange.LAPSED not in changes, changes


@then('"{name}" sent no reports')
def check_no_report(context, name):
    socket = context.fleet.nodes[name].socket
    assert socket.kind_bytes[MessageKind.HEARTBEAT] > 0
    assert socket.kind_bytes[MessageKind.SUSPICION] == 0


@then('its peer agents saw "{name}" restart once')
def check_restart(context, name):
    restarted = (context.fleet.pack(name), PeerAgentChange.RESTARTED)
    peer_agents = [n for n in list_agents(context) if n != name]
    assert peer_agents
    for peer_agent in peer_agents:
        changes = context.recorders[peer_agent].changes
        assert changes.count(restarted) == 1, changes


@then("no agent saw a peer agent restart")
def check_no_restart(context):
    for name in list_agents(context):
        changes = [change for _, change in context.recorders[name].changes]
        assert PeerAgentChange.RESTARTED not in changes


@then('"{name}" is the last of each chain that it was part of')
def check_chains(context, name):
    for balancer in context.fleet.live_balancers():
        chains = call(context, list_chains, context.fleet, balancer)
        own = context.fleet.pack(name)
        with_suspect = [chain for chain in chains if own in chain]
        assert len(with_suspect) == context.chains_before[name]
        assert all(chain[-1] == own for chain in with_suspect)


@then("every balancer suspects the agents on the other side, and only those")
def check_sides(context):
    fleet = context.fleet
    for name in fleet.balancers:
        other_side = context.cut_agents
        if name in context.cut_balancers:
            other_side = fleet.targets.keys() - context.cut_agents
        assert call(context, fleet.suspects_of, name) == other_side, name


@then("every target is part of a chain of every balancer")
def check_kept(context):
    for balancer in context.fleet.balancers:
        chains = call(context, list_chains, context.fleet, balancer)
        found = {agent for chain in chains for agent in chain}
        assert found == {context.fleet.pack(n) for n in context.fleet.targets}


def list_agents(context):
    return [n for n in context.fleet.targets if n in context.fleet.nodes]


def list_chains(fleet, balancer):
    store = ConfigurationStore(fleet.clock)
    store.put_in_force(fleet.configure(1, fleet.targets.values()))
    suspicions = fleet.nodes[balancer].membership.suspicions
    cache = ChainCache(store, suspicions)
    service = store.current.services[SERVICE]
    return [cache.find(service, bucket).chain for bucket in range(BUCKETS)]
