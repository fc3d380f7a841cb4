"""Analyse router logs: the outcomes of requests and their causes."""
