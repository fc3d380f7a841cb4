"""Place generations on engines, with what all routers have sent there in view."""
