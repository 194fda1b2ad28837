"""Logs, metrics, histograms, and the messages of an operator's queries.

Example::

    with observe.logging_to(sys.stderr, "info"):
        observe.Events("entry").info("flow_placed", upstream="127.0.0.1:1")
"""

from foxtailworks.logs import Events
from foxtailworks.logs import format_fields
from foxtailworks.logs import logging_to
from foxtailworks.observe._histograms import Bucket
from foxtailworks.observe._histograms import Histograms
from foxtailworks.observe._histograms import HistogramSnapshot
from foxtailworks.observe._histograms import MAX_SERIES
from foxtailworks.observe._histograms import merge
from foxtailworks.observe._histograms import OTHER_CUSTOMER
from foxtailworks.observe._histograms import percentile
from foxtailworks.observe._messages import CounterLine
from foxtailworks.observe._messages import DrainAnswer
from foxtailworks.observe._messages import DrainRequest
from foxtailworks.observe._messages import HistogramPage
from foxtailworks.observe._messages import HistogramRequest
from foxtailworks.observe._messages import HOST_MESSAGES
from foxtailworks.observe._messages import HostStatus
from foxtailworks.observe._messages import MAX_LINES
from foxtailworks.observe._messages import MAX_PAGE
from foxtailworks.observe._messages import page_of
from foxtailworks.observe._messages import PeerLine
from foxtailworks.observe._messages import PeerState
from foxtailworks.observe._messages import Readiness
from foxtailworks.observe._messages import StatusRequest
from foxtailworks.observe._messages import UpstreamLine
from foxtailworks.observe._metrics import Metrics
from foxtailworks.observe._metrics import open_metrics
from foxtailworks.observe._names import Counter
from foxtailworks.observe._names import describe
from foxtailworks.observe._names import Gauge
from foxtailworks.observe._plot import plot

__all__ = [
    "HOST_MESSAGES",
    "MAX_LINES",
    "MAX_PAGE",
    "MAX_SERIES",
    "OTHER_CUSTOMER",
    "Bucket",
    "Counter",
    "CounterLine",
    "DrainAnswer",
    "DrainRequest",
    "Events",
    "Gauge",
    "HistogramPage",
    "HistogramRequest",
    "HistogramSnapshot",
    "Histograms",
    "HostStatus",
    "Metrics",
    "PeerLine",
    "PeerState",
    "Readiness",
    "StatusRequest",
    "UpstreamLine",
    "describe",
    "format_fields",
    "logging_to",
    "merge",
    "open_metrics",
    "page_of",
    "percentile",
    "plot",
]
