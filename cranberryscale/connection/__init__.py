"""Objects that live for one connection."""
