"""Tests of the packets slice."""
