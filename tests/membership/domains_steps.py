"""Steps of the scenarios on failed failure domains."""

from behave import then
from behave import when

from chicorycart.placement.chain import build_chain
from tests.membership.fleet import SERVICE
from tests.membership.suspicion_steps import call
from tests.membership.suspicion_steps import kill
from tests.membership.suspicion_steps import wait_until

BUCKETS = 64


class DomainRecorder:
    """Records which domains a balancer has ever suspected."""

    def __init__(self, domains):
        self.domains = domains
        self.suspected = set()
        domains.subscribe(self)

    def clear(self):
        self.suspected |= self.domains.suspected


def record_domains(context):
    context.domain_recorders = [
        DomainRecorder(domains) for domains in list_domain_watches(context)
    ]


def list_domain_watches(context):
    nodes = context.fleet.nodes
    return [nodes[name].membership.domains for name in context.fleet.balancers]


def list_agents(context, domain):
    targets = context.fleet.targets.items()
    return [name for name, target in targets if target.domain == domain]


def suspect_at(context, balancer, names):
    suspicion_table = context.fleet.nodes[balancer].membership.suspicions
    for name in names:
        call(
            context, suspicion_table.suspect, context.fleet.pack(name), 1 << 60
        )


@when(
    'all agents of domain "{domain}" are killed and only {count:d} of them are'
    " reported"
)
def kill_domain(context, domain, count):
    record_domains(context)
    # Agents that know no balancers send no reports.
    for name in context.fleet.targets:
        context.fleet.nodes[name].membership.balancers.change_instances([])
    names = list_agents(context, domain)
    for name in names:
        kill(context, name)
    suspect_at(context, "b-1", names[:count])


@when('{count:d} agents of domain "{domain}" are killed')
def kill_rack(context, count, domain):
    record_domains(context)
    context.killed = set(list_agents(context, domain)[:count])
    for name in context.killed:
        kill(context, name)


@when('{count:d} agents of domain "{domain}" start again')
def start_some(context, count, domain):
    for name in list_agents(context, domain)[-count:]:
        call(context, context.fleet.start, name)


@when(
    '"{balancer}" suspects {count:d} agents of domain "{domain}" and is cut'
    " off from all others"
)
def cut_off(context, balancer, count, domain):
    record_domains(context)
    node = context.fleet.nodes[balancer]
    context.fleet.network.sides[node.socket.address.host] = 1
    suspect_at(context, balancer, list_agents(context, domain)[:count])


@then('every balancer suspects domain "{domain}" within {seconds:d} s')
def check_suspected(context, domain, seconds):
    wait_until(
        context,
        lambda: all(
            w.suspected == {domain} for w in list_domain_watches(context)
        ),
        seconds,
    )


@then('the chains of every balancer end with agents of domain "{domain}"')
def check_chains(context, domain):
    service = context.fleet.configure(1, context.fleet.targets.values())
    for watch in list_domain_watches(context):
        chains = call(context, list_chains, service.services[SERVICE], watch)
        domains = [[target.domain for target in chain] for chain in chains]
        mixed = [names for names in domains if len(set(names)) > 1]
        concerned = [names for names in mixed if domain in names]
        assert concerned
        assert all(names[-1] == domain for names in concerned)


def list_chains(service, suspicions):
    return [
        build_chain(service, [], bucket, suspicions)
        for bucket in range(BUCKETS)
    ]


@then('balancers gossip no records of agents of domain "{domain}"')
def check_no_gossip(context, domain):
    name = list_agents(context, domain)[-1]
    for balancer, watch in zip(
        context.fleet.balancers, list_domain_watches(context), strict=True
    ):
        suspect_at(context, balancer, [name])
        assert context.fleet.pack(name) in watch.suspicion_table.pending_gossip
        call(context, watch.step)
        assert (
            context.fleet.pack(name)
            not in watch.suspicion_table.pending_gossip
        )


@then("no balancer suspects a domain within {seconds:d} s")
def check_cleared(context, seconds):
    wait_until(
        context,
        lambda: not any(w.suspected for w in list_domain_watches(context)),
        seconds,
    )


@then("no balancer suspected a domain")
def check_never(context):
    assert len(context.domain_recorders) == len(context.fleet.balancers)
    for recorder in context.domain_recorders:
        assert not recorder.suspected, recorder.suspected
