"""The agent daemon beside a target."""
