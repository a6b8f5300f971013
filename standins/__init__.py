"""Stand-ins for the platform, its store and the backend servers."""
