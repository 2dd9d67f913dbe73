"""Reports: the results of benchmarks as tables and plots."""
