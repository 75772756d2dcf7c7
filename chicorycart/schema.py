"""Checks values against a JSON Schema and names every fault."""

from json import loads
from pathlib import Path
from reprlib import Repr
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

MAX_VALUE_CHARACTERS = 80
SHORT_REPR = Repr()
SHORT_REPR.maxstring = SHORT_REPR.maxother = MAX_VALUE_CHARACTERS
shorten = SHORT_REPR.repr


class Fault:
    """One place where a value breaks its schema.

    Attributes
    ----------
    path : str
        Path to the value, such as ``$.targets[0].weight``.
    value : Any
        What stands there.
    allowed : str
        What may stand there.
    """

    __slots__ = ("path", "value", "allowed")

    def __init__(self, path: str, value: Any, allowed: str):
        self.path = path
        self.value = value
        self.allowed = allowed

    def __str__(self) -> str:
        return f"{self.path}: {self.describe()}"

    def describe(self) -> str:
        """Return what may stand there and what does, cut where it is long."""
        return f"{self.allowed} (is {shorten(self.value)})"


def load_validator(path: Path) -> Draft202012Validator:
    """Read the schema file and return its validator."""
    schema = loads(path.read_text(encoding="utf-8"))
    Draft202012Validator.check_schema(schema)
    return Draft202012Validator(schema)


def find_faults(validator: Draft202012Validator, value: Any) -> list[Fault]:
    """Return every fault of the value, in order of path."""
    errors = sorted(validator.iter_errors(value), key=lambda e: e.json_path)
    return [describe_error(error) for error in errors]


def describe_error(error: ValidationError) -> Fault:
    """Say what the schema allows where the value breaks it."""
    described = {
        "enum": lambda e: f"one of {e.validator_value} is allowed",
        "type": lambda e: f"a value of type {e.validator_value} is needed",
        "pattern": lambda e: f"text like {e.validator_value} is needed",
        "minimum": lambda e: f"at least {e.validator_value} is needed",
        "maximum": lambda e: f"at most {e.validator_value} is allowed",
        "exclusiveMinimum": lambda e: f"more than {e.validator_value} needed",
    }
    describe = described.get(error.validator, lambda e: e.message)
    return Fault(error.json_path, error.instance, describe(error))
