"""The measurement tool."""
