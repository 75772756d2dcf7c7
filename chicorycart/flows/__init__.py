"""Ownership of flows by agents, and the protocol that finds the owner."""
