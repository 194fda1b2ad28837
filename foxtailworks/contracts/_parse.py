"""Parsing and rendering of contracts as JSON with comments."""

import pydantic
import pyjson5

from foxtailworks.contracts import _contract
from foxtailworks import errors

_ADAPTER = pydantic.TypeAdapter(_contract.Contract)


def _explain(exc: pydantic.ValidationError) -> str:
    """Return all errors, each with its path in the document."""
    lines = (
        f"{'.'.join(str(part) for part in item['loc']) or '(top)'}: "
        f"{item['msg']}"
        for item in exc.errors()
    )
    return "; ".join(lines)


def parse_contract(text: str) -> _contract.Contract:
    """Parse and validate one contract.

    :raises FoxtailError: ``CONTRACT_INVALID`` with every error's path
    """
    try:
        return _ADAPTER.validate_python(pyjson5.loads(text))
    except pydantic.ValidationError as exc:
        raise errors.FoxtailError(
            errors.Code.CONTRACT_INVALID, _explain(exc)
        ) from exc
    except (pyjson5.Json5Exception, errors.FoxtailError) as exc:
        raise errors.FoxtailError(
            errors.Code.CONTRACT_INVALID, f"not JSON with comments: {exc}"
        ) from exc


def render_contract(contract: _contract.Contract) -> str:
    """Return ``contract`` as JSON that parses to the same value."""
    return _ADAPTER.dump_json(contract, indent=2).decode()
