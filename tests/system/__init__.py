"""Scenarios over the whole system, its daemons as real processes."""
