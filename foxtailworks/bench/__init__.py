"""Benchmarks, fault-injection soak tests and the check of their records."""
