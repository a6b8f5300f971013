"""The adapter for the users' machines: names, formats and calls."""
