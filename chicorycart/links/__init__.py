"""UDP datagrams and connections between processes of the system."""
