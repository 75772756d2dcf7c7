"""Explains which target a flow goes to, and why."""

from typing import Any
from urllib.parse import urlencode

from chicorycart.commands.errors import BadInputError
from chicorycart.commands.errors import NotFoundError
from chicorycart.commands.reading import ask_daemons
from chicorycart.commands.reading import read_configuration
from chicorycart.commands.reading import read_control_addresses
from chicorycart.configuration.model import Service
from chicorycart.packets.errors import PacketError
from chicorycart.packets.flow import hash_flow
from chicorycart.packets.names import parse_flow
from chicorycart.placement.chain import bucket_of
from chicorycart.placement.chain import choose_candidates


async def explain_flow(text: str, platform: str) -> dict[str, Any]:
    """Return service, bucket, candidates and present owner of a flow."""
    try:
        name = parse_flow(text)
    except PacketError as error:
        raise BadInputError(str(error)) from error
    configuration = await read_configuration(platform)
    service = configuration.by_entry.get((*name.destination, name.protocol))
    if service is None:
        raise NotFoundError(f"no service has the entry {name.destination}")
    bucket = bucket_of(hash_flow(name.encode()))
    candidates = choose_candidates(service, bucket)
    return {
        "flow": text,
        "version": configuration.version,
        "service": service.name,
        "bucket": bucket,
        "candidates": [
            {"target": c.name, "agent": str(c.agent), "weight": c.weight}
            for c in candidates
        ],
        "owners": await find_owners(service, text, platform),
    }


async def find_owners(service: Service, flow: str, platform: str) -> list[str]:
    """Ask every agent of a service whether it owns the flow."""
    controls = await read_control_addresses(platform)
    asked = [
        controls[target.name]
        for target in service.targets
        if target.name in controls
    ]
    answers = await ask_daemons(asked, f"/flows?{urlencode({'flow': flow})}")
    return [
        answer.value["target"]
        for answer in answers
        if answer.value is not None and answer.value["owned"]
    ]
