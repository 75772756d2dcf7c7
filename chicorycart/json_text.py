"""Decodes JSON that other processes have written."""

from json import loads
from typing import Any

from chicorycart.errors import ChicorycartError


class JsonError(ChicorycartError):
    """A text is not JSON, or nested more deeply than can be decoded."""


def decode_json(text: str | bytes) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    JsonError
        If it cannot be decoded, whatever it holds.
    """
    try:
        return loads(text)
    except ValueError as error:
        raise JsonError(f"not JSON: {error}") from error
    except RecursionError as error:
        raise JsonError("JSON is nested too deeply") from error
