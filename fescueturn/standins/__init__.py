"""Stand-ins for external systems, used by the demo, tests and benchmarks."""
