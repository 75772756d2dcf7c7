"""Decodes JSON that other processes have written."""

from collections.abc import Callable
from json import loads
from typing import Any

from chicorycart.errors import ChicorycartError

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that every reader of JSON keeps exact (RFC 8259,
section 6)."""


class JsonError(ChicorycartError):
    """A text is not JSON, or nested more deeply than can be decoded."""


def decode_json(
    text: str | bytes, decode: Callable[[Any], Any] = loads
) -> Any:
    """Return the value of a JSON text.

    Parameters
    ----------
    text : str or bytes
        The text.
    decode : callable, optional
        Decoder of a dialect of JSON; raises ValueError where it fails.

    Raises
    ------
    JsonError
        If it cannot be decoded, whatever it holds.
    """
    try:
        return decode(text)
    except ValueError as error:
        raise JsonError(f"not JSON: {error}") from error
    except RecursionError as error:
        raise JsonError("JSON is nested too deeply") from error
