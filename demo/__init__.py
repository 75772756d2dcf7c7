"""Shows the whole path on loopback, among stand-ins."""
