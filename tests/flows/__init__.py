"""Tests of flow ownership."""
