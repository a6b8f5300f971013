"""State and decisions that live as long as the process."""
