"""Settings read before the module that checks them is loaded."""

import json
import typing


def peek(path: str) -> dict[str, typing.Any]:
    """Return a JSON file's fields, unchecked; empty if it can't be read.

    The program reads the file again later and reports its errors.
    """
    try:
        with open(path, "rb") as file:
            found = json.load(file)
    except (OSError, ValueError):
        return {}
    return found if isinstance(found, dict) else {}
