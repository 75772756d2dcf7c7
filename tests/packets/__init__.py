"""Tests of packet parsing and of the message that forwards packets."""
