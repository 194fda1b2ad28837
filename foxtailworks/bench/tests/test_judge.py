"""Tests that the check of records reports each kind of fault."""

import dataclasses

from foxtailworks.bench import judge
from foxtailworks import standin

CALL = standin.CallRecord("r1", "desk", "POST", "whole", 1.0, 1, 0.0)
RUN = standin.RunRecord("desk-1", "desk", "r1", "POST", 0.0)
FLOW = standin.FlowRecord("f1", "live", 5, 5, ("live-1",), 0)


def _verdict(calls=(CALL,), runs=(RUN,), flows=(FLOW,)):
    return judge.judge(calls, runs, flows, 1, 1, 3)


def test_clean():
    assert _verdict().faults() == ()


def test_each_fault_is_seen():
    change = dataclasses.replace
    assert _verdict(calls=()).faults() == ("lost",)
    assert _verdict(runs=(RUN, RUN)).faults() == ("run_twice",)
    foreign_run = change(RUN, service="vault")
    assert _verdict(runs=(foreign_run,)).faults() == ("wrong_service",)
    crossed = change(CALL, outcome="crossed")
    assert _verdict(calls=(crossed,)).faults() == ("crossed",)
    moved_flow = change(FLOW, upstreams=("live-1", "live-2"))
    assert _verdict(flows=(moved_flow,)).faults() == ("broken_flows",)
    unanswered = change(FLOW, answered=4)
    assert _verdict(flows=(unanswered,)).faults() == ("broken_flows",)
    refused = change(CALL, outcome="not_run")
    assert judge.false_not_run((refused,), (RUN,)) == ("r1",)
