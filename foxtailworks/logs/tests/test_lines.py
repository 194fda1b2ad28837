"""Tests of the rate limit and of pipes with a slow reader or none."""

import os

from foxtailworks import logs


def test_a_budget_refuses_and_counts():
    limiter = logs.RateLimiter(rate=2.0, burst=3.0)
    assert [limiter.try_acquire(100.0) for _ in range(5)] == [True] * 3 + [
        False
    ] * 2
    assert limiter.suppressed == 2
    assert limiter.try_acquire(100.5)
    assert not limiter.try_acquire(100.5)
    assert [limiter.try_acquire(900.0) for _ in range(4)].count(True) == 3


def test_a_pipe_that_nobody_reads_blocks_nobody():
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        pipe = logs.Pipe(stream)
        line = "x" * 99 + "\n"
        for _ in range(5000):
            pipe.write(line)
        assert pipe.dropped > 0
        received = os.read(reader, 1 << 20)
        assert received == line.encode() * (len(received) // len(line))
        before = pipe.dropped
        pipe.write("again\n")
        assert pipe.dropped == before
        assert os.read(reader, 100) == b"again\n"
    os.close(reader)


def test_a_pipe_without_a_reader_raises_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, "w") as stream:
        pipe = logs.Pipe(stream)
        pipe.write("lost\n")
        assert pipe.dropped == 1


def test_a_long_line_is_cut():
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        logs.Pipe(stream).write("x" * 10_000 + "\n")
    line = os.read(reader, 1 << 20)
    os.close(reader)
    assert line.endswith(b"x\n") and len(line) <= 4096
