"""The request gateway in front of one target."""
