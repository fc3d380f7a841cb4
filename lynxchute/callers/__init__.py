"""The product's own caller API: chat completions and plain calls."""
