"""Plot of a day's credit and causes over time."""

from collections import abc
import pathlib

from foxtailworks import errors
from foxtailworks.losses import _causes

WIDTH_IN, HEIGHT_IN = 10.0, 4.0
"""Size of the picture in inches."""


def draw(rows: abc.Iterable[_causes.Row], path: pathlib.Path) -> None:
    """Write a picture of the credit in each window, coloured by cause.

    The plotting library is an optional extra, loaded here.

    :raises FoxtailError: ``REPORT_INVALID`` when it isn't installed or the
        file can't be written
    """
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise errors.FoxtailError(
            errors.Code.REPORT_INVALID,
            "plots need the extra: pip install foxtailworks[plots]",
        ) from exc
    windows = tuple(rows)
    picture = figure.Figure(figsize=(WIDTH_IN, HEIGHT_IN), layout="tight")
    axes = picture.add_subplot()
    width_s = windows[1].start_s - windows[0].start_s
    for index, cause in enumerate(_causes.Cause):
        chosen = [row for row in windows if row.cause is cause]
        if chosen:
            axes.bar(
                [row.start_s for row in chosen],
                [row.tally.share for row in chosen],
                width=width_s,
                align="edge",
                color=f"C{index}",
                label=cause.value,
            )
    axes.set_ylim(0, 1)
    axes.set_xlabel("seconds since the start of traffic")
    axes.set_ylabel("credit earned of credit owed")
    axes.legend(loc="lower left", fontsize="small")
    try:
        picture.savefig(path)
    except (OSError, ValueError) as exc:
        raise errors.FoxtailError(
            errors.Code.REPORT_INVALID, str(exc), file=path
        ) from exc
