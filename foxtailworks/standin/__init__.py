"""Stand-ins for what the platform gives: fabric, upstreams, callers.

They are the smallest programs that let the whole path run on one machine,
and they keep their own records, so that a run can be judged without the
product's counters.
"""

from foxtailworks.standin._cli import main
from foxtailworks.standin._records import CallRecord
from foxtailworks.standin._records import FlowRecord
from foxtailworks.standin._records import read_records
from foxtailworks.standin._records import RunRecord

__all__ = [
    "CallRecord",
    "FlowRecord",
    "RunRecord",
    "main",
    "read_records",
]
