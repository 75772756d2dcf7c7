"""The command lines of the daemon and of the tool."""
