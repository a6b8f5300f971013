"""Model checking of the lease protocol."""
