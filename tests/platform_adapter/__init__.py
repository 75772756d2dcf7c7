"""Tests of the adapter to the users' platform.

The folder does not have the package's name "platform", since the test runner
puts this folder's parent on the path and the name would shadow Python's own
module.
"""
