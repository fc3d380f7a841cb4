"""The users' platform: the only place that knows its names.

Everything is decoded here once, into the product's own types; the rest of
the project never sees a field, header or path of the platform.
"""
