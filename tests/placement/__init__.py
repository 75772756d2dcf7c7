"""Tests of the selection and order of targets."""
