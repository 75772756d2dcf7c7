"""Tests of the balancer."""
