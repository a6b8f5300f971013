"""Immutable values of one version of the published configuration."""
