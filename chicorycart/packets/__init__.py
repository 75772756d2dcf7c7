"""Parsing of callers' packets and the message that forwards them."""
