"""Connections to callers, backend servers, instances and the platform."""
