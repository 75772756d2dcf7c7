"""Steers flows to targets; only a target's host knows which flows it holds."""
