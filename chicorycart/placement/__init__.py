"""Selection and order of the targets that may receive a flow."""
