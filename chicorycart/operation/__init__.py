"""Logs, metrics and status pages of a daemon."""
