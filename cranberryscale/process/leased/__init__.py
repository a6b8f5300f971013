"""Pools whose holder has a lease, for fleets with a published member list."""
