"""Tests of the links slice."""
