"""Stand-ins of the second review, on the standard library alone."""
