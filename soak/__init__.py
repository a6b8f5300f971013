"""A randomized soak test of the real programs, with injected faults."""
