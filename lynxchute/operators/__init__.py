"""Operators' interface: query language, HTTP endpoint and command-line client."""
