"""Builds the gateway of an agent from its settings."""

from random import Random
from time import time

from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from chicorycart.clock import Clock
from chicorycart.configuration.parse import DEFAULT_SLOTS
from chicorycart.configuration.store import ConfigurationStore
from chicorycart.defaults import START_SERVICE_SECONDS
from chicorycart.hedging import HedgePolicy
from chicorycart.membership.sources import KnownSources
from chicorycart.placement.load import PeerAgentLoads
from chicorycart.requests.budget import RetryBudget
from chicorycart.requests.duplicates import DuplicateFilter
from chicorycart.requests.gateway import Gateway
from chicorycart.requests.hedged import RequestHedger
from chicorycart.requests.service_targets import ServiceTargets
from chicorycart.requests.service_time import ServiceTime
from chicorycart.requests.slots import Slots
from chicorycart.requests.validator import RequestValidator
from chicorycart.settings.model import AgentSettings


def build_gateway(
    settings: AgentSettings,
    store: ConfigurationStore,
    sources: KnownSources,
    loads: PeerAgentLoads,
    clock: Clock,
    random: Random,
    registry: CollectorRegistry,
) -> Gateway:
    """Build the gateway and subscribe it to configuration changes."""
    gateway = Gateway(
        settings.gateway,
        settings.backend,
        Slots(clock, ServiceTime(START_SERVICE_SECONDS), DEFAULT_SLOTS),
        ServiceTargets(
            store, settings.service, settings.target, loads, clock, random
        ),
        RetryBudget(),
        RequestValidator(
            DuplicateFilter(time),
            sources,
            clock,
            time,
            settings.deadline_seconds,
        ),
        clock,
        random,
        settings.daemon.log.decision_sample,
        registry,
    )
    if settings.hedge_share:
        gateway.hedger = build_hedger(gateway, settings.hedge_share, registry)
    store.subscribe(gateway)
    gateway.change_configuration(store.current)
    return gateway


def build_hedger(
    gateway: Gateway, share: float, registry: CollectorRegistry
) -> RequestHedger:
    """Build the part of a gateway that sends slow requests twice."""
    outcomes = Counter(
        "chicorycart_hedges",
        "Calls for second attempts, and how the ones that were sent ended.",
        ["outcome"],
        registry=registry,
    )
    return RequestHedger(
        HedgePolicy(gateway.clock, share, outcomes),
        gateway.service_targets,
        gateway.address,
        gateway.clock,
        gateway.log,
    )
