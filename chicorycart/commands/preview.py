"""Works out what a patch of the configuration would move."""

from json import dumps
from typing import Any

from chicorycart.commands.errors import BadInputError
from chicorycart.configuration.errors import InvalidConfigurationError
from chicorycart.configuration.model import Configuration
from chicorycart.configuration.model import Service
from chicorycart.configuration.parse import parse_service
from chicorycart.defaults import BUCKETS_PER_SERVICE
from chicorycart.placement.chain import choose_candidates


class ServiceChange:
    """What a patch does to one service.

    Attributes
    ----------
    name : str
        Name of the service.
    moved : float
        Share of opening flows that get another first candidate, 0 to 1.
    before, after : dict of str to float
        Share of opening flows by first candidate.
    """

    __slots__ = ("name", "moved", "before", "after")

    def __init__(
        self,
        name: str,
        moved: float,
        before: dict[str, float],
        after: dict[str, float],
    ):
        self.name = name
        self.moved = moved
        self.before = before
        self.after = after

    def describe(self) -> dict[str, Any]:
        """Return the change as JSON values."""
        names = sorted(self.before.keys() | self.after.keys())
        return {
            "service": self.name,
            "moved": round(self.moved, 4),
            "targets": {
                name: {
                    "before": round(self.before.get(name, 0.0), 4),
                    "after": round(self.after.get(name, 0.0), 4),
                }
                for name in names
            },
        }


def preview_patch(
    configuration: Configuration, patch: Any
) -> list[ServiceChange]:
    """Return what each service of a patch would gain and lose.

    Parameters
    ----------
    configuration : Configuration
        What is published now.
    patch : Any
        Services by name, as the platform takes them; None removes one.

    Raises
    ------
    BadInputError
        If a value of the patch would be refused.
    """
    if not isinstance(patch, dict):
        raise BadInputError("$: an object of services by name is needed")
    changes = []
    for name, value in sorted(patch.items()):
        before = configuration.services.get(name)
        changes.append(compare_services(name, before, read_value(name, value)))
    return changes


def read_value(name: str, value: Any) -> Service | None:
    """Check the value that a patch gives a service."""
    if value is None:
        return None
    try:
        return parse_service(name, dumps(value).encode())
    except InvalidConfigurationError as error:
        raise BadInputError(str(error)) from error


def compare_services(
    name: str, before: Service | None, after: Service | None
) -> ServiceChange:
    """Compare the first candidates of every bucket."""
    old = list_first_candidates(before)
    new = list_first_candidates(after)
    moved = sum(a != b for a, b in zip(old, new, strict=True))
    return ServiceChange(
        name,
        moved / BUCKETS_PER_SERVICE,
        count_shares(old),
        count_shares(new),
    )


def list_first_candidates(service: Service | None) -> list[str | None]:
    """Return the name of the first candidate of each bucket."""
    if service is None:
        return [None] * BUCKETS_PER_SERVICE
    return [
        choose_candidates(service, bucket)[0].name
        for bucket in range(BUCKETS_PER_SERVICE)
    ]


def count_shares(names: list[str | None]) -> dict[str, float]:
    """Return the share of the buckets that each name has."""
    return {
        name: names.count(name) / len(names)
        for name in set(names)
        if name is not None
    }
