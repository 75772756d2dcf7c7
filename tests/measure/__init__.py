"""Tests that the measurements measure what they say."""
