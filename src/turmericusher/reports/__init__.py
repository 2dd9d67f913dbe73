"""Reports: benchmark results as tables and plots, and the trace of a request."""
