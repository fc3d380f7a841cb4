"""The fleet's other routers: who they are, and what they ask of one another."""
