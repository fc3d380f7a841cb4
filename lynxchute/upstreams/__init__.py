"""Upstreams of the fleet: model engines and plain services."""
