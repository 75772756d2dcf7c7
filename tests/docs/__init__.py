"""Tests that the docs name only what exists."""
