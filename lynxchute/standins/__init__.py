"""Stand-ins for the store, the upstreams, the network and the callers of routers."""
