"""Place generations on engines by the load that the whole fleet puts on them."""
