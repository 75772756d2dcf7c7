"""Tests of the configuration slice."""
