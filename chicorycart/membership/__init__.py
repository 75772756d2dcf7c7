"""Tracks which instances exist and which are suspected to be dead."""
