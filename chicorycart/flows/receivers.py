"""Take the messages of other agents on the ownership of flows."""

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
    """Refuse a message of another service.

    Raises
    ------
    FlowError
        If it is of another service.
    """
    if service != own:
        raise FlowError(f"message of another service {service:x}")


def check_sender(agent: int, source: Address) -> None:
    """Refuse a message that another instance sent.

    Ports may differ: an agent leaves those whose path has gone silent.

    Raises
    ------
    FlowError
        If the message names an agent of another instance.
    """
    try:
        named = unpack_address(agent)
    except AddressError as error:
        raise FlowError(f"message of no agent: {error}") from error
    if named.host != source.host:
        raise FlowError(f"message of {named} from {source}")


class RecordReceiver:
    """Takes owner records.

    Parameters
    ----------
    service : int
        Identifier of the own service.
    service_agents : ServiceAgents
        Learns the owners.
    records : OwnerRecords
        Holds the records.
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
        """Take one record.

        Raises
        ------
        FlowError
            If it is of another service, or not from its owner.
        """
        record = decode_record(body)
        check_service(record.service, self.service)
        check_sender(record.owner, source)
        if self.records.take(record):
            self.service_agents.learn(record.owner)


class QueryReceiver:
    """Takes questions about owners.

    Parameters
    ----------
    service : int
        Identifier of the own service.
    service_agents : ServiceAgents
        Learns who asked.
    owner_lookups : Claims
        Answers on single flows.
    announcer : OwnerAnnouncer
        Answers with the owner record.
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
        """Take one question.

        Raises
        ------
        FlowError
            If it cannot be read or is of another service.
        """
        query = decode_query(body)
        check_service(query.service, self.service)
        check_sender(query.requester, source)
        self.service_agents.learn(query.requester)
        if query.flow is None:
            self.announcer.answer(unpack_address(query.requester))
        else:
            self.owner_lookups.handle_query(query)


class AnswerReceiver:
    """Takes answers on owners of flows.

    Parameters
    ----------
    service : int
        Identifier of the own service.
    owner_lookups : Claims
        Waits for the answers.
    """

    __slots__ = ("service", "owner_lookups")

    def __init__(self, service: int, owner_lookups: OwnerLookups):
        self.service = service
        self.owner_lookups = owner_lookups

    def receive(self, body: bytes, source: Address) -> None:
        """Take one answer.

        Raises
        ------
        FlowError
            If it cannot be read or is of another service.
        """
        answer = decode_answer(body)
        check_service(answer.service, self.service)
        check_sender(answer.agent, source)
        self.owner_lookups.handle_answer(answer)
