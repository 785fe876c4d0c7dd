"""Tools: the demo, benchmarks, and daemons started on the local host."""
