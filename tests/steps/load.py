"""Loads the steps, which stand beside their features.

behave looks for steps in this folder only; the tests mirror the package.
"""

from importlib import import_module
from pathlib import Path

TESTS = Path(__file__).resolve().parent.parent

for path in sorted(TESTS.glob("*/*_steps.py")):
    import_module(f"tests.{path.parent.name}.{path.stem}")
