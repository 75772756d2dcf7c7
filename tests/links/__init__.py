"""Tests of datagram links and keepalive."""
