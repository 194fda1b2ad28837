"""Admission by rate, number in flight, priority and deadline."""

import random

from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks import limits

CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("slot-desk")
HIGH = contracts.Priority.HIGH
NORMAL = contracts.Priority.NORMAL


def make(rate, in_flight):
    rng = random.Random(1)
    shares = limits.Shares(ids.HostId("h0"), 0.0, True, rng)
    for resource, amount in (
        (limits.Resource.REQUESTS_PER_S, rate),
        (limits.Resource.IN_FLIGHT, in_flight),
    ):
        limit = limits.LimitId(CUSTOMER, SERVICE, resource)
        shares.set_limit(limit, amount, 1)
    return limits.Admission(CUSTOMER, SERVICE, shares, rng)


def drive(admission, per_s, seconds, share_high, took_s, deadline_s=1.0):
    """Offer requests at a rate; return the admitted and the rejected."""
    rng = random.Random(2)
    admitted, rejected, running = [], [], []
    steps = int(seconds * per_s)
    for number in range(steps):
        now = 1.0 + number / per_s
        decisions = list(admission.tick(now))
        while running and running[0][0] <= now:
            _, done = running.pop(0)
            admission.record_latency(took_s)
            decisions += admission.finish(now, done, True)
        priority = HIGH if rng.random() < share_high else NORMAL
        ticket = limits.Ticket(number, priority, now + deadline_s, None, now)
        decisions += admission.offer(now, ticket)
        for item in decisions:
            if isinstance(item, limits.Admit):
                assert now + took_s <= item.ticket.deadline_at + 1e-9
                admitted.append((now, item.ticket))
                running.append((now + took_s, item.ticket.number))
            else:
                assert item.retry_after_s > 0
                rejected.append(item)
        assert admission.queue_length <= 512
    return admitted, rejected


def test_rate_limit_holds_in_every_window():
    admitted, _ = drive(make(100.0, 1000), 400, 5.0, 0.2, 0.01)
    times = [now for now, _ in admitted]
    for start in times:
        count = sum(start <= now < start + 1.0 for now in times)
        assert count <= 100 * 1.1 + 1
    assert len(times) >= 100 * 5 * 0.95


def test_in_flight_limit_holds():
    admission = make(10_000.0, 7)
    peak = 0
    for number in range(50):
        ticket = limits.Ticket(number, HIGH, 9.0, None, 1.0)
        admission.offer(1.0, ticket)
        peak = max(peak, admission.in_flight)
    assert peak == 7


def test_high_priority_goes_first_without_starving_normal():
    admitted, rejected = drive(make(100.0, 1000), 300, 5.0, 0.6, 0.01)
    high = sum(t.priority is HIGH for _, t in admitted)
    normal = len(admitted) - high
    assert normal >= 0.15 * len(admitted)
    assert high >= 3 * normal


def test_a_request_that_would_be_late_is_rejected_at_once():
    admission = make(10.0, 1000)
    drive(admission, 100, 3.0, 0.0, 0.01)
    now = 4.0
    while admission.queue_length > 3:
        now += 0.05
        admission.tick(now)
    tight = limits.Ticket(10**6, NORMAL, now + 0.25, None, now)
    loose = limits.Ticket(10**6 + 1, NORMAL, now + 2.0, None, now)
    (decision,) = admission.offer(now, tight)
    assert isinstance(decision, limits.Reject)
    assert admission.offer(now, loose) == ()


def test_one_customers_flood_does_not_touch_another():
    rng = random.Random(1)
    shares = limits.Shares(ids.HostId("h0"), 0.0, True, rng)
    admissions = {}
    for name in ("flood", "calm"):
        customer = ids.CustomerId(name)
        for resource in limits.Resource:
            limit = limits.LimitId(customer, SERVICE, resource)
            shares.set_limit(limit, 50.0, 1)
        admissions[name] = limits.Admission(customer, SERVICE, shares, rng)
    calm = 0
    for number in range(2000):
        now = 1.0 + number / 1000
        for name, every in (("flood", 1), ("calm", 25)):
            if number % every == 0:
                ticket = limits.Ticket(number, NORMAL, now + 1, None, now)
                decisions = admissions[name].offer(now, ticket)
                for item in decisions:
                    admissions[name].finish(now, item.ticket.number, True)
                calm += name == "calm" and isinstance(
                    decisions[0], limits.Admit
                )
    assert calm == 2000 / 25


def test_a_job_counts_once():
    jobs = limits.JobCounter()
    assert jobs.count_once(CUSTOMER, 7)
    assert not jobs.count_once(CUSTOMER, 7)
    assert jobs.take_increments() == {CUSTOMER: 1}
    assert jobs.take_increments() == {}
    assert jobs.total(CUSTOMER) == 1


def test_open_flows_are_limited():
    shares = limits.Shares(ids.HostId("h0"), 0.0, True, random.Random(1))
    for resource in limits.Resource:
        limit = limits.LimitId(CUSTOMER, SERVICE, resource)
        shares.set_limit(limit, 30.0, 1)
    gate = limits.FlowGate(CUSTOMER, SERVICE, shares)
    opened = sum(gate.admit(1.0 + i / 100) for i in range(1000))
    assert opened == gate.open_flows == 30
    gate.on_closed()
    assert gate.admit(12.0)
