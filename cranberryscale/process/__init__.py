"""State and decisions kept in memory for the lifetime of the process."""
