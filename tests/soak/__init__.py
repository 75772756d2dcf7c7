"""Runs the daemons as processes under random faults and checks promises."""
