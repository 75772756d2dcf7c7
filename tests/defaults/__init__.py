"""Tests of the table of default values."""
