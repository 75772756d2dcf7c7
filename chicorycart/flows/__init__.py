"""Which agent owns a flow, and how other agents find out."""
