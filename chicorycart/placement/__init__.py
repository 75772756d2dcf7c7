"""Which targets a flow may go to, and in which order."""
