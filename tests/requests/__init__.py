"""Tests of the request gateway."""
