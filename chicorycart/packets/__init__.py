"""The packets of callers and their wire formats."""
