"""Stand-ins of outside systems, for the demo, the tests and the benches."""
