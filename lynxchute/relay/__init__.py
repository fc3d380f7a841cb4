"""Forward requests to upstreams and relay their responses."""
