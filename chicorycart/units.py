"""Units that more than one package converts between."""

MILLISECONDS = 1000
"""Milliseconds in a second."""
