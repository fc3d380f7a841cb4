"""Spend from budgets: the store's writes and the routers' messages."""
