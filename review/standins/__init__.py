"""Stand-ins of the platform, its hosts and its clients, for the scripts."""
