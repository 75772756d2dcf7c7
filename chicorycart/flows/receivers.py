"""Receives the messages of other agents on the ownership of flows."""

from chicorycart.address import Address
from chicorycart.address import AddressError
from chicorycart.address import unpack_address
from chicorycart.flows.announce import OwnerAnnouncer
from chicorycart.flows.errors import FlowError
from chicorycart.flows.lookups import OwnerLookups
from chicorycart.flows.messages import decode_answer
from chicorycart.flows.messages import decode_query
from chicorycart.flows.messages import decode_record
from chicorycart.flows.records import OwnerRecords
from chicorycart.flows.service_agents import ServiceAgents


def check_service(service: int, own: int) -> None:
    """Check that a message belongs to the agent's own service.

    Raises
    ------
    FlowError
        If it belongs to another service.
    """
    if service != own:
        raise FlowError(
            "expected a message of the agent's own service,"
            f" found service {service:x}"
        )


def check_sender(agent: int, source: Address) -> None:
    """Check that a message came from the host of the agent that it names.

    Ports may differ, because an agent sends from another source port when
    no messages arrive over a path any more.

    Raises
    ------
    FlowError
        If the message names an agent of another instance.
    """
    try:
        named = unpack_address(agent)
    except AddressError as error:
        raise FlowError(
            f"message names no valid agent address: {error}"
        ) from error
    if named.host != source.host:
        raise FlowError(
            f"expected a message of agent {named} from its own host,"
            f" found {source}"
        )


class RecordReceiver:
    """Receives owner records.

    Parameters
    ----------
    service : int
        Identifier of the own service.
    service_agents : ServiceAgents
        Remembers the owners as agents of the service.
    records : OwnerRecords
        Stores the records.
    """

    __slots__ = ("service", "service_agents", "records")

    def __init__(
        self,
        service: int,
        service_agents: ServiceAgents,
        records: OwnerRecords,
    ):
        self.service = service
        self.service_agents = service_agents
        self.records = records

    def receive(self, body: bytes, source: Address) -> None:
        """Handle one record.

        Raises
        ------
        FlowError
            If it is malformed, of another service or not from its owner.
        """
        record = decode_record(body)
        check_service(record.service, self.service)
        check_sender(record.owner, source)
        if self.records.store(record):
            self.service_agents.remember(record.owner)


class QueryReceiver:
    """Receives queries for owners and for owner records.

    Parameters
    ----------
    service : int
        Identifier of the own service.
    service_agents : ServiceAgents
        Remembers the requesters as agents of the service.
    owner_lookups : OwnerLookups
        Answers queries for the owner of a flow.
    announcer : OwnerAnnouncer
        Answers requests for the owner record.
    """

    __slots__ = ("service", "service_agents", "owner_lookups", "announcer")

    def __init__(
        self,
        service: int,
        service_agents: ServiceAgents,
        owner_lookups: OwnerLookups,
        announcer: OwnerAnnouncer,
    ):
        self.service = service
        self.service_agents = service_agents
        self.owner_lookups = owner_lookups
        self.announcer = announcer

    def receive(self, body: bytes, source: Address) -> None:
        """Handle one query.

        Raises
        ------
        FlowError
            If it is malformed, of another service or not from the agent
            that it names.
        """
        query = decode_query(body)
        check_service(query.service, self.service)
        check_sender(query.requester, source)
        self.service_agents.remember(query.requester)
        if query.flow is None:
            self.announcer.answer(unpack_address(query.requester))
        else:
            self.owner_lookups.handle_query(query)


class AnswerReceiver:
    """Receives answers to this agent's owner queries.

    Parameters
    ----------
    service : int
        Identifier of the own service.
    owner_lookups : OwnerLookups
        Handles the answers.
    """

    __slots__ = ("service", "owner_lookups")

    def __init__(self, service: int, owner_lookups: OwnerLookups):
        self.service = service
        self.owner_lookups = owner_lookups

    def receive(self, body: bytes, source: Address) -> None:
        """Handle one answer.

        Raises
        ------
        FlowError
            If it is malformed, of another service or not from the agent
            that it names.
        """
        answer = decode_answer(body)
        check_service(answer.service, self.service)
        check_sender(answer.agent, source)
        self.owner_lookups.handle_answer(answer)
