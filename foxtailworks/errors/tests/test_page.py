"""docs/ERRORS.md says what the code table says."""

import pathlib

from foxtailworks import errors
from foxtailworks.errors import __main__ as printer

DOCS = pathlib.Path(__file__).parents[3] / "docs"


def test_page_is_what_the_command_prints():
    page = (DOCS / "ERRORS.md").read_text()
    assert page.splitlines() == list(printer.page())


def test_each_code_stands_in_the_page_once():
    lines = list(printer.page())
    for code in errors.Code:
        start = f"| {code.value} | {code.name} |"
        assert sum(line.startswith(start) for line in lines) == 1
