"""Measurements of the system's parts, apart from the tests."""
