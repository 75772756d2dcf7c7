"""Datagrams between the processes of the system."""
