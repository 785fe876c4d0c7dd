"""Tools: the demo, local processes, benches, and emulated load."""
