"""Simulated fabric, upstreams and callers for tests on one machine.

They are the smallest programs that exercise the whole path. They write their
own records, so that a run can be checked without the product's counters.
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
