"""The HTTP reverse proxy (request gateway) in front of one target."""
