"""benchmarks: see the modules in this package."""
