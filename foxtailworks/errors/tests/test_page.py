"""docs/ERRORS.md agrees with the table of result codes."""

import pathlib

from foxtailworks import errors
from foxtailworks.errors import __main__ as printer

DOCS = pathlib.Path(__file__).parents[3] / "docs"


def test_page_equals_the_output_of_the_command():
    page = (DOCS / "ERRORS.md").read_text()
    assert page.splitlines() == list(printer.page())


def test_each_code_occurs_once_in_the_page():
    lines = list(printer.page())
    for code in errors.Code:
        start = f"| {code.value} | {code.name} |"
        assert sum(line.startswith(start) for line in lines) == 1
