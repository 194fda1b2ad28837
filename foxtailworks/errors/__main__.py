"""Prints docs/ERRORS.md: ``python -m foxtailworks.errors``."""

from collections import abc

from foxtailworks import ctl
from foxtailworks import errors

_GROUPS = {
    0: "general",
    1: "settings",
    2: "messages and links",
    3: "contracts and edits",
    4: "keepers and their log",
    5: "flows and placement",
    6: "requests",
    7: "limits",
    8: "membership and upstreams",
    9: "operator's tool",
}


def page() -> abc.Iterator[str]:
    """Yield the lines of the page."""
    yield "# Result codes"
    yield ""
    yield "Printed by `python -m foxtailworks.errors`; a test compares."
    yield "Each error names its code in brackets, in logs as `code=`."
    for group, title in _GROUPS.items():
        yield from ("", f"## {group * 1000}: {title}", "")
        yield from _codes(group)
    yield from ("", "## Exit codes of foxtailctl", "")
    yield "| exit | name | meaning |"
    yield "| --- | --- | --- |"
    for item in ctl.Exit:
        yield f"| {item.value} | {item.name} | {item.meaning} |"


def _codes(group: int) -> abc.Iterator[str]:
    """Yield the table of one group."""
    yield "| code | name | meaning | exit of foxtailctl |"
    yield "| --- | --- | --- | --- |"
    for code in sorted(errors.Code):
        if code.value // 1000 == group:
            yield (
                f"| {code.value} | {code.name} | {errors.describe(code)}"
                f" | {ctl.exit_of(code).value} |"
            )


if __name__ == "__main__":
    print("\n".join(page()))
