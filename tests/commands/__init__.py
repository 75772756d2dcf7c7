"""Tests of the command lines."""
