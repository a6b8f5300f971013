"""Benchmark cases, simulations and mutation tests."""
