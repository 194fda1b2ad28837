"""Benchmarks, the soak, and the judge of runs on real processes."""
