"""Benchmarks and simulations of routers."""
