"""Steps that compare the docs with the program."""

from importlib import import_module
from importlib.util import find_spec
from json import loads
import re

from behave import then

from chicorycart.commands.daemon import application as daemon
from chicorycart.commands.tool import application as tool
from tests.standins.testbed import ROOT

PAGES = [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]
CODE = re.compile(
    r"```.*?```|`[^`\n]+`|^    [^\n]+$", re.MULTILINE | re.DOTALL
)
COMMAND = re.compile(r"\b(chicorycartd?|make|python -m) ([a-z][\w.-]*)")
ROW = re.compile(r"^\| `([\w.\[\]]+)`", re.MULTILINE)
QUOTED = re.compile(r"`([A-Z][^`]{20,})`")
SCENARIO = re.compile(r"Scenario(?: Outline)?: (.+)")
IMPORT = re.compile(r"^from ([\w.]+) import (\w+)$", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#:]+)\)")


def list_commands():
    for page in PAGES:
        for code in CODE.findall(page.read_text()):
            for program, name in COMMAND.findall(code):
                yield page, program, name


def list_known(application):
    return {
        command.name or command.callback.__name__
        for command in application.registered_commands
    }


def module_exists(name):
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def list_keys(schema, prefix=""):
    for key, value in schema.get("properties", {}).items():
        path = f"{prefix}{key}"
        if value.get("type") == "object":
            yield from list_keys(value, f"{path}.")
        elif "properties" in value.get("items", {}):
            yield from list_keys(value["items"], f"{path}[].")
        else:
            yield path


@then("each chicorycart, chicorycartd, make and python -m command exists")
def check_commands(context):
    makefile = (ROOT / "Makefile").read_text()
    known = {
        "chicorycart": list_known(tool),
        "chicorycartd": list_known(daemon),
        "make": set(re.findall(r"^([\w-]+):", makefile, re.MULTILINE)),
    }
    found = list(list_commands())
    assert found
    wrong = [
        f"{page.name}: {program} {name}"
        for page, program, name in found
        if not (
            module_exists(name.rstrip("."))
            if program == "python -m"
            else name in known[program]
        )
    ]
    assert not wrong, wrong


@then('"{page}" lists just the settings of "{schema}" under "{heading}"')
def check_settings(context, page, schema, heading):
    text = (ROOT / "docs" / page).read_text()
    section = text.split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    listed = set(ROW.findall(section))
    path = ROOT / "chicorycart" / schema
    expected = set(list_keys(loads(path.read_text())))
    assert listed == expected, listed ^ expected


@then("each relative link between the pages leads to a file")
def check_links(context):
    wrong = [
        f"{page.name}: {link}"
        for page in PAGES
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not wrong, wrong


@then('each scenario named in "{page}" stands in a feature')
def check_scenarios(context, page):
    features = ROOT.glob("tests/*/*.feature")
    known = {
        name.strip()
        for feature in features
        for name in SCENARIO.findall(feature.read_text())
    }
    named = QUOTED.findall((ROOT / "docs" / page).read_text())
    assert named
    wrong = [name for name in named if name not in known]
    assert not wrong, wrong


@then("each import in the Python code of the pages works")
def check_imports(context):
    imports = [
        (module, name)
        for page in PAGES
        for module, name in IMPORT.findall(page.read_text())
    ]
    assert imports
    wrong = [
        f"{module}.{name}"
        for module, name in imports
        if not hasattr(import_module(module), name)
    ]
    assert not wrong, wrong
