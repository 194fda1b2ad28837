"""What a played day lost, when, and for which cause.

Joins the report of a day, which has what callers got in windows of time,
with the logs of the hosts, which say what the hosts saw.

Example::

    day = losses.read_report(path)
    seen = losses.read_logs(paths, day)
    for row in losses.explain(day, seen):
        print(row.start_s, row.lost, row.cause)
"""

from foxtailworks.losses._causes import Cause
from foxtailworks.losses._causes import explain
from foxtailworks.losses._causes import MIN_SHARE
from foxtailworks.losses._causes import Row
from foxtailworks.losses._causes import totals
from foxtailworks.losses._ceiling import Ceiling
from foxtailworks.losses._ceiling import ceiling
from foxtailworks.losses._ceiling import read_site
from foxtailworks.losses._ceiling import Site
from foxtailworks.losses._logs import read_logs
from foxtailworks.losses._logs import Sightings
from foxtailworks.losses._plot import draw
from foxtailworks.losses._report import Day
from foxtailworks.losses._report import Disruption
from foxtailworks.losses._report import read_report
from foxtailworks.losses._report import Tally

__all__ = [
    "MIN_SHARE",
    "Cause",
    "Ceiling",
    "Day",
    "Disruption",
    "Row",
    "Sightings",
    "Site",
    "Tally",
    "ceiling",
    "draw",
    "explain",
    "read_logs",
    "read_report",
    "read_site",
    "totals",
]
