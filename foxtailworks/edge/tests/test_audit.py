"""Tests that all events are counted and failures logged first."""

import io

from foxtailworks import discovery
from foxtailworks.edge import _audit
from foxtailworks.edge import _scrape
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import steering

FLOW = steering.FlowKey(bytes(12))
UPSTREAM = (discovery.InstanceId("i-1"), ids.Incarnation(7))
DESTINATION = ids.Address("198.18.0.1", 443)


def make_placed(attempt=1):
    return steering.Placed(FLOW, UPSTREAM, 0, attempt, 5, 1, 0.2, 9)


def make_rejected():
    reason = steering.Reason.NO_UPSTREAM
    return steering.Rejected(FLOW, DESTINATION, reason, True, 0, 9)


def lines_of(events, now=0.0):
    audit = _audit.Audit(lambda flow: "100.64.0.7:40001>198.18.0.1:443")
    stream = io.StringIO()
    with logs.logging_to(stream, "info"):
        audit.record(events, now)
    return audit, stream.getvalue().splitlines()


def test_a_rejection_is_logged_with_its_reason():
    _, lines = lines_of([make_rejected()])
    assert "event=flow_refused" in lines[0]
    assert "flow=100.64.0.7:40001>198.18.0.1:443" in lines[0]
    assert "reason=no_upstream" in lines[0] and "revision=9" in lines[0]


def test_successes_are_sampled_and_failures_all_logged():
    audit, lines = lines_of([make_placed()] * 1000 + [make_rejected()] * 100)
    assert sum("flow_refused" in line for line in lines) == 100
    assert sum("flow_placed" in line for line in lines) == 50
    assert "event=lines_left_out" in lines[-1]
    assert "successes=950" in lines[-1]
    assert audit.metrics.placed == 1000


def test_metrics_are_rendered_as_text():
    ended = steering.Ended(FLOW, UPSTREAM, steering.Ending.CLOSED, 1, 0.07)
    answered = steering.Answered(FLOW, UPSTREAM, 0.004)
    audit, _ = lines_of(
        [make_placed(), make_placed(2), answered, ended, make_rejected()]
    )
    text = _scrape.render(
        audit.metrics, {"flows": ("Flows remembered.", 3.0)}
    ).decode()
    for line in (
        "foxtail_openings_placed_total 2.0",
        "foxtail_openings_placed_again_total 1.0",
        'foxtail_flows_ended_total{ending="closed"} 1.0',
        'foxtail_packets_refused_total{reason="no_upstream"} 1.0',
        'foxtail_answer_seconds_bucket{le="0.005"} 1.0',
        'foxtail_flow_seconds_bucket{le="0.05"} 0.0',
        'foxtail_flow_seconds_bucket{le="+Inf"} 1.0',
        "foxtail_flows 3.0",
    ):
        assert line in text
