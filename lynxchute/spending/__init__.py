"""Spending from budgets: writes to the store and messages between routers."""
