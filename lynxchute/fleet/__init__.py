"""Membership of the router fleet and messages between routers."""
