"""The adapter for the users' platform: its names, formats and calls."""
