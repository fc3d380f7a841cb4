"""Adapters for the deployment platform; only this package knows its names.

Fields, headers and paths of the platform are decoded here once into the project's
own types, and no other package handles them.
"""
