"""Benchmarks of turmericusher; `benchmarks.all` runs them and writes the report."""
