"""Pass requests to upstreams and their answers back."""
