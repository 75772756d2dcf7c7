"""Steps on the table of default values."""

import ast
from collections import Counter
from pathlib import Path

from behave import given
from behave import then

import chicorycart.defaults


@given("the table of default values")
def read_table(context):
    path = Path(chicorycart.defaults.__file__)
    context.defaults = ast.parse(path.read_text(encoding="utf-8"))


@then("each of its names is defined once")
def check_names(context):
    names = Counter(
        target.id
        for statement in context.defaults.body
        if isinstance(statement, ast.Assign)
        for target in statement.targets
    )
    assert names
    assert max(names.values()) == 1, names.most_common(3)
